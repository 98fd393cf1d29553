#include <endivestage/ownership/owner.hpp>

#include <algorithm>
#include <endivestage/core/hashing.hpp>
#include <map>

namespace endivestage
{

namespace
{

// Different seeds make the rankings for different roles independent of each other.
constexpr std::uint64_t owner_seed = 1;
constexpr std::uint64_t witness_seed = 2;
constexpr std::uint64_t aggregator_seed = 3;

template <class Filter>
std::vector<const member*> rank_members(std::span<const member> members, std::uint64_t key,
                                        std::size_t limit, Filter filter)
{
    std::vector<const member*> eligible;
    std::vector<weighted_node> nodes;
    for (const member& candidate : members)
    {
        if (filter(candidate))
        {
            eligible.push_back(&candidate);
            nodes.push_back({hash64(candidate.id.view()), 1.0});
        }
    }
    std::vector<const member*> result;
    for (const std::size_t n : rank_by_rendezvous(key, nodes, limit))
    {
        result.push_back(eligible[n]);
    }
    return result;
}

std::vector<member> copy_members(const std::vector<const member*>& members)
{
    std::vector<member> result;
    result.reserve(members.size());
    for (const member* candidate : members)
    {
        result.push_back(*candidate);
    }
    return result;
}

bool is_staying(const member& candidate)
{
    return !candidate.leaving;
}

} // namespace

const member* owner_of(std::span<const member> members, const endpoint_id& endpoint)
{
    const std::uint64_t key = hash64(endpoint.view(), owner_seed);
    const member* best = nullptr;
    double best_score = 0.0;
    for (const member& candidate : members)
    {
        const double score =
            candidate.leaving ? 0.0 : rendezvous_score(key, hash64(candidate.id.view()));
        if (score > best_score)
        {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

std::vector<member> owner_candidates(const view& current, const endpoint_id& endpoint,
                                     std::size_t limit)
{
    return copy_members(
        rank_members(current.members, hash64(endpoint.view(), owner_seed), limit, is_staying));
}

std::vector<member> witnesses_of(std::span<const member> members, const router_id& id)
{
    std::vector<const member*> others =
        rank_members(members, hash64(id.view(), witness_seed), members.size(),
                     [&](const member& candidate) { return candidate.id != id; });
    std::map<zone_id, std::size_t> picks;
    if (const member* own = find_member(members, id))
    {
        picks[own->zone] = 1;
    }
    std::vector<member> witnesses;
    while (witnesses.size() < max_witnesses && !others.empty())
    {
        const auto best = std::min_element(others.begin(), others.end(),
                                           [&](const member* a, const member* b)
                                           { return picks[a->zone] < picks[b->zone]; });
        ++picks[(*best)->zone];
        witnesses.push_back(**best);
        others.erase(best);
    }
    return witnesses;
}

std::vector<member> aggregators_of(const view& current, const pool_id& pool, std::size_t limit)
{
    return copy_members(
        rank_members(current.members, hash64(pool.view(), aggregator_seed), limit, is_staying));
}

} // namespace endivestage
