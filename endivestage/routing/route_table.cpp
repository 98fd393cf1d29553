#include <endivestage/routing/route_table.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

std::string_view to_string(execution_semantics semantics)
{
    switch (semantics)
    {
    case execution_semantics::at_most_once:
        return "at_most_once";
    case execution_semantics::idempotent:
        return "idempotent";
    case execution_semantics::resumable:
        break;
    }
    return "resumable";
}

route_table::route_table(std::uint64_t version, std::vector<route> routes,
                         std::vector<service_profile> services, std::vector<team_access> teams,
                         caller_limits limits)
    : version_(version),
      limits_(limits),
      routes_(std::move(routes)),
      services_(std::move(services)),
      teams_(std::move(teams))
{
    for (std::size_t n = 0; n < routes_.size(); ++n)
    {
        by_host_[routes_[n].host].push_back(n);
    }
    for (auto it = by_host_.begin(); it != by_host_.end(); ++it)
    {
        std::stable_sort(it->second.begin(), it->second.end(),
                         [this](std::size_t a, std::size_t b)
                         { return routes_[a].path_prefix.size() > routes_[b].path_prefix.size(); });
    }
    for (std::size_t n = 0; n < teams_.size(); ++n)
    {
        for (const std::string& key : teams_[n].keys)
        {
            by_key_.emplace(key, n);
        }
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto it = by_host_.find(std::string(host));
    if (it == by_host_.end())
    {
        return nullptr;
    }
    for (const std::size_t n : it->second)
    {
        if (path.starts_with(routes_[n].path_prefix))
        {
            return &routes_[n];
        }
    }
    return nullptr;
}

const service_profile* route_table::find_service(const service_id& name) const
{
    const auto it = std::find_if(services_.begin(), services_.end(),
                                 [&](const service_profile& s) { return s.name == name; });
    return it == services_.end() ? nullptr : &*it;
}

const team_access* route_table::find_team(std::string_view key) const
{
    const auto it = by_key_.find(std::string(key));
    return it == by_key_.end() ? nullptr : &teams_[it->second];
}

const service_id& choose_target(const route& matched, std::uint64_t key_hash)
{
    assert(!matched.targets.empty());
    double total = 0.0;
    for (const route_target& target : matched.targets)
    {
        total += target.weight;
    }
    constexpr double unit_scale = 0x1.0p-64;
    double draw = static_cast<double>(key_hash) * unit_scale * total;
    for (const route_target& target : matched.targets)
    {
        if (draw < target.weight)
        {
            return target.service;
        }
        draw -= target.weight;
    }
    return matched.targets.back().service;
}

} // namespace endivestage
