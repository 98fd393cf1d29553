/// \file
/// \brief What the parts of a router share.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/dialect.hpp>
#include <endivestage/serving/endpoint_pool.hpp>
#include <endivestage/serving/router_metrics.hpp>

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
    millis revocation{5000};       ///< A withdrawn key must not be served later than this.
    repeat_limit repeats;          ///< Over all routers, per service.
    double cold_overshoot = 1.5;   ///< Factor on a cold endpoint's rate in any second.
    double cold_slack = 5.0;       ///< Requests in any second besides.
    millis stop_grace{8000};       ///< A process that was asked to stop is killed after this.
    millis address_lifetime{2000}; ///< Callers keep an address answer this long.
};

/// \brief Whether the router takes requests.
enum class serving_state
{
    starting, ///< No configuration yet.
    serving,
    stopping, ///< Asked to stop; open requests are finished.
};

/// \brief Shared by the coroutines of one router, which run on one thread: hosts give a router a
/// part of one core, and a lock would guard nothing.
struct router_state
{
    router_state(const clock& t, const dialect& d, server_bounds b, router_id name)
        : time(t),
          wire(d),
          bounds(b),
          self(std::move(name)),
          started(t.now()),
          cold(self),
          lease(b.revocation - revocation_margin),
          pool(t)
    {
    }

    /// Covers the way of a request to the router and clocks that are read late.
    static constexpr millis revocation_margin{1200};

    const clock& time;
    const dialect& wire;
    server_bounds bounds;
    router_id self;
    time_point started;
    seeded_random random{0};
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    endpoint_directory endpoints;
    std::map<service_id, repeat_budget> repeats;
    cold_send_share cold;
    freshness_lease lease;          ///< Of the operator's table.
    std::vector<router_id> routers; ///< That may be running, this one included.
    router_metrics metrics;
    endpoint_pool pool;
    prefix_directory prefixes;
    std::vector<prefix_sighting> news; ///< Of prefixes; not yet told to other routers.
    endpoint_choice_config choice;
    serving_state serving = serving_state::starting;
    std::size_t open_requests = 0;

    bool ready() const
    {
        return serving == serving_state::serving && routes && lease.is_valid(time.now());
    }

    repeat_budget& budget(const service_id& service)
    {
        return repeats.try_emplace(service, bounds.repeats, started).first->second;
    }

    cold_send_limit limit_of(const service_profile& profile) const
    {
        return {profile.cold_requests_per_s,
                profile.cold_requests_per_s * bounds.cold_overshoot + bounds.cold_slack};
    }
};

} // namespace endivestage::serving
