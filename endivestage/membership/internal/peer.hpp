/// \file
/// \brief State that the failure detector keeps for each other router.
#pragma once

#include <algorithm>
#include <endivestage/core/clock.hpp>
#include <endivestage/membership/failure_detector.hpp>
#include <optional>
#include <tuple>

namespace endivestage::internal
{

/// \brief Observed state of another router and its history of failures.
struct peer
{
    member_update record;
    bool observed = false;       ///< A packet, gossip or a view has reported the router.
    bool listed = false;         ///< In the host list.
    bool listed_leaving = false; ///< Marked as leaving in the host list.
    time_point state_since;      ///< Start of the present state.
    bool warned = false;         ///< Was probed late in the present suspicion.
    std::size_t failures = 0;
    time_point last_failure;
    std::optional<time_point> hold_down_until;

    /// \returns Whether the router was observed and is not dead.
    bool present() const { return observed && record.state != member_state::dead; }

    /// \brief Counts a failure. From the second recent failure on, rejoining is delayed by a
    /// hold-down, which doubles with each further failure.
    void record_failure(const swim_config& config, time_point now)
    {
        failures = now - last_failure > config.failure_count_ttl ? 1 : failures + 1;
        last_failure = now;
        hold_down_until.reset();
        if (failures > 1)
        {
            const std::size_t doublings = std::min<std::size_t>(failures - 2, 20);
            const millis hold = config.initial_hold_down * (std::int64_t{1} << doublings);
            hold_down_until = now + std::min(hold, config.max_hold_down);
        }
    }
};

/// \returns Whether \p update replaces \p current. Compares incarnations, then refutation counts,
/// then states, of which the later enumerator wins.
inline bool overrides(const member_update& update, const member_update& current)
{
    return std::tuple(update.who.incarnation, update.refutation, update.state) >
           std::tuple(current.who.incarnation, current.refutation, current.state);
}

} // namespace endivestage::internal
