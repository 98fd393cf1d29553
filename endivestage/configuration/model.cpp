#include <endivestage/configuration/model.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

template <class Entry, class Id>
const Entry* find_by_id(const std::vector<Entry>& entries, const Id& id)
{
    const auto it = std::lower_bound(entries.begin(), entries.end(), id,
                                     [](const Entry& entry, const Id& key)
                                     { return entry.id.view() < key.view(); });
    return it != entries.end() && it->id == id ? &*it : nullptr;
}

} // namespace

const service_route* service::find_route(std::string_view method, std::string_view path) const
{
    const service_route* best = nullptr;
    for (const service_route& route : routes)
    {
        if (route.method == method && path.starts_with(route.prefix) &&
            (best == nullptr || route.prefix.size() > best->prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

const pool* fleet_configuration::find(const pool_id& id) const
{
    return find_by_id(pools, id);
}

const service* fleet_configuration::find(const service_id& id) const
{
    return find_by_id(services, id);
}

const team* fleet_configuration::find(const team_id& id) const
{
    return find_by_id(teams, id);
}

const zone* fleet_configuration::find(const zone_id& id) const
{
    return find_by_id(zones, id);
}

} // namespace endivestage
