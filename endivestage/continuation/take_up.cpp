#include <endivestage/continuation/take_up.hpp>

#include <algorithm>
#include <utility>

namespace endivestage
{

take_up_decision decide_take_up(const std::optional<stream_origin>& origin, std::uint64_t service,
                                std::span<const std::uint64_t> versions, bool current)
{
    take_up_decision decision;
    if (origin && origin->service == service)
    {
        decision.goes_on = true;
        decision.version = origin->version;
    }
    else if (versions.size() <= 1 && current)
    {
        decision.goes_on = true;
        if (!versions.empty())
        {
            decision.version = versions.front();
        }
    }
    return decision;
}

std::vector<router_id> choose_holders(std::uint64_t stream, std::span<const router_id> routers,
                                      std::size_t count)
{
    std::vector<std::pair<std::uint64_t, router_id>> ranked;
    ranked.reserve(routers.size());
    for (const router_id& router : routers)
    {
        ranked.emplace_back(hash64(router.view(), stream), router);
    }
    const std::size_t chosen = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
                      ranked.end());
    std::vector<router_id> holders;
    for (std::size_t n = 0; n < chosen; ++n)
    {
        holders.push_back(ranked[n].second);
    }
    return holders;
}

} // namespace endivestage
