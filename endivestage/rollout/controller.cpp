#include <endivestage/rollout/controller.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// A smaller change of the share is not worth a write.
constexpr double min_share_change = 0.2;
/// A chat with a large part of the requests may need a far smaller share to leave the new version.
constexpr double min_share = 1e-4;
/// `completed` is written at the latest after this part of a short order.
constexpr std::int64_t margin_divisor = 8;
/// Parts of the drain time by which a doubtful version's switch is delayed at most.
constexpr std::int64_t max_delay_divisor = 2;

rollout_record move_to(rollout_record record, rollout_phase phase, std::string_view reason)
{
    record.phase = phase;
    record.reason = reason;
    record.share = phase == rollout_phase::reverted ? 0.0 : 1.0;
    return record;
}

} // namespace

millis rollout_controller::completion_time(millis duration) const
{
    return duration - std::min(config_.write_margin, duration / margin_divisor);
}

millis rollout_controller::switch_time(millis duration, millis longest_request) const
{
    const millis longest_drain{
        static_cast<std::int64_t>(static_cast<double>(duration.count) * config_.drain_share)};
    return completion_time(duration) - std::min(longest_request, longest_drain);
}

// Failures are compared over all of the time, where few requests add up, and over the latest time,
// where a fault that began late is not diluted.
comparison rollout_controller::find_sign(const rollout_record& current,
                                         const rollout_observation& observed, time_point now)
{
    const bool serving = current.phase == rollout_phase::serving;
    comparison worst = compare_versions(observed.counts, config_.limits, serving);
    while (snapshots_.size() > 1 && now - snapshots_[1].at >= config_.recent_period)
    {
        snapshots_.pop_front();
    }
    if (!snapshots_.empty())
    {
        evidence_counts recent = difference(observed.counts, snapshots_.front().counts);
        if (!serving)
        {
            // The old version gets no new requests, so its earlier ones are compared with.
            for (const auto& [key, counts] : observed.counts)
            {
                if (!key.is_new)
                {
                    recent[key] = counts;
                }
            }
        }
        const comparison latest = compare_versions(recent, config_.limits, serving);
        if (latest.chance < worst.chance)
        {
            worst = latest;
        }
    }
    snapshots_.push_back({now, observed.counts});
    return worst;
}

std::optional<double> rollout_controller::adjust_share(const rollout_order& order,
                                                       const rollout_record& current,
                                                       const rollout_observation& observed) const
{
    const double total = static_cast<double>(count_requests(observed.counts, false));
    const double exposed = static_cast<double>(count_requests(observed.counts, true));
    // What is on the way to this router and still runs is not counted yet.
    const double allowed = config_.exposure_share * config_.share_margin * total +
                           config_.exposure_slack * config_.slack_margin;
    if (exposed > allowed && current.share > min_share)
    {
        return current.share / 2;
    }
    const double steady = config_.exposure_share * config_.share_margin;
    if (current.share >= steady || observed.elapsed < config_.rate_period || total <= 0.0)
    {
        return std::nullopt;
    }
    const double expected = total * static_cast<double>(order.duration.count) /
                            static_cast<double>(std::max<std::int64_t>(1, observed.elapsed.count));
    const double planned = std::min(
        config_.max_share, steady + config_.exposure_slack * config_.slack_margin / expected);
    const bool worthwhile = planned > current.share * (1.0 + min_share_change);
    return worthwhile && exposed < allowed / 2 ? std::optional<double>(planned) : std::nullopt;
}

std::optional<rollout_record>
rollout_controller::decide_serving(const rollout_order& order, const rollout_record& current,
                                   const rollout_observation& observed, const comparison& sign,
                                   time_point now) const
{
    const millis complete_at = completion_time(order.duration);
    const millis switch_at = switch_time(order.duration, observed.longest_request);
    const millis latest_switch = complete_at - (complete_at - switch_at) / max_delay_divisor;
    const bool late = observed.elapsed >= latest_switch;
    if (observed.elapsed >= switch_at && observed.current &&
        now - *started_at_ >= config_.min_observation)
    {
        if (late && sign.chance < config_.late_chance)
        {
            return move_to(current, rollout_phase::reverted, sign.reason);
        }
        if (observed.new_endpoints == 0)
        {
            return observed.elapsed >= complete_at
                       ? std::optional<rollout_record>(
                             move_to(current, rollout_phase::reverted, "no_endpoints"))
                       : std::nullopt;
        }
        if (late || sign.chance >= config_.doubtful_chance)
        {
            return move_to(current, rollout_phase::switching, "no_worse");
        }
    }
    const std::optional<double> share = adjust_share(order, current, observed);
    if (!share)
    {
        return std::nullopt;
    }
    rollout_record next = current;
    next.reason = *share < current.share ? "exposure" : "rate";
    next.share = *share;
    return next;
}

std::optional<rollout_record> rollout_controller::announce(const rollout_order& order,
                                                           const rollout_record& current,
                                                           time_point now)
{
    if (!ended_at_)
    {
        ended_at_ = now;
    }
    const millis delay = std::min(config_.announce_delay, order.duration / (margin_divisor * 2));
    if (current.announced || now - *ended_at_ < delay)
    {
        return std::nullopt;
    }
    rollout_record next = current;
    next.announced = true;
    return next;
}

std::optional<rollout_record> rollout_controller::decide(const rollout_order& order,
                                                         const rollout_record& current,
                                                         const rollout_observation& observed,
                                                         time_point now)
{
    if (is_final(current.phase))
    {
        return announce(order, current, now);
    }
    if (!started_at_)
    {
        started_at_ = now;
    }
    if (current.row_revision == 0 || current.share <= 0.0)
    {
        // The first write of this order. After the deadline nothing could be proven any more.
        if (observed.elapsed >= order.duration)
        {
            return move_to(current, rollout_phase::reverted, "deadline");
        }
        rollout_record next = current;
        next.share = std::min(config_.initial_share, config_.exposure_share / 2);
        return next;
    }
    const comparison sign = find_sign(current, observed, now);
    if (sign.chance < config_.revert_chance)
    {
        return move_to(current, rollout_phase::reverted, sign.reason);
    }
    if (current.phase == rollout_phase::serving)
    {
        return decide_serving(order, current, observed, sign, now);
    }
    const bool due = observed.elapsed >= completion_time(order.duration);
    if (due && observed.current && observed.new_endpoints > 0)
    {
        return move_to(current, rollout_phase::completed, "no_worse");
    }
    return std::nullopt;
}

} // namespace endivestage
