/// \file
/// \brief Time in milliseconds.
#pragma once

#include <compare>
#include <cstdint>

namespace endivestage
{

/// \brief A duration in milliseconds; may be negative as the result of a subtraction.
struct millis
{
    std::int64_t count = 0;

    constexpr auto operator<=>(const millis&) const = default;
    constexpr millis operator+(millis other) const { return {count + other.count}; }
    constexpr millis operator-(millis other) const { return {count - other.count}; }
    constexpr millis operator*(std::int64_t n) const { return {count * n}; }
    constexpr millis operator/(std::int64_t n) const { return {count / n}; }
};

/// \brief A point in time, in milliseconds since the epoch of its clock.
///
/// Points in time of the monotonic clocks of different processes must not be compared.
struct time_point
{
    std::int64_t since_epoch = 0;

    constexpr auto operator<=>(const time_point&) const = default;
    constexpr time_point operator+(millis d) const { return {since_epoch + d.count}; }
    constexpr time_point operator-(millis d) const { return {since_epoch - d.count}; }
    constexpr millis operator-(time_point other) const { return {since_epoch - other.since_epoch}; }
};

/// \brief Source of time, provided by the embedding program.
class clock
{
public:
    virtual ~clock() = default;

    /// \returns The present time of a monotonic clock, which never goes back within this process.
    virtual time_point now() const = 0;

    /// \returns The present wall-clock time since the Unix epoch. It may jump, so it serves only
    /// for timestamps in records and for the age of keys.
    virtual time_point wall_now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

} // namespace endivestage
