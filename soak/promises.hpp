/// \file
/// \brief Checks the promises (guarantees) of a fleet from the observations of callers and engines.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::soak
{

/// \brief How often a request may be executed.
enum class request_kind
{
    once,       ///< At most once.
    idempotent, ///< Any number of times.
    stream,     ///< Event stream; at most once.
    resumable,  ///< Event stream; a second execution continues where the first one ended.
};

/// \brief Outcome of a request for its caller.
enum class caller_outcome
{
    served,     ///< Complete response with a success status.
    refused,    ///< Response that guarantees that the request was not and will not be executed.
    failed,     ///< Response that leaves open whether the request was executed.
    no_answer,  ///< The connection ended or the timeout elapsed.
    timed_out,  ///< A stream that had begun ended at the route's timeout, when it must end.
    not_reached ///< No connection, or it was closed before the router could read the request.
};

/// \returns The snake_case name of an outcome.
std::string_view to_string(caller_outcome outcome);

/// \brief A broken promise.
struct violation
{
    std::string promise; ///< Name in snake_case.
    std::string request;
    std::string detail;
};

/// \brief Bounds within which changes must take effect; the same as in the routers' settings.
struct promise_bounds
{
    millis max_revocation_delay{5000};
    millis max_leaving_delay{2000};
    millis max_zone_out_delay{5000};
    /// A connection that ends within this time of the request's last byte may have been closed
    /// before the request arrived.
    millis loss_slack{200};
    /// The bounds for leaving engines and zones and the promise of a response apply only if no
    /// fault was in effect since this long before the change or the request.
    millis quiet_period{3000};
};

/// \brief Collects observations and reports each broken promise once.
///
/// The time passed to successive calls must not decrease, except in record_outcome.
class promise_checker
{
public:
    explicit promise_checker(promise_bounds bounds = {}) : bounds_(bounds) {}

    void record_sent(const std::string& request, request_kind kind, const std::string& key,
                     time_point now);

    /// \brief Records that an engine started to execute a request.
    void record_execution(const std::string& request, const std::string& engine,
                          const std::string& zone, time_point now);

    /// \brief Records a health check, which routers send only while they look for a cut.
    void record_health_check(const std::string& engine, time_point now);

    /// \param complete Whether the response has exactly the bytes that the engine generated.
    /// \param planned_stop Whether the router was asked to stop and not affected by any fault.
    ///
    /// A request without a response breaks no promise if it was not executed and its connection
    /// ended within the slack: the router may have closed it while the request was in transit.
    void record_outcome(const std::string& request, caller_outcome outcome, bool complete,
                        bool planned_stop, time_point now);

    /// \brief Records that the observations since the last call came this much too late.
    void record_observer_delay(millis delay) { observer_delay_ = observer_delay_ + delay; }

    /// \brief Records that the caller disconnected before the response was complete.
    void record_abandoned(const std::string& request) { requests_[request].abandoned = true; }

    /// \brief Records the versions of the engines that made the events of a stream, over all
    /// attempts of its caller.
    void record_versions(const std::string& request, const std::set<std::string>& versions);

    /// \brief Records that a key was withdrawn, once the store holds the change.
    void record_key_withdrawn(const std::string& key, time_point now);
    void record_key_restored(const std::string& key) { withdrawn_.erase(key); }

    /// \brief Records that an engine announced that it leaves or removed its record.
    void record_engine_leaving(const std::string& engine, time_point now);
    void record_zone_out_of_service(const std::string& zone, time_point now);
    void record_zone_in_service(const std::string& zone) { zones_out_.erase(zone); }

    /// \brief Records that a fault is in effect.
    void record_disturbance(time_point now) { last_disturbance_ = now; }

    /// \returns Whether no fault was in effect during the last quiet period.
    bool is_undisturbed(time_point now) const;

    const std::vector<violation>& violations() const { return violations_; }

    /// \brief Reports a router that exited unexpectedly or did not stop when it was asked to.
    /// \param status As reported by waitpid.
    void record_process_exit(const std::string& router, int status);

    /// \brief Numbers of requests sent and served.
    struct request_counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };

    /// \brief Reports that too few requests were served after all faults had ended.
    void record_failed_recovery(const request_counts& counts);

    /// \returns Counts of the requests sent in [from, to) that had a valid key and were not
    /// abandoned.
    request_counts count_requests(time_point from, time_point to) const;

    std::map<caller_outcome, std::size_t> outcome_counts() const;

private:
    struct request_record
    {
        request_kind kind = request_kind::once;
        std::string key;
        time_point sent_at;
        millis observer_delay_before{0}; ///< Sum of the observer's delays when it was sent.
        std::uint32_t execution_count = 0;
        std::optional<caller_outcome> outcome;
        bool abandoned = false;
        bool closed_in_transit = false; ///< No response, allowed as long as it is not executed.
    };

    void report(std::string promise, const std::string& request, std::string detail);

    /// Reports a request without a response unless its connection may have ended before the router
    /// could read it.
    void check_unanswered(const std::string& request, request_record& record, bool planned_stop,
                          time_point now);

    /// Reports a request that ran at an engine or in a zone more than \p bound after its removal,
    /// unless a fault was in effect since a quiet period before the removal.
    void check_removed(std::string_view promise, const std::map<std::string, time_point>& removed,
                       const std::string& name, millis bound, const std::string& request,
                       time_point now);

    promise_bounds bounds_;
    std::map<std::string, request_record> requests_;
    std::map<std::string, time_point> withdrawn_;
    std::map<std::string, time_point> leaving_;
    std::map<std::string, time_point> zones_out_;
    time_point last_disturbance_{-1000000};
    millis observer_delay_{0};
    std::vector<violation> violations_;
};

} // namespace endivestage::soak
