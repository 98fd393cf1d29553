/// \file
/// \brief State that the components of a router share.
#pragma once

#include <endivestage/continuation.hpp>
#include <endivestage/core.hpp>
#include <endivestage/reachability.hpp>
#include <endivestage/rollout.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/connection_pool.hpp>
#include <endivestage/serving/origin_service.hpp>
#include <endivestage/serving/overload_control.hpp>
#include <endivestage/serving/router_metrics.hpp>
#include <endivestage/serving/start_gate.hpp>
#include <endivestage/serving/wire_codec.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivestage::serving
{

/// \brief Bounds that the platform sets and the router has to comply with.
struct server_bounds
{
    millis max_revocation_delay{5000}; ///< A withdrawn key must not be served after this time.
    millis max_config_delay{2000};     ///< A configuration must be in force after this time.
    millis max_drain_delay{2000}; ///< A leaving endpoint must not get requests after this time.
    repeat_limit repeats;         ///< Limit on repeated sends per service, over all routers.
    /// A cold endpoint may get its sustained rate times this factor in any second, plus the slack.
    double cold_overshoot = 1.5;
    double cold_slack = 5.0;       ///< Requests in any second.
    millis stop_grace{8000};       ///< A stopping process is killed after this time.
    millis address_lifetime{2000}; ///< Time for which callers use an address response.
    double exposure_share = 0.1;   ///< Part of a service's requests that a bad version may get.
    double exposure_slack = 50.0;  ///< Requests on top.
    /// After its 50th bad response a bad version must not get requests after this time.
    millis rollback_delay{5000};
    millis max_extension{0}; ///< A disturbed store may extend the roll-back by this time.
};

/// \brief Stage of the router's life.
enum class lifecycle_state
{
    starting, ///< Waits for its configuration.
    serving,  ///< Accepts requests.
    stopping, ///< Was asked to stop; open requests are completed.
};

/// \brief A report that waits to be sent.
struct queued_part_report
{
    part_report report;
    time_point queued_at; ///< The report's age is as of this instant.
};

/// \brief What became of a new connection to an endpoint.
enum class connection_result
{
    works,
    failed, ///< It could not be established.
    reset,  ///< It was accepted, and lost before its first response.
};

/// \brief Another router that takes requests of this one.
struct handover_target
{
    handover_candidate candidate;
    daemon::network_address address;
};

/// \brief State shared by the coroutines of one router.
///
/// All of them run on one thread, since a host gives a router only a part of one core; so no lock
/// is needed.
struct router_state
{
    router_state(const clock& t, const wire_codec& c, server_bounds b, router_id name)
        : time(t),
          codec(c),
          bounds(b),
          self(std::move(name)),
          start_time(t.now()),
          cold_limiter(self),
          rejections(self),
          start(t, {}),
          operations_lease(lease_ttl(b)),
          pool(t),
          quarantine(hash64(self.view())),
          notices(hash64(self.view())),
          times(endpoints, prefixes),
          router_connections(t)
    {
    }

    /// Margin for the transmission of a request to the router and for delayed readings of the
    /// clock.
    static constexpr millis revocation_margin{1200};
    static constexpr std::size_t default_host_memory = 160UL * 1024 * 1024;
    /// Answers that are being read take at most this part of the host's memory. Strings that grow
    /// take twice their size for a moment, and requests take memory too.
    static constexpr std::size_t response_memory_divisor = 4;
    /// Requests that wait for the tables of a starting router take at most this part of the host's
    /// memory.
    static constexpr std::size_t held_memory_divisor = 16;
    /// Requests of callers take at most 3 of 8 parts of the host's memory. The rest is for the
    /// process itself, its tables and other routers.
    static constexpr std::size_t request_memory_parts = 3;
    static constexpr std::size_t request_memory_divisor = 8;
    /// Memory that is set aside for a request that this router serves for another one.
    static constexpr std::size_t taken_request_bytes = 1024UL * 1024;
    /// A stale copy is refreshed this long before it can no longer be used.
    static constexpr millis lease_reserve{600};

    const clock& time;
    const wire_codec& codec;
    server_bounds bounds;
    router_id self;
    time_point start_time;
    seeded_random random{0};
    std::shared_ptr<const route_table> routes; ///< Null until the first configuration is applied.
    endpoint_directory endpoints;
    std::map<service_id, repeat_budget> repeat_budgets;
    cold_send_share cold_limiter;
    brittle_endpoints brittle;
    rejection_limit rejections; ///< Share of the rejections that brittle endpoints tolerate.
    /// Tells the other routers that a service is brittle; empty until they are known.
    std::function<void(const service_id&, std::uint32_t)> announce_brittle;
    start_gate start;                 ///< Requests that wait for the tables.
    freshness_lease operations_lease; ///< Validity of the operator's table.
    std::vector<router_id> routers;   ///< Routers that may be running, this one included.
    router_metrics metrics;
    connection_pool pool;
    buffer_budget response_memory{default_host_memory / response_memory_divisor};
    std::unique_ptr<request_memory> request_bytes; ///< Memory of requests of callers.
    prefix_directory prefixes;
    std::vector<prefix_sighting> pending_sightings; ///< Sightings not yet sent to other routers.
    prompt_quarantine quarantine;
    std::vector<queued_part_report> pending_part_reports; ///< Not yet sent to other routers.
    endpoint_choice_config choice;
    endpoint_notices notices;
    observed_times times; ///< Estimates when endpoints would answer.
    first_event_waits first_events;
    zone_id zone; ///< Zone of this router.
    /// Open connections whose unknown load reports were logged.
    std::set<std::weak_ptr<daemon::http_connection>, std::owner_less<>> logged_load_reports;
    overload_control overload;
    lifecycle_state lifecycle = lifecycle_state::starting;
    std::size_t open_requests = 0;
    stream_origins origins;
    version_history versions;
    origin_service* origin_exchange = nullptr; ///< Null until the other routers are known.
    /// Answers whether the copy of the endpoints includes all changes up to this call, which it
    /// reads from the table service if need be; empty until there are copies.
    std::function<daemon::awaitable<bool>()> confirm_endpoints;
    rollout_book rollouts;
    /// Responses during roll-outs that no relay has counted yet.
    std::map<service_id, evidence_counts> rollout_evidence;
    /// Set once a stopping router has left all address responses or half of its time has passed: a
    /// request that may take longer is refused, since other routers can complete it.
    std::optional<time_point> completion_limit;

    endpoint_reach reach;                 ///< Whether this router reaches the endpoints.
    handover_choice handovers{zone_id()}; ///< Requests that others serve for this router.
    connection_pool router_connections;   ///< Idle connections to other routers, by their ids.
    /// Limit of \ref taken_requests, from the host's memory.
    std::size_t max_taken_requests = default_host_memory / taken_request_bytes;
    std::size_t taken_requests = 0; ///< Open requests that this router serves for others.
    /// Returns the live routers that do not say that they are cut off; empty until the other
    /// routers are known.
    std::function<std::vector<handover_target>()> handover_targets;
    /// Called when \ref reach is in doubt, to check other endpoints.
    std::function<void()> on_doubt;

    /// \brief Records what became of a new connection to an endpoint.
    void record_connection(const endpoint_id& endpoint, connection_result outcome);

    /// \brief Records that an endpoint did not respond to a request on an open connection.
    void record_lost_response(const endpoint_id& endpoint, time_point sent_at);

    /// \brief Records what an endpoint's answer says of the rejections that it tolerates.
    void record_rejection_limit(const endpoint_record& endpoint,
                                std::optional<std::uint32_t> per_second);

    /// \param only_free Whether the request may go to a slot that is known to be free only.
    /// \returns Whether an endpoint may get a request now; true unless it is brittle.
    bool may_risk_rejection(const endpoint_state& endpoint, bool only_free) const;

    /// \returns Whether requests are accepted and the operator's table is recent enough.
    bool is_ready() const
    {
        return lifecycle == lifecycle_state::serving && routes &&
               operations_lease.is_valid(time.now());
    }

    /// \returns Age from which the copy of the operator's table must not be used.
    static millis lease_ttl(const server_bounds& bounds)
    {
        return bounds.max_revocation_delay - revocation_margin;
    }

    /// \brief Applies changed bounds to everything that was made with the earlier ones.
    void apply_bounds(const server_bounds& changed)
    {
        bounds = changed;
        operations_lease.set_ttl(lease_ttl(changed));
        for (std::pair<const service_id, repeat_budget>& budget : repeat_budgets)
        {
            budget.second.set_limit(changed.repeats, time.now());
        }
    }

    repeat_budget& repeat_budget_for(const service_id& service)
    {
        return repeat_budgets.try_emplace(service, bounds.repeats, start_time).first->second;
    }

    /// \returns Time within which any change of a table must be in force.
    millis max_change_delay() const
    {
        return std::min({bounds.max_config_delay, bounds.max_drain_delay,
                         bounds.max_revocation_delay - revocation_margin - lease_reserve});
    }

    /// \brief Queues reports about parts of prompts for the other routers.
    void announce(const std::vector<part_report>& reports)
    {
        for (const part_report& report : reports)
        {
            pending_part_reports.push_back({report, time.now()});
        }
    }

    cold_send_limit cold_limit_for(const service_profile& profile) const
    {
        return {profile.cold_requests_per_s,
                profile.cold_requests_per_s * bounds.cold_overshoot + bounds.cold_slack};
    }
};

} // namespace endivestage::serving
