#include <endivestage/routing/send_limits.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace endivestage
{

sliding_window_counter::sliding_window_counter(millis window, std::int64_t slots)
    : slot_length_{std::max<std::int64_t>(1, window.count / slots)},
      slots_(slots)
{
}

void sliding_window_counter::expire(time_point now)
{
    const std::int64_t oldest = now.since_epoch / slot_length_.count - slots_;
    while (!entries_.empty() && entries_.front().number < oldest)
    {
        total_ -= entries_.front().count;
        entries_.pop_front();
    }
}

void sliding_window_counter::add(time_point now)
{
    expire(now);
    const std::int64_t number = now.since_epoch / slot_length_.count;
    if (entries_.empty() || entries_.back().number != number)
    {
        entries_.push_back({number, 0});
    }
    ++entries_.back().count;
    ++total_;
}

std::uint64_t sliding_window_counter::total(time_point now)
{
    expire(now);
    return total_;
}

repeat_budget::repeat_budget(repeat_limit limit, time_point started)
    : limit_(limit),
      started_(started),
      first_sends_(limit.window),
      repeats_(limit.window)
{
}

void repeat_budget::set_limit(repeat_limit limit, time_point now)
{
    if (limit.window != limit_.window)
    {
        *this = repeat_budget(limit, now);
        return;
    }
    limit_ = limit;
}

void repeat_budget::record_first_send(time_point now)
{
    first_sends_.add(now);
}

bool repeat_budget::has_room(time_point now, std::size_t routers)
{
    assert(routers > 0);
    double allowed = limit_.ratio * static_cast<double>(first_sends_.total(now));
    if (now - started_ > limit_.window)
    {
        allowed += static_cast<double>(limit_.allowance) / static_cast<double>(routers);
    }
    return static_cast<double>(repeats_.total(now) + 1) <= allowed * usable_part;
}

bool repeat_budget::try_acquire(time_point now, std::size_t routers)
{
    const bool acquired = has_room(now, routers);
    if (acquired)
    {
        repeats_.add(now);
    }
    return acquired;
}

std::uint32_t cold_send_share::requests_per_s(const endpoint_id& endpoint,
                                              const cold_send_limit& limit,
                                              std::span<const router_id> routers) const
{
    assert(!routers.empty());
    const double share = limit.sustained_per_s / static_cast<double>(routers.size());
    if (share >= 1.0)
    {
        return static_cast<std::uint32_t>(share);
    }
    if (static_cast<double>(routers.size()) <= limit.max_per_s * 0.85)
    {
        return 1;
    }
    const std::size_t subset_size =
        static_cast<std::size_t>(std::max(1.0, std::floor(limit.sustained_per_s * 0.7)));
    std::vector<weighted_node> nodes;
    nodes.reserve(routers.size());
    for (const router_id& id : routers)
    {
        nodes.push_back({hash64(id.view()), 1.0});
    }
    for (const std::size_t n : rank_by_rendezvous(hash64(endpoint.view()), nodes, subset_size))
    {
        if (routers[n] == self_)
        {
            return 1;
        }
    }
    return 0;
}

bool cold_send_share::try_acquire(const endpoint_id& endpoint, const cold_send_limit& limit,
                                  std::span<const router_id> routers, time_point now)
{
    std::deque<time_point>& times = sent_[endpoint];
    while (!times.empty() && now - times.front() > window)
    {
        times.pop_front();
    }
    if (times.size() >= requests_per_s(endpoint, limit, routers))
    {
        return false;
    }
    times.push_back(now);
    return true;
}

} // namespace endivestage
