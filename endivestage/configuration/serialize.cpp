#include <endivestage/configuration/serialize.hpp>

#include <endivestage/configuration/internal/builder.hpp>
#include <endivestage/configuration/internal/document.hpp>
#include <endivestage/core/hashing.hpp>

#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace endivestage
{

namespace
{

namespace json = boost::json;

json::object endpoints_value(const std::vector<endpoint_entry>& endpoints)
{
    json::object object;
    for (const endpoint_entry& entry : endpoints)
    {
        object[entry.id.str()] = json::object{{"host", entry.host},
                                              {"port", entry.port},
                                              {"zone", entry.zone.str()},
                                              {"capacity", entry.capacity},
                                              {"fencing", entry.fencing}};
    }
    return object;
}

json::object pools_value(const std::vector<pool>& pools)
{
    json::object object;
    for (const pool& entry : pools)
    {
        object[entry.id.str()] =
            json::object{{"model", entry.model},
                         {"region", entry.region.str()},
                         {"load_bound", entry.load_bound},
                         {"cold_start_permits", entry.cold_start_permits},
                         {"candidates", entry.candidates},
                         {"first_token_target_ms", entry.first_token_target.count},
                         {"engines", endpoints_value(entry.engines)}};
    }
    return object;
}

json::object service_pools_value(const std::vector<service_pool>& pools)
{
    json::object object;
    for (const service_pool& entry : pools)
    {
        object[entry.id.str()] = json::object{{"region", entry.region.str()},
                                              {"endpoints", endpoints_value(entry.endpoints)}};
    }
    return object;
}

json::array routes_value(const std::vector<service_route>& routes)
{
    json::array array;
    for (const service_route& route : routes)
    {
        array.push_back(json::object{
            {"method", route.method}, {"prefix", route.prefix}, {"idempotent", route.idempotent}});
    }
    return array;
}

json::object services_value(const std::vector<service>& services)
{
    json::object object;
    for (const service& entry : services)
    {
        object[entry.id.str()] = json::object{{"pools", service_pools_value(entry.pools)},
                                              {"routes", routes_value(entry.routes)}};
    }
    return object;
}

json::object teams_value(const std::vector<team>& teams)
{
    json::object object;
    for (const team& entry : teams)
    {
        json::object value{{"weight", entry.weight}, {"priority_ceiling", entry.priority_ceiling}};
        if (!entry.token_digest.empty())
        {
            value["token_digest"] = entry.token_digest;
        }
        object[entry.id.str()] = std::move(value);
    }
    return object;
}

json::object zones_value(const std::vector<zone>& zones)
{
    json::object object;
    for (const zone& entry : zones)
    {
        object[entry.id.str()] = json::object{{"region", entry.region.str()}};
    }
    return object;
}

json::object priorities_value(const std::map<std::string, std::uint32_t>& priorities)
{
    json::object object;
    for (const auto& [name, level] : priorities)
    {
        object[name] = level;
    }
    return object;
}

json::object limits_value(const fleet_limits& limits)
{
    return {{"request_bytes", limits.request_bytes},
            {"queue_per_team", limits.queue_per_team},
            {"request_deadline_ms", limits.request_deadline.count},
            {"retry_ratio", limits.retry_ratio},
            {"address_lifetime_ms", limits.address_lifetime.count}};
}

} // namespace

std::string to_json(const fleet_configuration& configuration)
{
    const json::object document{{"version", configuration.version},
                                {"pools", pools_value(configuration.pools)},
                                {"services", services_value(configuration.services)},
                                {"teams", teams_value(configuration.teams)},
                                {"zones", zones_value(configuration.zones)},
                                {"priorities", priorities_value(configuration.priorities)},
                                {"limits", limits_value(configuration.limits)}};
    return json::serialize(document);
}

result<fleet_configuration> from_json(std::string_view text)
{
    internal::fault_list faults;
    json::object parsed = internal::parse_document(text, "", faults);
    const json::value* version = parsed.if_contains("version");
    boost::system::error_code ec;
    const std::uint64_t version_number =
        version == nullptr ? 0 : version->to_number<std::uint64_t>(ec);
    if (version == nullptr || ec)
    {
        return make_error_code(errc::invalid_configuration);
    }
    parsed.erase("version");
    internal::check_schema(parsed, "", faults);
    internal::merged_document document;
    document.merge(parsed, "", faults);
    fleet_configuration configuration = internal::build_configuration(document, faults);
    if (!faults.extract_sorted().empty())
    {
        return make_error_code(errc::invalid_configuration);
    }
    configuration.version = version_number;
    return configuration;
}

std::string configuration_digest(std::string_view body)
{
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash64(body, 0)),
                  static_cast<unsigned long long>(hash64(body, 1)));
    return digits.data();
}

} // namespace endivestage
