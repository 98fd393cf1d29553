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

/// \brief An object of the document with its path.
struct node
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
    const json::value* member(const node& at, std::string_view key) const;
    const json::value* required(const node& at, std::string_view key);
    std::string text(const node& at, std::string_view key, bool needed);
    bool flag(const node& at, std::string_view key, bool fallback) const;
    double number(const node& at, std::string_view key, double fallback) const;
    std::uint64_t integer(const node& at, std::string_view key, std::uint64_t fallback) const;
    millis milliseconds(const node& at, std::string_view key, millis fallback) const;
    std::vector<std::pair<std::string, node>> entries(const node& at, std::string_view key) const;

    void read_zones(const node& root);
    void read_teams(const node& root);
    void read_priorities(const node& root);
    void read_limits(const node& root);
    void read_pools(const node& root);
    void read_services(const node& root);
    service_pool read_service_pool(const std::string& id, const node& at);
    std::vector<service_route> read_routes(const node& at);
    std::vector<endpoint_entry> read_endpoints(const node& at, std::string_view key,
                                               const region_id& region);
    endpoint_entry read_endpoint(const std::string& id, const node& at);
    void place(endpoint_entry& entry, const node& at, const region_id& region);
    region_id read_region(const node& at);
    void claim_pool(const std::string& id, const std::string& path);
    void claim_endpoint(const endpoint_entry& entry, const std::string& path);

    const merged_document* document_;
    fault_list* faults_;
    fleet_configuration result_;
    std::map<std::string, std::string> pool_paths_;
    std::map<std::string, std::string> endpoint_paths_;
    std::map<std::pair<std::string, std::uint16_t>, std::string> address_paths_;
};

fleet_configuration builder::build()
{
    const node root{&document_->root(), ""};
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

const json::value* builder::member(const node& at, std::string_view key) const
{
    return at.object->if_contains(json::string_view(key.data(), key.size()));
}

const json::value* builder::required(const node& at, std::string_view key)
{
    const json::value* found = member(at, key);
    const std::string path = join_path(at.path, key);
    if (found == nullptr && !faults_->has_fault_at(path))
    {
        fault(configuration_fault_kind::missing_key, path, "required key is missing");
    }
    return found;
}

std::string builder::text(const node& at, std::string_view key, bool needed)
{
    const json::value* found = needed ? required(at, key) : member(at, key);
    return found == nullptr ? std::string()
                            : std::string(found->get_string().data(), found->get_string().size());
}

bool builder::flag(const node& at, std::string_view key, bool fallback) const
{
    const json::value* found = member(at, key);
    return found == nullptr ? fallback : found->get_bool();
}

double builder::number(const node& at, std::string_view key, double fallback) const
{
    // Boost.JSON may read a decimal one unit in the last place off. Six decimals make the value,
    // and with it the digest, independent of that.
    constexpr double decimals = 1e6;
    const json::value* found = member(at, key);
    return found == nullptr ? fallback
                            : std::round(found->to_number<double>() * decimals) / decimals;
}

std::uint64_t builder::integer(const node& at, std::string_view key, std::uint64_t fallback) const
{
    const json::value* found = member(at, key);
    return found == nullptr ? fallback : found->to_number<std::uint64_t>();
}

millis builder::milliseconds(const node& at, std::string_view key, millis fallback) const
{
    return {
        static_cast<std::int64_t>(integer(at, key, static_cast<std::uint64_t>(fallback.count)))};
}

std::vector<std::pair<std::string, node>> builder::entries(const node& at,
                                                           std::string_view key) const
{
    std::vector<std::pair<std::string, node>> found;
    const json::value* value = member(at, key);
    if (value == nullptr)
    {
        return found;
    }
    const std::string path = join_path(at.path, key);
    for (const json::key_value_pair& entry : value->get_object())
    {
        const std::string id(entry.key().data(), entry.key().size());
        found.push_back({id, {entry.value().if_object(), join_path(path, id)}});
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return found;
}

void builder::read_zones(const node& root)
{
    for (const auto& [id, at] : entries(root, "zones"))
    {
        result_.zones.push_back({zone_id(id), region_id(text(at, "region", true))});
    }
}

void builder::read_priorities(const node& root)
{
    for (const auto& [name, at] : entries(root, "priorities"))
    {
        const json::value& level = root.object->at("priorities").get_object().at(name);
        result_.priorities[name] = level.to_number<std::uint32_t>();
    }
}

void builder::read_limits(const node& root)
{
    const json::value* found = member(root, "limits");
    if (found == nullptr)
    {
        return;
    }
    const node at{&found->get_object(), "limits"};
    fleet_limits& limits = result_.limits;
    limits.request_bytes = integer(at, "request_bytes", limits.request_bytes);
    limits.queue_per_team =
        static_cast<std::uint32_t>(integer(at, "queue_per_team", limits.queue_per_team));
    limits.request_deadline = milliseconds(at, "request_deadline_ms", limits.request_deadline);
    limits.retry_ratio = number(at, "retry_ratio", limits.retry_ratio);
    limits.address_lifetime = milliseconds(at, "address_lifetime_ms", limits.address_lifetime);
}

void builder::read_teams(const node& root)
{
    for (const auto& [id, at] : entries(root, "teams"))
    {
        team read;
        read.id = team_id(id);
        read.weight = number(at, "weight", read.weight);
        read.token_digest = text(at, "token_digest", false);
        read.priority_ceiling =
            static_cast<std::uint32_t>(integer(at, "priority_ceiling", read.priority_ceiling));
        result_.teams.push_back(std::move(read));
    }
}

void builder::read_pools(const node& root)
{
    for (const auto& [id, at] : entries(root, "pools"))
    {
        pool read;
        read.id = pool_id(id);
        claim_pool(id, at.path);
        read.model = text(at, "model", true);
        read.region = read_region(at);
        read.load_bound = number(at, "load_bound", read.load_bound);
        read.cold_start_permits =
            static_cast<std::uint32_t>(integer(at, "cold_start_permits", read.cold_start_permits));
        read.candidates = static_cast<std::uint32_t>(integer(at, "candidates", read.candidates));
        read.first_token_target =
            milliseconds(at, "first_token_target_ms", read.first_token_target);
        read.engines = read_endpoints(at, "engines", read.region);
        result_.pools.push_back(std::move(read));
    }
}

void builder::read_services(const node& root)
{
    for (const auto& [id, at] : entries(root, "services"))
    {
        service read;
        read.id = service_id(id);
        for (const auto& [pool_name, pool_at] : entries(at, "pools"))
        {
            read.pools.push_back(read_service_pool(pool_name, pool_at));
        }
        read.routes = read_routes(at);
        result_.services.push_back(std::move(read));
    }
}

service_pool builder::read_service_pool(const std::string& id, const node& at)
{
    claim_pool(id, at.path);
    service_pool read;
    read.id = pool_id(id);
    read.region = read_region(at);
    read.endpoints = read_endpoints(at, "endpoints", read.region);
    return read;
}

std::vector<service_route> builder::read_routes(const node& at)
{
    std::vector<service_route> routes;
    const json::value* found = required(at, "routes");
    if (found == nullptr)
    {
        return routes;
    }
    std::set<std::pair<std::string, std::string>> seen;
    for (std::size_t n = 0; n < found->get_array().size(); ++n)
    {
        const std::string path = join_path(join_path(at.path, "routes"), std::to_string(n));
        const node route{&found->get_array()[n].get_object(), path};
        if (faults_->has_fault_at(path))
        {
            continue;
        }
        // A default for idempotent could make a router repeat an order, so it must be given.
        required(route, "idempotent");
        service_route read{text(route, "method", true), text(route, "prefix", true),
                           flag(route, "idempotent", false)};
        if (!seen.emplace(read.method, read.prefix).second)
        {
            fault(configuration_fault_kind::duplicate_route, path,
                  "the service has this method and prefix twice");
        }
        routes.push_back(std::move(read));
    }
    return routes;
}

std::vector<endpoint_entry> builder::read_endpoints(const node& at, std::string_view key,
                                                    const region_id& region)
{
    std::vector<endpoint_entry> endpoints;
    for (const auto& [id, endpoint_at] : entries(at, key))
    {
        endpoint_entry entry = read_endpoint(id, endpoint_at);
        place(entry, endpoint_at, region);
        claim_endpoint(entry, endpoint_at.path);
        endpoints.push_back(std::move(entry));
    }
    return endpoints;
}

endpoint_entry builder::read_endpoint(const std::string& id, const node& at)
{
    endpoint_entry entry;
    entry.id = endpoint_id(id);
    entry.host = canonical_address(text(at, "host", true));
    required(at, "port");
    entry.port = static_cast<std::uint16_t>(integer(at, "port", 0));
    entry.zone = zone_id(text(at, "zone", true));
    entry.capacity = number(at, "capacity", entry.capacity);
    entry.fencing = flag(at, "fencing", entry.fencing);
    return entry;
}

void builder::place(endpoint_entry& entry, const node& at, const region_id& region)
{
    const std::string path = join_path(at.path, "zone");
    if (entry.zone.empty() || faults_->has_fault_at("zones." + entry.zone.str()))
    {
        return;
    }
    const zone* found = result_.find(entry.zone);
    if (found == nullptr)
    {
        fault(configuration_fault_kind::dangling_reference, path,
              "no zone '" + entry.zone.str() + "'");
        return;
    }
    entry.region = found->region;
    if (!region.empty() && found->region != region)
    {
        fault(configuration_fault_kind::out_of_range, path,
              "zone '" + entry.zone.str() + "' is not in the pool's region");
    }
}

region_id builder::read_region(const node& at)
{
    region_id region(text(at, "region", true));
    const bool known = std::any_of(result_.zones.begin(), result_.zones.end(),
                                   [&](const zone& z) { return z.region == region; });
    if (!region.empty() && !known && !faults_->has_fault_at("zones"))
    {
        fault(configuration_fault_kind::dangling_reference, join_path(at.path, "region"),
              "no zone is in region '" + region.str() + "'");
    }
    return region;
}

void builder::claim_pool(const std::string& id, const std::string& path)
{
    const auto [it, inserted] = pool_paths_.emplace(id, path);
    if (!inserted)
    {
        fault(configuration_fault_kind::duplicate_id, path, "the pool id is used by " + it->second);
    }
}

void builder::claim_endpoint(const endpoint_entry& entry, const std::string& path)
{
    const auto [by_id, new_id] = endpoint_paths_.emplace(entry.id.str(), path);
    if (!new_id)
    {
        fault(configuration_fault_kind::duplicate_id, path,
              "the endpoint id is used by " + by_id->second);
    }
    if (entry.host.empty() || entry.port == 0)
    {
        return;
    }
    const auto [by_address, new_address] =
        address_paths_.emplace(std::pair(entry.host, entry.port), path);
    if (!new_address)
    {
        fault(configuration_fault_kind::duplicate_address, path,
              "host and port are used by " + by_address->second);
    }
}

} // namespace

fleet_configuration build_configuration(const merged_document& document, fault_list& faults)
{
    return builder(document, faults).build();
}

} // namespace endivestage::internal
