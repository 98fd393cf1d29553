#include <endivestage/configuration/internal/builder.hpp>

#include <endivestage/configuration/internal/address_text.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace endivestage::internal
{

namespace
{

namespace json = boost::json;

/// \brief A JSON object in the document and its path.
struct object_node
{
    const json::object* object = nullptr;
    std::string path;
};

class builder
{
public:
    builder(const merged_document& document, fault_list& faults)
        : document_(&document),
          faults_(&faults)
    {
    }

    fleet_configuration build();

private:
    void fault(configuration_fault_kind kind, const std::string& path, std::string reason);
    const json::value* member(const object_node& node, std::string_view key) const;
    const json::value* required(const object_node& node, std::string_view key);
    std::string text(const object_node& node, std::string_view key, bool is_required);
    bool flag(const object_node& node, std::string_view key, bool fallback) const;
    double number(const object_node& node, std::string_view key, double fallback) const;
    std::uint64_t integer(const object_node& node, std::string_view key,
                          std::uint64_t fallback) const;
    millis milliseconds(const object_node& node, std::string_view key, millis fallback) const;
    std::vector<std::pair<std::string, object_node>> entries(const object_node& node,
                                                             std::string_view key) const;

    void read_zones(const object_node& root);
    void read_teams(const object_node& root);
    void read_priorities(const object_node& root);
    void read_limits(const object_node& root);
    void read_pools(const object_node& root);
    void read_services(const object_node& root);
    service_pool read_service_pool(const std::string& id, const object_node& node);
    std::vector<service_route> read_routes(const object_node& node);
    std::vector<endpoint_entry> read_endpoints(const object_node& node, std::string_view key,
                                               const region_id& region);
    endpoint_entry read_endpoint(const std::string& id, const object_node& node);
    void assign_region(endpoint_entry& entry, const object_node& node, const region_id& region);
    region_id read_region(const object_node& node);
    void register_pool_id(const std::string& id, const std::string& path);
    void register_endpoint(const endpoint_entry& entry, const std::string& path);

    const merged_document* document_;
    fault_list* faults_;
    fleet_configuration result_;
    std::map<std::string, std::string> pool_paths_;
    std::map<std::string, std::string> endpoint_paths_;
    std::map<std::pair<std::string, std::uint16_t>, std::string> address_paths_;
};

fleet_configuration builder::build()
{
    const object_node root{&document_->root(), ""};
    read_zones(root);
    read_priorities(root);
    read_limits(root);
    read_teams(root);
    read_pools(root);
    read_services(root);
    return std::move(result_);
}

void builder::fault(configuration_fault_kind kind, const std::string& path, std::string reason)
{
    faults_->add(kind, document_->origin(path), path, std::move(reason));
}

const json::value* builder::member(const object_node& node, std::string_view key) const
{
    return node.object->if_contains(json::string_view(key.data(), key.size()));
}

const json::value* builder::required(const object_node& node, std::string_view key)
{
    const json::value* found = member(node, key);
    const std::string path = join_path(node.path, key);
    if (found == nullptr && !faults_->has_fault_at(path))
    {
        fault(configuration_fault_kind::missing_key, path, "required key is missing");
    }
    return found;
}

std::string builder::text(const object_node& node, std::string_view key, bool is_required)
{
    const json::value* found = is_required ? required(node, key) : member(node, key);
    return found == nullptr ? std::string()
                            : std::string(found->get_string().data(), found->get_string().size());
}

bool builder::flag(const object_node& node, std::string_view key, bool fallback) const
{
    const json::value* found = member(node, key);
    return found == nullptr ? fallback : found->get_bool();
}

double builder::number(const object_node& node, std::string_view key, double fallback) const
{
    // Boost.JSON may parse a decimal number with an error of one unit in the last place. Rounding
    // to six decimals removes the error from the value and thus from the digest.
    constexpr double decimal_scale = 1e6;
    const json::value* found = member(node, key);
    return found == nullptr
               ? fallback
               : std::round(found->to_number<double>() * decimal_scale) / decimal_scale;
}

std::uint64_t builder::integer(const object_node& node, std::string_view key,
                               std::uint64_t fallback) const
{
    const json::value* found = member(node, key);
    return found == nullptr ? fallback : found->to_number<std::uint64_t>();
}

millis builder::milliseconds(const object_node& node, std::string_view key, millis fallback) const
{
    return {
        static_cast<std::int64_t>(integer(node, key, static_cast<std::uint64_t>(fallback.count)))};
}

std::vector<std::pair<std::string, object_node>> builder::entries(const object_node& node,
                                                                  std::string_view key) const
{
    std::vector<std::pair<std::string, object_node>> found;
    const json::value* value = member(node, key);
    if (value == nullptr)
    {
        return found;
    }
    const std::string path = join_path(node.path, key);
    for (const json::key_value_pair& entry : value->get_object())
    {
        const std::string id(entry.key().data(), entry.key().size());
        found.push_back({id, {entry.value().if_object(), join_path(path, id)}});
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return found;
}

void builder::read_zones(const object_node& root)
{
    for (const auto& [id, node] : entries(root, "zones"))
    {
        result_.zones.push_back({zone_id(id), region_id(text(node, "region", true))});
    }
}

void builder::read_priorities(const object_node& root)
{
    for (const auto& [name, node] : entries(root, "priorities"))
    {
        const json::value& level = root.object->at("priorities").get_object().at(name);
        result_.priorities[name] = level.to_number<std::uint32_t>();
    }
}

void builder::read_limits(const object_node& root)
{
    const json::value* found = member(root, "limits");
    if (found == nullptr)
    {
        return;
    }
    const object_node node{&found->get_object(), "limits"};
    fleet_limits& limits = result_.limits;
    limits.request_bytes = integer(node, "request_bytes", limits.request_bytes);
    limits.queue_per_team =
        static_cast<std::uint32_t>(integer(node, "queue_per_team", limits.queue_per_team));
    limits.request_deadline = milliseconds(node, "request_deadline_ms", limits.request_deadline);
    limits.retry_ratio = number(node, "retry_ratio", limits.retry_ratio);
    limits.address_lifetime = milliseconds(node, "address_lifetime_ms", limits.address_lifetime);
}

void builder::read_teams(const object_node& root)
{
    for (const auto& [id, node] : entries(root, "teams"))
    {
        team entry;
        entry.id = team_id(id);
        entry.weight = number(node, "weight", entry.weight);
        entry.token_digest = text(node, "token_digest", false);
        entry.priority_ceiling =
            static_cast<std::uint32_t>(integer(node, "priority_ceiling", entry.priority_ceiling));
        result_.teams.push_back(std::move(entry));
    }
}

void builder::read_pools(const object_node& root)
{
    for (const auto& [id, node] : entries(root, "pools"))
    {
        pool entry;
        entry.id = pool_id(id);
        register_pool_id(id, node.path);
        entry.model = text(node, "model", true);
        entry.region = read_region(node);
        entry.load_bound = number(node, "load_bound", entry.load_bound);
        entry.cold_start_permits = static_cast<std::uint32_t>(
            integer(node, "cold_start_permits", entry.cold_start_permits));
        entry.candidates =
            static_cast<std::uint32_t>(integer(node, "candidates", entry.candidates));
        entry.first_token_target =
            milliseconds(node, "first_token_target_ms", entry.first_token_target);
        entry.engines = read_endpoints(node, "engines", entry.region);
        result_.pools.push_back(std::move(entry));
    }
}

void builder::read_services(const object_node& root)
{
    for (const auto& [id, node] : entries(root, "services"))
    {
        service entry;
        entry.id = service_id(id);
        for (const auto& [pool_name, pool_node] : entries(node, "pools"))
        {
            entry.pools.push_back(read_service_pool(pool_name, pool_node));
        }
        entry.routes = read_routes(node);
        result_.services.push_back(std::move(entry));
    }
}

service_pool builder::read_service_pool(const std::string& id, const object_node& node)
{
    register_pool_id(id, node.path);
    service_pool entry;
    entry.id = pool_id(id);
    entry.region = read_region(node);
    entry.endpoints = read_endpoints(node, "endpoints", entry.region);
    return entry;
}

std::vector<service_route> builder::read_routes(const object_node& node)
{
    std::vector<service_route> routes;
    const json::value* found = required(node, "routes");
    if (found == nullptr)
    {
        return routes;
    }
    std::set<std::pair<std::string, std::string>> method_prefixes;
    for (std::size_t n = 0; n < found->get_array().size(); ++n)
    {
        const std::string path = join_path(join_path(node.path, "routes"), std::to_string(n));
        const object_node route_node{&found->get_array()[n].get_object(), path};
        if (faults_->has_fault_at(path))
        {
            continue;
        }
        // The key idempotent has no default: a wrong one could let a router retry, and thus repeat,
        // a request such as an order.
        required(route_node, "idempotent");
        service_route route{text(route_node, "method", true), text(route_node, "prefix", true),
                            flag(route_node, "idempotent", false)};
        if (!method_prefixes.emplace(route.method, route.prefix).second)
        {
            fault(configuration_fault_kind::duplicate_route, path,
                  "another route of the service has the same method and prefix");
        }
        routes.push_back(std::move(route));
    }
    return routes;
}

std::vector<endpoint_entry> builder::read_endpoints(const object_node& node, std::string_view key,
                                                    const region_id& region)
{
    std::vector<endpoint_entry> endpoints;
    for (const auto& [id, endpoint_node] : entries(node, key))
    {
        endpoint_entry entry = read_endpoint(id, endpoint_node);
        assign_region(entry, endpoint_node, region);
        register_endpoint(entry, endpoint_node.path);
        endpoints.push_back(std::move(entry));
    }
    return endpoints;
}

endpoint_entry builder::read_endpoint(const std::string& id, const object_node& node)
{
    endpoint_entry entry;
    entry.id = endpoint_id(id);
    entry.host = canonical_address(text(node, "host", true));
    required(node, "port");
    entry.port = static_cast<std::uint16_t>(integer(node, "port", 0));
    entry.zone = zone_id(text(node, "zone", true));
    entry.capacity = number(node, "capacity", entry.capacity);
    entry.fencing = flag(node, "fencing", entry.fencing);
    return entry;
}

void builder::assign_region(endpoint_entry& entry, const object_node& node, const region_id& region)
{
    const std::string path = join_path(node.path, "zone");
    if (entry.zone.empty() || faults_->has_fault_at("zones." + entry.zone.str()))
    {
        return;
    }
    const zone* found = result_.find(entry.zone);
    if (found == nullptr)
    {
        fault(configuration_fault_kind::dangling_reference, path,
              "zone '" + entry.zone.str() + "' is not defined");
        return;
    }
    entry.region = found->region;
    if (!region.empty() && found->region != region)
    {
        fault(configuration_fault_kind::out_of_range, path,
              "zone '" + entry.zone.str() + "' is not in the pool's region");
    }
}

region_id builder::read_region(const object_node& node)
{
    region_id region(text(node, "region", true));
    const bool known = std::any_of(result_.zones.begin(), result_.zones.end(),
                                   [&](const zone& z) { return z.region == region; });
    if (!region.empty() && !known && !faults_->has_fault_at("zones"))
    {
        fault(configuration_fault_kind::dangling_reference, join_path(node.path, "region"),
              "no zone is in region '" + region.str() + "'");
    }
    return region;
}

void builder::register_pool_id(const std::string& id, const std::string& path)
{
    const auto [it, inserted] = pool_paths_.emplace(id, path);
    if (!inserted)
    {
        fault(configuration_fault_kind::duplicate_id, path,
              "the pool id is already used by " + it->second);
    }
}

void builder::register_endpoint(const endpoint_entry& entry, const std::string& path)
{
    const auto [by_id, is_new_id] = endpoint_paths_.emplace(entry.id.str(), path);
    if (!is_new_id)
    {
        fault(configuration_fault_kind::duplicate_id, path,
              "the endpoint id is already used by " + by_id->second);
    }
    if (entry.host.empty() || entry.port == 0)
    {
        return;
    }
    const auto [by_address, is_new_address] =
        address_paths_.emplace(std::pair(entry.host, entry.port), path);
    if (!is_new_address)
    {
        fault(configuration_fault_kind::duplicate_address, path,
              "host and port are already used by " + by_address->second);
    }
}

} // namespace

fleet_configuration build_configuration(const merged_document& document, fault_list& faults)
{
    return builder(document, faults).build();
}

} // namespace endivestage::internal
