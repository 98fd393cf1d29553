#include <endivestage/address/answer.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace endivestage
{

namespace
{

constexpr std::size_t group_count = 3;

bool accepts_callers(const router_status& router)
{
    return router.live && !router.leaving && router.zone_in_service;
}

/// \returns 0 for the caller's zone, 1 for other zones of its region, 2 for other regions.
std::size_t group_of(const router_status& router, const address_query& query)
{
    if (!query.zone.empty() && router.zone == query.zone)
    {
        return 0;
    }
    return !query.region.empty() && router.region == query.region ? 1 : 2;
}

void rotate(std::vector<address_entry>& entries, std::uint64_t rotation)
{
    // Sorts first, so that the result does not depend on the order of the input.
    std::sort(entries.begin(), entries.end(),
              [](const address_entry& a, const address_entry& b) { return a.id < b.id; });
    if (!entries.empty())
    {
        const std::ptrdiff_t shift = static_cast<std::ptrdiff_t>(rotation % entries.size());
        std::rotate(entries.begin(), entries.begin() + shift, entries.end());
    }
}

} // namespace

address_answer make_address_answer(std::span<const router_status> routers,
                                   const address_query& query)
{
    assert(query.max_entries > 0);
    std::array<std::vector<address_entry>, group_count> groups;
    for (const router_status& router : routers)
    {
        if (accepts_callers(router))
        {
            groups.at(group_of(router, query))
                .push_back({router.id, router.host, router.port, router.zone});
        }
    }
    address_answer answer{{}, query.lifetime};
    for (std::vector<address_entry>& group : groups)
    {
        rotate(group, query.rotation);
        answer.routers.insert(answer.routers.end(), group.begin(), group.end());
    }
    answer.routers.resize(std::min(answer.routers.size(), query.max_entries));
    return answer;
}

} // namespace endivestage
