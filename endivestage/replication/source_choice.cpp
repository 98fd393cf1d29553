#include <endivestage/replication/source_choice.hpp>

#include <algorithm>

namespace endivestage
{

std::vector<router_id> source_choice::relays(std::span<const relay_candidate> live) const
{
    std::vector<relay_candidate> all(live.begin(), live.end());
    std::sort(all.begin(), all.end(),
              [](const relay_candidate& a, const relay_candidate& b) { return a.id < b.id; });
    std::vector<weighted_node> nodes;
    nodes.reserve(all.size());
    for (const relay_candidate& candidate : all)
    {
        nodes.push_back({hash64(candidate.id.view()), candidate.weight});
    }
    const std::size_t wanted = config_.relays + (all.size() >= config_.large_fleet ? 1 : 0);
    std::vector<router_id> chosen;
    for (const std::size_t n : rank_by_rendezvous(hash64("relay"), nodes, wanted))
    {
        chosen.push_back(all[n].id);
    }
    return chosen;
}

change_source source_choice::choose(std::span<const relay_candidate> live,
                                    std::optional<millis> age, time_point now)
{
    const std::vector<router_id> ranked = relays(live);
    if (std::find(ranked.begin(), ranked.end(), self_) != ranked.end())
    {
        return {};
    }
    if (!age || *age > config_.stale_after)
    {
        direct_until_ = now + config_.direct_period;
    }
    std::vector<const relay_candidate*> usable;
    for (const relay_candidate& candidate : live)
    {
        const auto it = distrusted_until_.find(candidate.id);
        if (std::find(ranked.begin(), ranked.end(), candidate.id) != ranked.end() &&
            (it == distrusted_until_.end() || it->second <= now))
        {
            usable.push_back(&candidate);
        }
    }
    if (now < direct_until_ || usable.empty())
    {
        return {};
    }
    // Within the zone first; among equals each router takes its own, which spreads the load.
    const std::uint64_t seed = hash64(self_.view());
    const auto best = std::min_element(
        usable.begin(), usable.end(),
        [&](const relay_candidate* a, const relay_candidate* b)
        {
            const bool a_far = a->zone != zone_;
            const bool b_far = b->zone != zone_;
            return a_far != b_far ? b_far : hash64(a->id.view(), seed) < hash64(b->id.view(), seed);
        });
    return {(*best)->id};
}

void source_choice::failed(const router_id& relay, time_point now)
{
    distrusted_until_[relay] = now + config_.distrust;
}

} // namespace endivestage
