/// \file
/// \brief Source of random numbers, passed in so that a run can be repeated from its seed.
#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace endivestage
{

/// \brief Source of uniformly distributed 64-bit numbers.
class random_source
{
public:
    virtual ~random_source() = default;

    /// \returns A number uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;

    /// \returns A number uniform in [0, bound).
    /// \param bound Must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound > 0);
        return next() % bound;
    }

    /// \returns A number uniform in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

protected:
    random_source() = default;
    random_source(const random_source&) = default;
    random_source& operator=(const random_source&) = default;
};

/// \brief Generator with a fixed seed: equal seeds give equal sequences on every platform.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace endivestage
