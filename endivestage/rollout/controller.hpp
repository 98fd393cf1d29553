/// \file
/// \brief Decides how a roll-out goes on, on the router that writes its record.
#pragma once

#include <endivestage/rollout/evidence.hpp>
#include <endivestage/rollout/record.hpp>

#include <deque>
#include <optional>

namespace endivestage
{

/// \brief Bounds and tunables of a \ref rollout_controller.
struct rollout_config
{
    double exposure_share = 0.1;  ///< Part of all requests that a bad version may get.
    double exposure_slack = 50.0; ///< Requests on top.
    double share_margin = 0.7;    ///< Used part of exposure_share.
    double slack_margin = 0.5;    ///< Used part of exposure_slack.
    double initial_share = 0.05;  ///< Until the rate of requests is known.
    double max_share = 0.5;       ///< While the version is not proven.
    millis rate_period{1000};     ///< Time after which the rate of requests is known.
    millis recent_period{2000};   ///< A fault that begins late shows in the latest counts.
    millis write_margin{1500};    ///< `completed` is decided this long before the deadline.
    /// A final phase is announced this long after the decision was stored. All routers act on it by
    /// then, since relays pass changes on at once.
    millis announce_delay{500};
    millis min_observation{1500};  ///< Evidence of a shorter time completes nothing.
    double drain_share = 0.4;      ///< At most this part of the time is left for open requests.
    double revert_chance = 1e-5;   ///< A sign this unlikely reverts the version at once.
    double doubtful_chance = 1e-2; ///< A sign this unlikely delays the switch.
    double late_chance = 1e-3;     ///< A sign this unlikely reverts it when no time is left.
    comparison_limits limits;
};

/// \brief What the writer knows at one instant.
struct rollout_observation
{
    evidence_counts counts;        ///< Of all routers since the order.
    millis elapsed{0};             ///< Since the order.
    millis longest_request{0};     ///< Longest timeout of the service's routes.
    std::size_t old_endpoints = 0; ///< Endpoints that may get requests.
    std::size_t new_endpoints = 0;
    bool current = true; ///< The copies of the tables and the other routers' counts are recent.
};

/// \brief Decides on one order. Not thread-safe; the times passed in must not decrease.
class rollout_controller
{
public:
    explicit rollout_controller(rollout_config config) : config_(config) {}

    /// \returns The record that should replace \p current; nothing while it stands.
    std::optional<rollout_record> decide(const rollout_order& order, const rollout_record& current,
                                         const rollout_observation& observed, time_point now);

    /// \returns When new requests should all go to the new version, after the order.
    millis switch_time(millis duration, millis longest_request) const;

    /// \returns When the old version gets nothing any more, after the order.
    millis completion_time(millis duration) const;

private:
    struct snapshot
    {
        time_point at;
        evidence_counts counts;
    };

    std::optional<rollout_record> announce(const rollout_order& order,
                                           const rollout_record& current, time_point now);
    comparison find_sign(const rollout_record& current, const rollout_observation& observed,
                         time_point now);
    std::optional<double> adjust_share(const rollout_order& order, const rollout_record& current,
                                       const rollout_observation& observed) const;
    std::optional<rollout_record> decide_serving(const rollout_order& order,
                                                 const rollout_record& current,
                                                 const rollout_observation& observed,
                                                 const comparison& sign, time_point now) const;

    rollout_config config_;
    std::deque<snapshot> snapshots_;       ///< Of recent_period.
    std::optional<time_point> started_at_; ///< First decision.
    std::optional<time_point> ended_at_;   ///< When the final phase was first read.
};

} // namespace endivestage
