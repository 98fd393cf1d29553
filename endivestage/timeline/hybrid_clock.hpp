/// \file
/// \brief Hybrid logical clock (Kulkarni et al., 2014): wall-clock time that respects causality.
#pragma once

#include <endivestage/core.hpp>

#include <compare>
#include <cstdint>

namespace endivestage
{

/// \brief A reading of a hybrid logical clock.
struct hybrid_time
{
    std::int64_t wall_ms = 0;  ///< Milliseconds since the Unix epoch.
    std::uint32_t counter = 0; ///< Orders readings of the same millisecond.

    constexpr auto operator<=>(const hybrid_time&) const = default;
};

/// \brief Hybrid logical clock of one router. Messages carry the sender's reading; every reading
/// that the receiver takes after observing it is larger.
class hybrid_logical_clock
{
public:
    /// \param max_clock_offset Remote readings further ahead of the wall clock than this are
    /// ignored, so that one wrong clock does not advance the clocks of all routers.
    explicit hybrid_logical_clock(millis max_clock_offset = millis{60000})
        : max_clock_offset_(max_clock_offset)
    {
    }

    /// \returns A reading larger than all earlier ones of this clock, for a local event or a
    /// message to send.
    hybrid_time next(time_point wall_now);

    /// \brief Advances the clock to the reading of a received message.
    /// \returns errc::ok, or errc::invalid_request when the reading was ignored.
    errc observe(hybrid_time remote, time_point wall_now);

private:
    millis max_clock_offset_;
    hybrid_time last_;
};

} // namespace endivestage
