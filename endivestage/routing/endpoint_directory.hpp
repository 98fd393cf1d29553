/// \file
/// \brief State of the endpoints of all services, as one router observes it.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/routing/load_aggregator.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivestage
{

/// \brief An endpoint's own record in the platform's table.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    std::string host;
    std::uint16_t port = 0;
    zone_id zone;
    bool draining = false;
    millis cold_left{0};         ///< Time for which it stays cold, from when the record was read.
    std::int64_t started_at = 0; ///< Unix time of its start in ms; 0 if unknown.
    std::uint32_t slots = 1;     ///< Weight of the endpoint when load is distributed.
    std::string version;         ///< Release that it runs; empty if its record does not say.
};

/// \brief An endpoint's own report of its work.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< Requests that it runs at a time.
    /// Time that work takes on the endpoint's host at this moment, relative to the usual time;
    /// nothing from endpoints that do not report it.
    std::optional<double> pace;
};

/// \brief How a request to an endpoint ended, as far as it is evidence about the endpoint.
enum class endpoint_outcome
{
    served,      ///< A complete answer.
    failed,      ///< An answer that reports a failure of the endpoint itself.
    shed,        ///< Rejected without being executed.
    misdirected, ///< Another endpoint has the address now.
    unreachable, ///< No connection could be established.
    broken,      ///< The connection was lost or timed out before the answer was complete.
};

/// \returns The snake_case name of an outcome.
std::string_view to_string(endpoint_outcome outcome);

/// \brief An endpoint's record with the router's own observations.
struct endpoint_state
{
    endpoint_record record;
    std::uint64_t hash = 0;                 ///< Hash of the id, for rendezvous hashing.
    time_point cold_until;                  ///< In the past when the endpoint is warm.
    time_point presumed_cold_until;         ///< The same, as it answered after several losses.
    time_point avoid_until;                 ///< Until then chosen only if no other is left.
    std::uint32_t consecutive_failures = 0; ///< Unreachable or broken since the last success.
    double failure_rate = 0.0;              ///< Moving average over recent outcomes, 0 to 1.
    double answered_failure_rate = 0.0;     ///< \ref failure_rate as of the last answer.
    std::uint32_t in_flight = 0;            ///< This router's open requests.
    double reported_load = 0.0; ///< Open requests from all routers, by the endpoint's own report.
    std::uint32_t in_flight_at_report = 0;
    time_point reported_load_at{-1000000};
    std::uint32_t reported_slots = 0; ///< 0 until reported.
    std::optional<double> pace;       ///< Latest \ref load_report::pace of this incarnation.
    time_point pace_at{-1000000};     ///< When \ref pace was reported.
    /// Open requests of all other routers, from the sums that a relay distributes.
    double other_routers_in_flight = 0.0;
    /// This router's last unreachable or broken outcome; in the far past after a served one.
    time_point lost_at{-1000000};
    time_point presumed_by_loss_at{-1000000}; ///< Last loss behind \ref presumed_cold_until.
    std::uint32_t failing_routers = 0;        ///< Routers that see it fail, this one included.
    /// Set when the record was removed after an outage of the table: until when it may be written
    /// again.
    std::optional<time_point> kept_until;

    bool is_cold(time_point now) const { return now < cold_until || now < presumed_cold_until; }
};

/// \brief Time limits of an \ref endpoint_directory.
struct endpoint_directory_config
{
    /// How long an endpoint is avoided after one failed connection; doubles with each further one.
    millis initial_avoidance{400};
    millis max_avoidance{4000}; ///< A recovered endpoint is used again within this time.
    /// Older load reports count half, because some of the reported requests have ended since.
    millis full_weight_report_ttl{1500};
    millis report_ttl{5000}; ///< Older load reports are ignored.
    /// Older load reports are not combined with the fleet's load sums.
    millis fresh_report_ttl{500};
    /// If the latest load sums from a relay are older, load reports are used alone.
    millis fleet_loads_ttl{1500};
    /// A lost request counts as evidence for other routers for this long, or until a served one.
    millis failure_ttl{2000};
    /// So many routers must see an endpoint fail before the others avoid it; fewer may have a bad
    /// link themselves.
    std::uint32_t min_failing_routers = 3;
    /// A router that sees more than one in this many endpoints of a service fail, and more than
    /// one, reports none of them: its own link is the likely cause.
    std::size_t own_link_divisor = 5;
};

/// \brief The endpoints of all services. Combines their records, the zones that operators took out
/// of service, load reports and the outcomes of this router's requests.
///
/// Not thread-safe. The times passed in must not decrease.
class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_config config = {}) : config_(config) {}

    /// \brief Applies a new or changed record. A changed start time, host or port means that the
    /// endpoint restarted, which resets its observed state except for requests in flight.
    void update(const endpoint_record& record, time_point now);

    /// \brief Removes an endpoint whose record was removed from the table.
    /// \param keep_until Time by which an endpoint whose record expired in an outage of the table
    /// has written it again. Until then the endpoint is kept, unless it is draining: its record may
    /// as well be gone because it leaves.
    void remove(const endpoint_id& id, time_point now,
                std::optional<time_point> keep_until = std::nullopt);

    /// \brief Removes endpoints whose record was not written again in time.
    /// \returns The removed endpoints.
    std::vector<endpoint_id> expire(time_point now);

    /// \brief Replaces the set of zones whose endpoints must not get requests. Endpoints of a zone
    /// that returns to service count as cold for the cold period of their service.
    void set_out_of_service(std::set<zone_id> zones, time_point now,
                            const std::map<service_id, millis>& cold_periods);

    /// \brief Counts a request that is about to be sent; \ref end_request must follow.
    void begin_request(const endpoint_id& id);

    /// \brief Records the end of a request.
    /// \param cold_period How long the endpoint counts as cold if it served this request after more
    /// than one consecutive failure.
    void end_request(const endpoint_id& id, endpoint_outcome outcome, time_point now,
                     millis cold_period);

    /// \brief Forgets unreachable and broken outcomes that followed the last answer of an endpoint,
    /// if the last one is not older than \p since: this router's own link was their cause. An
    /// endpoint that has answered after them no longer counts as cold for it.
    void forget_losses(time_point since);

    /// \brief Records an endpoint's own report of how many requests it has open.
    void record_load_report(const endpoint_id& id, double requests, time_point now);

    /// \brief Records an endpoint's whole report.
    void record_load_report(const endpoint_id& id, const load_report& report, time_point now);

    /// \returns This router's open requests per endpoint, to be reported to its relay.
    std::vector<engine_requests> open_requests() const;

    /// \brief Applies the sums of the open requests of all routers, this one included.
    void apply_fleet_loads(const load_changes& changes, time_point now);

    /// \returns Endpoints that fail by this router's own outcomes, with 1 each, to be reported to
    /// its relay; none of a service of which so many fail that its own link is the likely cause.
    std::vector<engine_requests> failing_endpoints(time_point now) const;

    /// \brief Applies the numbers of routers that see an endpoint fail, this one included.
    void apply_fleet_failures(const load_changes& changes, time_point now);

    /// \returns Number of endpoints that enough routers see fail.
    std::size_t fleet_failures(time_point now) const;

    /// \returns Whether enough routers see the endpoint fail.
    bool fails_for_fleet(const endpoint_state& endpoint, time_point now) const;

    /// \brief Records an endpoint's own report that it stays cold for \p left.
    void record_cold_report(const endpoint_id& id, millis left, time_point now);

    /// \returns Endpoints of a service that may get requests: not draining, not in a zone that is
    /// out of service, and with a record in the table or one that may be written again.
    std::vector<const endpoint_state*> available(const service_id& service, time_point now) const;

    /// \returns The records of all endpoints of a service, of draining ones too.
    std::vector<const endpoint_record*> records(const service_id& service) const;

    const endpoint_state* find(const endpoint_id& id) const;

    /// \returns The endpoint whose id has this hash; null without one.
    const endpoint_state* find_by_hash(std::uint64_t hash) const;

    /// \returns The estimated number of open requests of the endpoint over all routers: from the
    /// fleet's load sums and fresh load reports, whichever is higher, or from \ref observed_load if
    /// there are no recent sums.
    double estimated_load(const endpoint_state& endpoint, time_point now) const;

    /// \returns Whether the fleet's load sums are recent enough for \ref estimated_load.
    bool has_current_loads(time_point now) const
    {
        return now - fleet_loads_at_ <= config_.fleet_loads_ttl;
    }

    /// \returns The same estimate from this router's own requests and the endpoint's reports alone.
    double observed_load(const endpoint_state& endpoint, time_point now) const;

    std::size_t size() const { return endpoints_.size(); }

private:
    endpoint_directory_config config_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::unordered_map<std::uint64_t, endpoint_id> by_hash_;
    std::set<zone_id> out_of_service_;
    time_point fleet_loads_at_{-1000000}; ///< When load sums arrived last, changed or not.
    time_point fleet_failures_at_{-1000000};
};

} // namespace endivestage
