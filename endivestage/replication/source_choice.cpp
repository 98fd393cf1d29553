#include <endivestage/replication/source_choice.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// \returns The first \p count candidates in an order that is the same on all routers: larger hosts
/// first, and hosts of one size by a hash.
std::vector<router_id> rank_relays(std::vector<relay_candidate> candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const relay_candidate& a, const relay_candidate& b)
              { return a.weight != b.weight ? a.weight > b.weight : a.id < b.id; });
    std::vector<router_id> ranked;
    for (auto it = candidates.begin(); it != candidates.end() && ranked.size() < count;)
    {
        const auto end = std::find_if(it, candidates.end(),
                                      [&](const relay_candidate& candidate)
                                      { return candidate.weight != it->weight; });
        std::vector<weighted_node> nodes;
        for (auto same = it; same != end; ++same)
        {
            nodes.push_back({hash64(same->id.view())});
        }
        for (const std::size_t n :
             rank_by_rendezvous(hash64("relay"), nodes, count - ranked.size()))
        {
            ranked.push_back((it + static_cast<std::ptrdiff_t>(n))->id);
        }
        it = end;
    }
    return ranked;
}

} // namespace

std::vector<router_id> source_choice::choose_relays(std::span<const relay_candidate> live,
                                                    time_point now) const
{
    std::vector<relay_candidate> eligible;
    for (const relay_candidate& candidate : live)
    {
        const auto it = excluded_until_.find(candidate.id);
        if (it == excluded_until_.end() || it->second <= now)
        {
            eligible.push_back(candidate);
        }
    }
    const std::size_t relay_count =
        config_.relay_count + (live.size() >= config_.large_fleet_size ? 1 : 0);
    if (live.size() <= relay_count * config_.max_followers)
    {
        return rank_relays(std::move(eligible), relay_count);
    }
    std::map<zone_id, std::vector<relay_candidate>> zones;
    for (relay_candidate& candidate : eligible)
    {
        std::vector<relay_candidate>& zone = zones[candidate.zone];
        zone.push_back(std::move(candidate));
    }
    std::vector<router_id> chosen;
    for (std::pair<const zone_id, std::vector<relay_candidate>>& zone : zones)
    {
        const std::size_t zone_relay_count =
            (zone.second.size() + config_.max_followers - 1) / config_.max_followers;
        const std::vector<router_id> ranked = rank_relays(std::move(zone.second), zone_relay_count);
        chosen.insert(chosen.end(), ranked.begin(), ranked.end());
    }
    return chosen;
}

router_id source_choice::choose_primary(std::span<const relay_candidate> live,
                                        std::span<const router_id> relays)
{
    std::vector<relay_candidate> candidates;
    for (const relay_candidate& candidate : live)
    {
        if (std::find(relays.begin(), relays.end(), candidate.id) != relays.end())
        {
            candidates.push_back(candidate);
        }
    }
    const std::vector<router_id> ranked = rank_relays(std::move(candidates), 1);
    return ranked.empty() ? router_id() : ranked.front();
}

change_source source_choice::choose(std::span<const relay_candidate> live,
                                    std::optional<millis> age, time_point now) const
{
    const std::vector<router_id> ranked = choose_relays(live, now);
    const bool is_relay = std::find(ranked.begin(), ranked.end(), self_) != ranked.end();
    const router_id primary = choose_primary(live, ranked);
    if (is_relay && primary == self_)
    {
        return {change_source::kind::service, {}, true};
    }
    // A router that could not reach the table service recently asks a relay even if its copy is
    // stale.
    const auto failed = excluded_until_.find(self_);
    const bool may_refresh = failed == excluded_until_.end() || failed->second <= now;
    const bool stale = !age || *age > config_.timing.stale_after;
    if (ranked.empty() || (stale && may_refresh))
    {
        return {change_source::kind::refresh, {}, is_relay};
    }
    if (is_relay)
    {
        return {change_source::kind::relay, primary, true};
    }
    std::vector<const relay_candidate*> usable;
    for (const relay_candidate& candidate : live)
    {
        if (std::find(ranked.begin(), ranked.end(), candidate.id) != ranked.end())
        {
            usable.push_back(&candidate);
        }
    }
    // Relays in the same zone come first. Among them each router orders by a hash seeded with its
    // own id, which distributes the followers over the relays.
    const std::uint64_t seed = hash64(self_.view());
    const auto best =
        std::min_element(usable.begin(), usable.end(),
                         [&](const relay_candidate* a, const relay_candidate* b)
                         {
                             const bool a_remote = a->zone != zone_;
                             const bool b_remote = b->zone != zone_;
                             return a_remote != b_remote
                                        ? b_remote
                                        : hash64(a->id.view(), seed) < hash64(b->id.view(), seed);
                         });
    return {change_source::kind::relay, (*best)->id, false};
}

void source_choice::record_failure(const router_id& relay, time_point now)
{
    excluded_until_[relay] = now + config_.failed_relay_delay;
}

} // namespace endivestage
