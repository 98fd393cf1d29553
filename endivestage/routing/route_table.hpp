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

/// \brief How often a request may be executed, which decides whether it may be retried.
enum class execution_semantics
{
    at_most_once, ///< Sent again only with proof that the first send was not executed.
    idempotent,   ///< May be executed again from the start.
    resumable,    ///< A stream that another engine may continue after the last delivered event.
};

/// \returns "at_most_once", "idempotent" or "resumable".
std::string_view to_string(execution_semantics semantics);

/// \brief A service that receives a share of a route's requests.
struct route_target
{
    service_id service;
    double weight = 1.0; ///< Relative to the weights of the route's other targets.
};

/// \brief Target services and limits of the requests for one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with '/'.
    execution_semantics semantics = execution_semantics::at_most_once;
    bool streaming = false;
    bool anonymous = false; ///< Callers need no key of a team.
    millis timeout{0};      ///< Time within which the complete answer is due.
    /// Time within which callers expect the answer or, for streams, the first event.
    millis latency_objective{0};
    std::uint32_t max_attempts = 1; ///< How many endpoints may execute one request.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::vector<route_target> targets;
};

/// \brief Health check and send limits of a service's endpoints.
struct service_profile
{
    service_id name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per endpoint, over all routers; 0 means no limit.
    millis cold_period{0};             ///< How long an endpoint is cold after its start.
    double cold_requests_per_s = 0.0;  ///< Rate that a cold endpoint sustains, over all routers.
};

/// \brief A team and the keys that its callers authenticate with.
struct team_access
{
    team_id name;
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.
    std::vector<std::string> keys;
};

/// \brief Limits on connections and requests of callers, set by the operator.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    millis header_timeout{3000};
    millis idle_timeout{15000};
};

/// \brief One version of the routing configuration; immutable.
class route_table
{
public:
    /// \param version Increases with each change of the configuration.
    route_table(std::uint64_t version, std::vector<route> routes,
                std::vector<service_profile> services, std::vector<team_access> teams,
                caller_limits limits);

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }

    /// \returns The host's route with the longest path prefix that matches \p path; null if there
    /// is none.
    const route* find(std::string_view host, std::string_view path) const;

    /// \returns The profile of a service; null when it is not configured.
    const service_profile* find_service(const service_id& name) const;

    /// \returns The team that \p key belongs to; null for an unknown key.
    const team_access* find_team(std::string_view key) const;

    /// \returns Whether callers need a key on routes that are not anonymous.
    bool requires_keys() const { return !teams_.empty(); }

    const std::vector<service_profile>& services() const { return services_; }
    const std::vector<route>& routes() const { return routes_; }

private:
    std::uint64_t version_;
    caller_limits limits_;
    std::vector<route> routes_;
    std::vector<service_profile> services_;
    std::vector<team_access> teams_;
    /// Indices into routes_ by host, longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<std::string, std::size_t> by_key_; ///< Indices into teams_.
};

/// \brief Chooses the target service for requests with \p key_hash.
///
/// Equal hashes get the same service. Uniformly distributed hashes are distributed over the
/// services by weight.
/// \pre The route has at least one target.
const service_id& choose_target(const route& matched, std::uint64_t key_hash);

} // namespace endivestage
