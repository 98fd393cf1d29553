/// \file
/// \brief What the failure detector keeps about another router.
#pragma once

#include <algorithm>
#include <endivestage/core/clock.hpp>
#include <endivestage/membership/failure_detector.hpp>
#include <optional>
#include <tuple>

namespace endivestage::internal
{

/// \brief Belief about another router and its history of failures.
struct peer
{
    member_update belief;
    bool heard = false;  ///< Someone has had a sign of life of it.
    bool listed = false; ///< In the host list.
    bool listed_leaving = false;
    time_point since; ///< Start of the present state.
    std::size_t failures = 0;
    time_point last_failure;
    std::optional<time_point> held_until;

    /// \returns Whether the router takes part, as far as is known.
    bool present() const { return heard && belief.state != member_state::dead; }

    /// \brief Counts a failure; of one that follows others, the return is held down.
    void note_failure(const swim_config& config, time_point now)
    {
        failures = now - last_failure > config.failure_count_ttl ? 1 : failures + 1;
        last_failure = now;
        held_until.reset();
        if (failures > 1)
        {
            const std::size_t doublings = std::min<std::size_t>(failures - 2, 20);
            const millis hold = config.initial_hold_down * (std::int64_t{1} << doublings);
            held_until = now + std::min(hold, config.max_hold_down);
        }
    }
};

/// \returns Whether \p news replaces \p old: a later run, a later refutation, a worse state.
inline bool overrides(const member_update& news, const member_update& old)
{
    return std::tuple(news.who.incarnation, news.refutation, news.state) >
           std::tuple(old.who.incarnation, old.refutation, old.state);
}

} // namespace endivestage::internal
