/// \file
/// \brief What a router believes about the endpoints of all services.
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

/// \brief An endpoint as it describes itself in the platform's table.
struct endpoint_record
{
    endpoint_id id;
    service_id service;
    std::string host;
    std::uint16_t port = 0;
    zone_id zone;
    bool draining = false;
    millis cold_left{0};         ///< How long it stays cold, from when the record was read.
    std::int64_t started_at = 0; ///< Unix time in ms of its start; 0 when unknown.
    std::uint32_t slots = 1;
};

/// \brief How a request to an endpoint ended, as far as it tells about the endpoint.
enum class endpoint_outcome
{
    served,      ///< A complete answer.
    failed,      ///< An answer that reports a failure of the endpoint itself.
    shed,        ///< Refused as not executed.
    misdirected, ///< Another endpoint has the address now.
    unreachable, ///< No connection could be made.
    broken,      ///< The connection ended, or the time ran out, before the answer was complete.
};

/// \returns The snake_case name of an outcome.
std::string_view to_string(endpoint_outcome outcome);

/// \brief An endpoint with the router's own observations.
struct endpoint_state
{
    endpoint_record record;
    std::uint64_t hash = 0;                 ///< Of the id, for rendezvous hashing.
    time_point cold_until;                  ///< In the past when it is warm.
    time_point avoid_until;                 ///< Not chosen before, unless nothing else is left.
    std::uint32_t consecutive_failures = 0; ///< Unreachable or broken in a row.
    double failure_rate = 0.0;              ///< Moving average over recent outcomes, 0 to 1.
    std::uint32_t in_flight = 0;            ///< This router's open requests.
    double reported_load = 0.0;             ///< Requests that it said it holds, from all routers.
    std::uint32_t in_flight_at_report = 0;
    time_point reported_load_at{-1000000};
    double other_routers_in_flight =
        0.0; ///< Requests that all other routers have open, as a relay told.
    std::optional<time_point> removed_at; ///< Its record went; kept for a while after an outage.

    bool is_cold(time_point now) const { return now < cold_until; }
};

/// \brief Timing of the router's beliefs.
struct endpoint_directory_config
{
    /// Records that expired during an outage of the table are written again within about two
    /// seconds of its end. A record may also go because its endpoint leaves, and then nothing may
    /// be sent two seconds later.
    millis outage_grace_period{1600};
    millis initial_avoidance{400}; ///< After one failed connection; doubles with each further.
    millis max_avoidance{4000};    ///< An endpoint that is back is found within this time.
    millis full_weight_report_ttl{
        1500};                    ///< Older load reports count half, as work has ended since.
    millis report_ttl{5000};      ///< Reports older than this say nothing about the present.
    millis fresh_report_ttl{500}; ///< Younger reports are compared with the fleet's sums.
    millis fleet_loads_ttl{1500}; ///< Without newer sums from a relay reports are used alone.
};

/// \brief The endpoints of all services, with what records, operators and outcomes say of them.
///
/// Not thread-safe. Instants passed in must not decrease.
class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_config config = {}) : config_(config) {}

    /// \brief Takes a new or changed record.
    void update(const endpoint_record& record, time_point now);

    /// \brief The record is gone.
    /// \param after_outage The table was out of reach until shortly before: the endpoint is kept
    /// until it has had time to write its record again.
    void remove(const endpoint_id& id, time_point now, bool after_outage = false);

    /// \brief Forgets endpoints that were kept after an outage and did not return.
    /// \returns Those forgotten.
    std::vector<endpoint_id> expire(time_point now);

    /// \brief Zones whose endpoints must get nothing. Endpoints of a zone that returns count as
    /// cold for \p cold_period of their service.
    void set_out_of_service(std::set<zone_id> zones, time_point now,
                            const std::map<service_id, millis>& cold_periods);

    /// \brief A request was sent; count its end with \ref finished.
    void begin_request(const endpoint_id& id);

    /// \param cold_period Of the service; an endpoint that was unreachable counts as cold.
    void end_request(const endpoint_id& id, endpoint_outcome outcome, time_point now,
                     millis cold_period);

    /// \brief Takes the number of requests that the endpoint said it holds.
    void record_load_report(const endpoint_id& id, double requests, time_point now);

    /// \returns What this router has open, for its relay.
    std::vector<engine_requests> open_requests() const;

    /// \brief Takes the sums of what all routers have open, this one included.
    void apply_fleet_loads(const load_changes& changes, time_point now);

    /// \brief The endpoint said that it is cold for this long.
    void record_cold_report(const endpoint_id& id, millis left, time_point now);

    /// \returns Endpoints of a service that may get requests: not draining, not gone, not in a
    /// zone out of service.
    std::vector<const endpoint_state*> available(const service_id& service, time_point now) const;

    const endpoint_state* find(const endpoint_id& id) const;

    /// \returns The endpoint whose id has this hash; null without one.
    const endpoint_state* find_by_hash(std::uint64_t hash) const;

    /// \returns The estimated number of requests that the endpoint holds from all routers.
    double estimated_load(const endpoint_state& endpoint, time_point now) const;

    /// \returns The same from this router's requests and the endpoint's reports alone.
    double observed_load(const endpoint_state& endpoint, time_point now) const;

    std::size_t size() const { return endpoints_.size(); }

private:
    endpoint_directory_config config_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::unordered_map<std::uint64_t, endpoint_id> by_hash_;
    std::set<zone_id> out_of_service_;
    time_point fleet_loads_at_{-1000000}; ///< Of the latest sums, changed or not.
};

} // namespace endivestage
