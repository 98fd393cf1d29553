/// \file
/// \brief Routes, services and teams of one configuration version.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivestage
{

/// \brief How often a request may be executed.
enum class execution_semantics
{
    at_most_once, ///< A second send needs proof that the first was not executed.
    idempotent,   ///< May be executed again from the start.
    resumable,    ///< A stream that another engine may continue after the last event delivered.
};

/// \returns "at_most_once", "idempotent" or "resumable".
std::string_view to_string(execution_semantics kind);

/// \brief A service that takes a share of a route's requests.
struct route_target
{
    service_id service;
    double weight = 1.0;
};

/// \brief Where requests of a host and path prefix go, and how long they may take.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with '/'.
    execution_semantics semantics = execution_semantics::at_most_once;
    bool streaming = false;
    bool anonymous = false; ///< Served without a team's key.
    millis timeout{0};      ///< A final answer is due after this time.
    millis latency_objective{
        0}; ///< Time to the answer, or to the first event, that callers expect.
    std::uint32_t max_attempts = 1; ///< Endpoints that may execute one request.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::vector<route_target> targets;
};

/// \brief Properties of a service that limit what routers may send to its endpoints.
struct service_profile
{
    service_id name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per endpoint, over all routers; 0 without limit.
    millis cold_period{0};             ///< How long an endpoint is cold after its start.
    double cold_requests_per_s = 0.0;  ///< What a cold endpoint bears, over all routers.
};

/// \brief A team and the keys that its callers present.
struct team_access
{
    team_id name;
    std::optional<std::uint32_t> priority; ///< Replaces the priority of the route.
    std::vector<std::string> keys;
};

/// \brief What callers may send, from the operator's limits.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    millis header_timeout{3000};
    millis idle_timeout{15000};
};

/// \brief One version of the configuration; immutable once built.
class route_table
{
public:
    /// \param version Grows with each change.
    route_table(std::uint64_t version, std::vector<route> routes,
                std::vector<service_profile> services, std::vector<team_access> teams,
                caller_limits limits);

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }

    /// \returns The route of this host with the longest prefix of \p path; null without one.
    const route* find(std::string_view host, std::string_view path) const;

    /// \returns The profile of a service; null when it is not configured.
    const service_profile* find_service(const service_id& name) const;

    /// \returns The team that holds \p key; null when no team does.
    const team_access* find_team(std::string_view key) const;

    /// \returns Whether callers must present a key on routes that are not anonymous.
    bool requires_keys() const { return !teams_.empty(); }

    const std::vector<service_profile>& services() const { return services_; }
    const std::vector<route>& routes() const { return routes_; }

private:
    std::uint64_t version_;
    caller_limits limits_;
    std::vector<route> routes_;
    std::vector<service_profile> services_;
    std::vector<team_access> teams_;
    /// Positions in routes_ by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<std::string, std::size_t> by_key_; ///< Position in teams_.
};

/// \returns The service that serves \p key_hash on this route: equal keys get equal services, and
/// the shares follow the weights.
/// \pre The route has a target.
const service_id& choose_target(const route& where, std::uint64_t key_hash);

} // namespace endivestage
