/// \file
/// \brief Time in milliseconds.
#pragma once

#include <compare>
#include <cstdint>

namespace endivestage
{

/// \brief A length of time in milliseconds; may be negative as the result of a subtraction.
struct millis
{
    std::int64_t count = 0;

    constexpr auto operator<=>(const millis&) const = default;
    constexpr millis operator+(millis other) const { return {count + other.count}; }
    constexpr millis operator-(millis other) const { return {count - other.count}; }
    constexpr millis operator*(std::int64_t n) const { return {count * n}; }
    constexpr millis operator/(std::int64_t n) const { return {count / n}; }
};

/// \brief An instant on a clock, in milliseconds since that clock's epoch.
///
/// Instants of the monotonic clock of one process must not be compared with those of another.
struct time_point
{
    std::int64_t since_epoch = 0;

    constexpr auto operator<=>(const time_point&) const = default;
    constexpr time_point operator+(millis d) const { return {since_epoch + d.count}; }
    constexpr time_point operator-(millis d) const { return {since_epoch - d.count}; }
    constexpr millis operator-(time_point other) const { return {since_epoch - other.since_epoch}; }
};

/// \brief Source of time, passed in by the embedding program.
class clock
{
public:
    virtual ~clock() = default;

    /// \returns The present instant of a clock that never steps back within this process.
    virtual time_point now() const = 0;

    /// \returns Milliseconds since the Unix epoch; may step. For records and key ages only.
    virtual time_point wall_now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

} // namespace endivestage
