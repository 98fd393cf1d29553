/// \file
/// \brief What the parts of a router share.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/connection_pool.hpp>
#include <endivestage/serving/router_metrics.hpp>
#include <endivestage/serving/wire_codec.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivestage::serving
{

/// \brief Bounds that the operator's platform sets; the product keeps within them.
struct server_bounds
{
    millis max_revocation_delay{5000}; ///< A withdrawn key must not be served later than this.
    repeat_limit repeats;              ///< Over all routers, per service.
    double cold_overshoot = 1.5;       ///< Factor on a cold endpoint's rate in any second.
    double cold_slack = 5.0;           ///< Requests in any second besides.
    millis stop_grace{8000};           ///< A process that was asked to stop is killed after this.
    millis address_lifetime{2000};     ///< Callers keep an address answer this long.
};

/// \brief Whether the router takes requests.
enum class lifecycle_state
{
    starting, ///< No configuration yet.
    serving,
    stopping, ///< Asked to stop; open requests are finished.
};

/// \brief Shared by the coroutines of one router, which run on one thread: hosts give a router a
/// part of one core, and a lock would guard nothing.
struct router_state
{
    router_state(const clock& t, const wire_codec& c, server_bounds b, router_id name)
        : time(t),
          codec(c),
          bounds(b),
          self(std::move(name)),
          start_time(t.now()),
          cold_limiter(self),
          operations_lease(b.max_revocation_delay - revocation_margin),
          pool(t)
    {
    }

    /// Covers the way of a request to the router and clocks that are read late.
    static constexpr millis revocation_margin{1200};

    const clock& time;
    const wire_codec& codec;
    server_bounds bounds;
    router_id self;
    time_point start_time;
    seeded_random random{0};
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    endpoint_directory endpoints;
    std::map<service_id, repeat_budget> repeat_budgets;
    cold_send_share cold_limiter;
    freshness_lease operations_lease; ///< Of the operator's table.
    std::vector<router_id> routers;   ///< That may be running, this one included.
    router_metrics metrics;
    connection_pool pool;
    prefix_directory prefixes;
    std::vector<prefix_sighting> pending_sightings; ///< Of prefixes; not yet told to other routers.
    endpoint_choice_config choice;
    lifecycle_state lifecycle = lifecycle_state::starting;
    std::size_t open_requests = 0;

    bool is_ready() const
    {
        return lifecycle == lifecycle_state::serving && routes &&
               operations_lease.is_valid(time.now());
    }

    repeat_budget& repeat_budget_for(const service_id& service)
    {
        return repeat_budgets.try_emplace(service, bounds.repeats, start_time).first->second;
    }

    cold_send_limit cold_limit_for(const service_profile& profile) const
    {
        return {profile.cold_requests_per_s,
                profile.cold_requests_per_s * bounds.cold_overshoot + bounds.cold_slack};
    }
};

} // namespace endivestage::serving
