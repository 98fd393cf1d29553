#include <endivestage/routing/load_aggregator.hpp>

#include <algorithm>
#include <cstdlib>

namespace endivestage
{

void load_aggregator::remove(const source& removed)
{
    for (const std::pair<const std::uint64_t, std::uint32_t>& part : removed.open)
    {
        engines_[part.first].requests -= part.second;
    }
}

void load_aggregator::replace(std::uint64_t key, bool is_relay,
                              std::span<const engine_requests> open, time_point now)
{
    source& from = sources_[key];
    remove(from);
    from.open.clear();
    from.is_relay = is_relay;
    from.reported_at = now;
    for (const engine_requests& part : open)
    {
        from.open[part.engine] += part.requests;
        engines_[part.engine].requests += part.requests;
    }
}

void load_aggregator::apply_router_report(std::uint64_t router,
                                          std::span<const engine_requests> open, time_point now)
{
    replace(router, false, open, now);
}

void load_aggregator::apply_relay_report(std::uint64_t relay, std::span<const engine_requests> open,
                                         time_point now)
{
    // Followers and relays share one map, so that a router is not counted in both roles: when it
    // changes between them, its latest report replaces the one of its former role.
    replace(relay, true, open, now);
}

void load_aggregator::expire_sources(time_point now)
{
    for (auto it = sources_.begin(); it != sources_.end();)
    {
        if (now - it->second.reported_at > config_.source_ttl)
        {
            remove(it->second);
            it = sources_.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

void load_aggregator::publish(std::uint64_t engine, entry& sum, time_point now)
{
    by_sequence_.erase(sum.sequence);
    sum.published = static_cast<std::uint32_t>(sum.requests);
    sum.published_at = now;
    sum.sequence = ++sequence_;
    by_sequence_[sum.sequence] = engine;
}

void load_aggregator::refresh(time_point now)
{
    if (now - refreshed_at_ < config_.refresh_interval)
    {
        return;
    }
    refreshed_at_ = now;
    expire_sources(now);
    for (auto it = engines_.begin(); it != engines_.end();)
    {
        entry& engine = it->second;
        const std::int64_t difference =
            std::abs(engine.requests - static_cast<std::int64_t>(engine.published));
        const bool large = difference >= config_.min_change &&
                           static_cast<double>(difference) >=
                               config_.min_change_ratio * static_cast<double>(engine.published);
        if (large || (difference > 0 && now - engine.published_at >= config_.small_change_delay))
        {
            publish(it->first, engine, now);
        }
        const bool idle = engine.requests == 0 && engine.published == 0;
        if (idle && now - engine.published_at > config_.idle_ttl)
        {
            by_sequence_.erase(engine.sequence);
            it = engines_.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

std::vector<engine_requests> load_aggregator::follower_loads(time_point now)
{
    expire_sources(now);
    std::map<std::uint64_t, std::uint32_t> sums;
    for (const std::pair<const std::uint64_t, source>& from : sources_)
    {
        for (const std::pair<const std::uint64_t, std::uint32_t>& part : from.second.open)
        {
            sums[part.first] += from.second.is_relay ? 0 : part.second;
        }
    }
    std::vector<engine_requests> loads;
    for (const std::pair<const std::uint64_t, std::uint32_t>& sum : sums)
    {
        if (sum.second > 0)
        {
            loads.push_back({sum.first, sum.second});
        }
    }
    return loads;
}

load_changes load_aggregator::changes_since(std::uint64_t since, time_point now)
{
    refresh(now);
    load_changes changes;
    changes.complete = since == 0;
    changes.last_sequence = sequence_;
    for (auto it = by_sequence_.upper_bound(since); it != by_sequence_.end(); ++it)
    {
        const entry& engine = engines_.at(it->second);
        if (engine.published > 0 || !changes.complete)
        {
            changes.loads.push_back({it->second, engine.published});
        }
    }
    return changes;
}

} // namespace endivestage
