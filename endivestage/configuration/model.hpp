/// \file
/// \brief Value types of the fleet configuration.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief An endpoint (back end): a model engine or one instance of a plain service.
struct endpoint_entry
{
    endpoint_id id;
    std::string host; ///< IPv4 or IPv6 address in canonical text form; never a host name.
    std::uint16_t port = 0;
    zone_id zone;
    region_id region;      ///< Region of the zone; set by merge_configuration.
    double capacity = 1.0; ///< Weight relative to other endpoints; positive.
    bool fencing = true;   ///< Whether it rejects requests with an outdated fencing number.

    bool operator==(const endpoint_entry&) const = default;
};

/// \brief Engines that serve one model in one region.
struct pool
{
    pool_id id;
    std::string model;
    region_id region;
    double load_bound = 1.25;             ///< Maximum load relative to the pool's mean; at least 1.
    std::uint32_t cold_start_permits = 2; ///< Initial permits of an engine that has just started.
    std::uint32_t candidates = 3;         ///< Engine owners asked for a permit in parallel.
    /// Longest time to first token at which the cold-start ramp counts a round as good.
    millis first_token_target{560};
    std::vector<endpoint_entry> engines; ///< Sorted by id.

    bool operator==(const pool&) const = default;
};

/// \brief Requests of a plain service that share a method and a path prefix.
struct service_route
{
    std::string method; ///< HTTP method in upper case.
    std::string prefix; ///< Starts with '/'.
    bool idempotent = false;

    bool operator==(const service_route&) const = default;
};

/// \brief Endpoints of a plain service in one region.
struct service_pool
{
    pool_id id;
    region_id region;
    std::vector<endpoint_entry> endpoints; ///< Sorted by id.

    bool operator==(const service_pool&) const = default;
};

/// \brief A plain service (not a model) with its pools and routes.
struct service
{
    service_id id;
    std::vector<service_pool> pools; ///< Sorted by id.
    /// In file order; the route with the longest matching prefix applies.
    std::vector<service_route> routes;

    /// \returns The route for \p method with the longest prefix of \p path, or null if there is
    ///     none.
    const service_route* find_route(std::string_view method, std::string_view path) const;

    bool operator==(const service&) const = default;
};

/// \brief A team (customer): callers that share one weight in fair queuing.
struct team
{
    team_id id;
    double weight = 1.0;
    /// SHA-256 of the team's token in lower-case hexadecimal; empty if it has no token.
    std::string token_digest;
    std::uint32_t priority_ceiling = 0; ///< Highest priority level that its requests may use.

    bool operator==(const team&) const = default;
};

/// \brief An availability zone.
struct zone
{
    zone_id id;
    region_id region;

    bool operator==(const zone&) const = default;
};

/// \brief Limits that apply to the whole fleet.
struct fleet_limits
{
    std::uint64_t request_bytes = 4'194'304; ///< Maximum size of a request body in bytes.
    std::uint32_t queue_per_team = 1000;     ///< Maximum queued requests of a team per router.
    millis request_deadline{60'000};         ///< Default for requests that state no deadline.
    double retry_ratio = 0.1;                ///< Maximum ratio of retries to requests.
    millis address_lifetime{5'000};          ///< How long callers may use an address answer.

    bool operator==(const fleet_limits&) const = default;
};

/// \brief Configuration of a fleet; every list is sorted by id.
struct fleet_configuration
{
    std::uint64_t version = 0; ///< 0 until the configuration is committed.
    std::vector<pool> pools;
    std::vector<service> services;
    std::vector<team> teams;
    std::vector<zone> zones;
    /// Level of each priority name; higher levels are served first.
    std::map<std::string, std::uint32_t> priorities;
    fleet_limits limits;

    /// \returns The entry with this id, or null if there is none.
    const pool* find(const pool_id& id) const;
    /// \returns The entry with this id, or null if there is none.
    const service* find(const service_id& id) const;
    /// \returns The entry with this id, or null if there is none.
    const team* find(const team_id& id) const;
    /// \returns The entry with this id, or null if there is none.
    const zone* find(const zone_id& id) const;

    bool operator==(const fleet_configuration&) const = default;
};

} // namespace endivestage
