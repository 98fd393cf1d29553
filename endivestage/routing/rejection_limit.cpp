#include <endivestage/routing/rejection_limit.hpp>

#include <algorithm>
#include <cassert>
#include <limits>

namespace endivestage
{

namespace
{

/// Part of the slots that is left to requests of other routers that the load does not include yet.
constexpr double reserved_slots = 0.5;
constexpr double max_slots = 100000.0;
constexpr time_point not_sent{std::numeric_limits<std::int64_t>::max()};

/// \returns Free slots, those of this router's open sends included.
std::uint32_t count_free_slots(const endpoint_room& room, std::size_t open)
{
    if (!room.known)
    {
        return 0;
    }
    const double others = room.load - static_cast<double>(open);
    const double free = room.slots * (1.0 - reserved_slots) - others;
    return static_cast<std::uint32_t>(std::clamp(free, 0.0, max_slots));
}

} // namespace

std::uint32_t rejection_limit::share(const endpoint_id& endpoint, std::uint32_t sends,
                                     std::span<const router_id> routers) const
{
    assert(!routers.empty());
    const std::uint32_t whole = sends / static_cast<std::uint32_t>(routers.size());
    const std::size_t rest = sends % routers.size();
    std::vector<weighted_node> nodes;
    nodes.reserve(routers.size());
    for (const router_id& id : routers)
    {
        nodes.push_back({hash64(id.view()), 1.0});
    }
    const std::vector<std::size_t> favoured =
        rank_by_rendezvous(hash64(endpoint.view()), nodes, rest);
    const bool is_favoured = std::any_of(favoured.begin(), favoured.end(),
                                         [&](std::size_t n) { return routers[n] == self_; });
    return whole + (is_favoured ? 1 : 0);
}

std::size_t rejection_limit::count_open(const endpoint_sends& sends, time_point now)
{
    return static_cast<std::size_t>(std::count_if(sends.open.begin(), sends.open.end(),
                                                  [&](const open_send& send)
                                                  { return now < send.rejected_by; }));
}

bool rejection_limit::may_send(const endpoint_id& endpoint, std::uint32_t per_second,
                               const endpoint_room& room, std::span<const router_id> routers,
                               bool only_free, time_point now) const
{
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end() && now < it->second.paused_until)
    {
        return false;
    }
    const std::size_t open = it == endpoints_.end() ? 0 : count_open(it->second, now);
    const std::uint32_t free = count_free_slots(room, open);
    const std::uint32_t rejections = only_free ? 0 : per_second;
    return open < share(endpoint, std::max(free, rejections), routers);
}

void rejection_limit::drop_ended(endpoint_sends& sends, time_point now)
{
    std::erase_if(sends.open, [&](const open_send& send) { return now >= send.rejected_by; });
}

std::uint64_t rejection_limit::begin(const endpoint_id& endpoint, time_point now)
{
    endpoint_sends& sends = endpoints_[endpoint];
    drop_ended(sends, now);
    sends.open.push_back({++last_number_, not_sent});
    return last_number_;
}

void rejection_limit::record_sent(const endpoint_id& endpoint, std::uint64_t number, time_point now)
{
    for (open_send& send : endpoints_[endpoint].open)
    {
        if (send.number == number)
        {
            send.rejected_by = now + config_.rejection_delay;
        }
    }
}

void rejection_limit::end(const endpoint_id& endpoint, std::uint64_t number)
{
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end())
    {
        std::erase_if(it->second.open,
                      [&](const open_send& send) { return send.number == number; });
    }
}

void rejection_limit::record_rejection(const endpoint_id& endpoint, std::uint64_t random,
                                       time_point now)
{
    const std::uint64_t spread = static_cast<std::uint64_t>(config_.max_spread.count) + 1;
    const millis longer{static_cast<std::int64_t>(random % spread)};
    endpoint_sends& sends = endpoints_[endpoint];
    sends.paused_until = std::max(sends.paused_until, now + config_.pause + longer);
}

void rejection_limit::expire(time_point now)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        drop_ended(it->second, now);
    }
    std::erase_if(endpoints_, [&](const std::pair<const endpoint_id, endpoint_sends>& entry)
                  { return entry.second.open.empty() && now >= entry.second.paused_until; });
}

} // namespace endivestage
