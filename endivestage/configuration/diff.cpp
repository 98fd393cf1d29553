#include <endivestage/configuration/diff.hpp>

#include <utility>

namespace endivestage
{

namespace
{

using changes = std::vector<configuration_change>;

/// \brief Appends the changes between two lists that are sorted by id.
/// \param is_changed Whether two entries with the same id differ.
template <class Entry, class Predicate>
void diff_lists(const std::vector<Entry>& before, const std::vector<Entry>& after,
                configuration_subject subject, const std::string& parent, changes& out,
                Predicate is_changed)
{
    auto old_it = before.begin();
    auto new_it = after.begin();
    while (old_it != before.end() || new_it != after.end())
    {
        const bool only_old = new_it == after.end() ||
                              (old_it != before.end() && old_it->id.str() < new_it->id.str());
        const bool only_new = old_it == before.end() ||
                              (new_it != after.end() && new_it->id.str() < old_it->id.str());
        if (only_old)
        {
            out.push_back({subject, configuration_change_kind::removed, parent, old_it->id.str()});
            ++old_it;
        }
        else if (only_new)
        {
            out.push_back({subject, configuration_change_kind::added, parent, new_it->id.str()});
            ++new_it;
        }
        else
        {
            if (is_changed(*old_it, *new_it))
            {
                out.push_back(
                    {subject, configuration_change_kind::changed, parent, new_it->id.str()});
            }
            ++old_it;
            ++new_it;
        }
    }
}

template <class Entry>
bool differs(const Entry& before, const Entry& after)
{
    return !(before == after);
}

bool pool_differs(pool before, pool after)
{
    before.engines.clear();
    after.engines.clear();
    return differs(before, after);
}

bool service_pool_differs(const service_pool& before, const service_pool& after)
{
    return before.region != after.region;
}

bool service_differs(const service& before, const service& after)
{
    return before.routes != after.routes;
}

template <class Entry>
const Entry& value_or_empty(const Entry* found)
{
    static const Entry empty;
    return found == nullptr ? empty : *found;
}

/// \returns The entries of both lists by id; null if a list lacks the id.
template <class Entry>
std::map<std::string, std::pair<const Entry*, const Entry*>>
pair_by_id(const std::vector<Entry>& before, const std::vector<Entry>& after)
{
    std::map<std::string, std::pair<const Entry*, const Entry*>> pairs;
    for (const Entry& entry : before)
    {
        pairs[entry.id.str()].first = &entry;
    }
    for (const Entry& entry : after)
    {
        pairs[entry.id.str()].second = &entry;
    }
    return pairs;
}

void diff_engines(const fleet_configuration& before, const fleet_configuration& after, changes& out)
{
    for (const auto& [id, pair] : pair_by_id(before.pools, after.pools))
    {
        diff_lists(value_or_empty(pair.first).engines, value_or_empty(pair.second).engines,
                   configuration_subject::pool_engine, id, out, differs<endpoint_entry>);
    }
}

std::vector<endpoint_entry> endpoints_of(const service& entry)
{
    std::map<endpoint_id, endpoint_entry> sorted;
    for (const service_pool& service_pool_entry : entry.pools)
    {
        for (const endpoint_entry& endpoint : service_pool_entry.endpoints)
        {
            sorted.emplace(endpoint.id, endpoint);
        }
    }
    std::vector<endpoint_entry> endpoints;
    endpoints.reserve(sorted.size());
    for (const auto& [id, endpoint] : sorted)
    {
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

void diff_service_parts(const fleet_configuration& before, const fleet_configuration& after,
                        changes& out)
{
    const auto pairs = pair_by_id(before.services, after.services);
    for (const auto& [id, pair] : pairs)
    {
        diff_lists(value_or_empty(pair.first).pools, value_or_empty(pair.second).pools,
                   configuration_subject::service_pool, id, out, service_pool_differs);
    }
    for (const auto& [id, pair] : pairs)
    {
        diff_lists(endpoints_of(value_or_empty(pair.first)),
                   endpoints_of(value_or_empty(pair.second)),
                   configuration_subject::service_endpoint, id, out, differs<endpoint_entry>);
    }
}

using priority_id = id<struct priority_tag>;

struct priority_entry
{
    priority_id id;
    std::uint32_t level = 0;

    bool operator==(const priority_entry&) const = default;
};

std::vector<priority_entry> priorities_of(const fleet_configuration& configuration)
{
    std::vector<priority_entry> entries;
    for (const auto& [name, level] : configuration.priorities)
    {
        entries.push_back({priority_id(name), level});
    }
    return entries;
}

} // namespace

std::vector<configuration_change> diff_configurations(const fleet_configuration& before,
                                                      const fleet_configuration& after)
{
    changes out;
    diff_lists(before.pools, after.pools, configuration_subject::pool, "", out, pool_differs);
    diff_engines(before, after, out);
    diff_lists(before.services, after.services, configuration_subject::service, "", out,
               service_differs);
    diff_service_parts(before, after, out);
    diff_lists(before.teams, after.teams, configuration_subject::team, "", out, differs<team>);
    diff_lists(before.zones, after.zones, configuration_subject::zone, "", out, differs<zone>);
    diff_lists(priorities_of(before), priorities_of(after), configuration_subject::priority, "",
               out, differs<priority_entry>);
    if (differs(before.limits, after.limits))
    {
        out.push_back({configuration_subject::limits, configuration_change_kind::changed, "", ""});
    }
    return out;
}

} // namespace endivestage
