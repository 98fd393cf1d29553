/// \file
/// \brief The fleet configuration as plain values.
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

/// \brief A back end: a model engine or one instance of a plain service.
struct endpoint_entry
{
    endpoint_id id;
    std::string host; ///< IPv4 or IPv6 address in its usual text form; never a name.
    std::uint16_t port = 0;
    zone_id zone;
    region_id region;      ///< Region of the zone; filled in by the merge.
    double capacity = 1.0; ///< Relative weight; positive.
    bool fencing = true;   ///< Whether it refuses orders with an old fencing number.

    bool operator==(const endpoint_entry&) const = default;
};

/// \brief Engines that serve one model in one region.
struct pool
{
    pool_id id;
    std::string model;
    region_id region;
    double load_bound = 1.25;             ///< Multiple of the pool's mean load; at least 1.
    std::uint32_t cold_start_permits = 2; ///< Permits of an engine that just started.
    std::uint32_t candidates = 3;         ///< Owners asked in parallel for a permit.
    millis first_token_target{560};       ///< Time to first token below which a round is good.
    std::vector<endpoint_entry> engines;  ///< In order of their ids.

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
    std::vector<endpoint_entry> endpoints; ///< In order of their ids.

    bool operator==(const service_pool&) const = default;
};

/// \brief A plain service with its routes.
struct service
{
    service_id id;
    std::vector<service_pool> pools;   ///< In order of their ids.
    std::vector<service_route> routes; ///< In file order; the longest matching prefix applies.

    /// \returns The route with the longest prefix of \p path for \p method, or null.
    const service_route* find_route(std::string_view method, std::string_view path) const;

    bool operator==(const service&) const = default;
};

/// \brief A group of callers that shares one fair-queue weight.
struct team
{
    team_id id;
    double weight = 1.0;
    std::string token_digest;           ///< Lower-case hex SHA-256 of its token; empty: no token.
    std::uint32_t priority_ceiling = 0; ///< Highest priority level it may ask for.

    bool operator==(const team&) const = default;
};

/// \brief An availability zone.
struct zone
{
    zone_id id;
    region_id region;

    bool operator==(const zone&) const = default;
};

/// \brief Limits common to the fleet.
struct fleet_limits
{
    std::uint64_t request_bytes = 4'194'304; ///< Largest request body.
    std::uint32_t queue_per_team = 1000;     ///< Waiting requests of one team per router.
    millis request_deadline{60'000};         ///< Deadline of a request that names none.
    double retry_ratio = 0.1;                ///< Retries as a share of requests; design 1.3.
    millis address_lifetime{5'000};          ///< Lifetime of an address answer; design 2.10.

    bool operator==(const fleet_limits&) const = default;
};

/// \brief The whole configuration of a fleet; every list is in order of ids.
struct fleet_configuration
{
    std::uint64_t version = 0; ///< 0 until committed.
    std::vector<pool> pools;
    std::vector<service> services;
    std::vector<team> teams;
    std::vector<zone> zones;
    std::map<std::string, std::uint32_t> priorities; ///< Name to level; a higher level goes first.
    fleet_limits limits;

    /// \returns The entry with this id, or null.
    const pool* find(const pool_id& id) const;
    /// \returns The entry with this id, or null.
    const service* find(const service_id& id) const;
    /// \returns The entry with this id, or null.
    const team* find(const team_id& id) const;
    /// \returns The entry with this id, or null.
    const zone* find(const zone_id& id) const;

    bool operator==(const fleet_configuration&) const = default;
};

} // namespace endivestage
