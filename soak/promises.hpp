/// \file
/// \brief Checks the promises of a fleet from what callers and engines see.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::soak
{

/// \brief How often a request may run.
enum class request_kind
{
    once,       ///< At most once.
    idempotent, ///< Any number of times.
    stream,     ///< Events; at most once.
    resumable,  ///< Events; a second run continues where the first one ended.
};

/// \brief How a request ended for its caller.
enum class caller_outcome
{
    served,     ///< A success, complete.
    refused,    ///< An answer that promises that the request has not run and never will.
    failed,     ///< An answer that promises nothing.
    no_answer,  ///< The connection ended or nothing came in time.
    not_reached ///< No connection, or it was closed before the request could be read.
};

/// \returns The snake_case name of an outcome.
std::string_view to_string(caller_outcome outcome);

/// \brief A promise that was broken.
struct violation
{
    std::string promise; ///< Its snake_case name.
    std::string request;
    std::string detail;
};

/// \brief Bounds within which changes must be in force; those that the routers were given.
struct promise_bounds
{
    millis max_revocation_delay{5000};
    millis max_leaving_delay{2000};
    millis max_zone_out_delay{5000};
    /// Bounds on leaving engines and zones hold when nothing was disturbed for this long before.
    millis quiet_period{3000};
};

/// \brief Collects what was seen and reports each broken promise once.
///
/// Instants passed in must not decrease.
class promise_checker
{
public:
    explicit promise_checker(promise_bounds bounds = {}) : bounds_(bounds) {}

    void record_sent(const std::string& request, request_kind kind, const std::string& key,
                     time_point now);

    /// \brief An engine began to work on a request.
    void record_execution(const std::string& request, const std::string& engine,
                          const std::string& zone, time_point now);

    /// \param whole Whether the answer is exactly what the engine made for this request.
    /// \param planned The router that took the request was asked to stop, and nothing else was
    /// done to it. A request that has not run may have crossed the close of its connection.
    void record_outcome(const std::string& request, caller_outcome outcome, bool whole,
                        bool planned, time_point now);

    /// \brief The caller left before the answer was complete.
    void record_abandoned(const std::string& request) { requests_[request].given_up = true; }

    /// \brief A key was taken away, as acknowledged by the store.
    void record_key_withdrawn(const std::string& key, time_point now);
    void record_key_restored(const std::string& key) { withdrawn_.erase(key); }

    /// \brief An engine said that it leaves, or its record went.
    void record_engine_leaving(const std::string& engine, time_point now);
    void record_zone_out_of_service(const std::string& zone, time_point now);
    void record_zone_in_service(const std::string& zone) { zones_out_.erase(zone); }

    /// \brief Something other than planned work goes on.
    void record_disturbance(time_point now) { disturbed_at_ = now; }

    /// \returns Whether nothing was disturbed for the last while.
    bool is_undisturbed(time_point now) const;

    const std::vector<violation>& violations() const { return violations_; }

    /// \brief A router ended although nobody ended it, or did not end when it was asked to.
    void record_process_exit(const std::string& router, int status);

    /// \brief Requests, and those served.
    struct request_counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };

    /// \brief Too few requests were served after everything worked again.
    void record_failed_recovery(const request_counts& last);

    /// \returns Requests sent from one instant to another with a key that is valid, whose callers
    /// stayed.
    request_counts count_requests(time_point from, time_point to) const;

    std::map<caller_outcome, std::size_t> outcome_counts() const;

private:
    struct entry
    {
        request_kind kind = request_kind::once;
        std::string key;
        time_point sent_at;
        std::uint32_t runs = 0;
        std::optional<caller_outcome> outcome;
        bool given_up = false;
    };

    void report(std::string promise, const std::string& request, std::string detail);
    void check_left(std::string_view promise, const std::map<std::string, time_point>& left,
                    const std::string& name, millis bound, const std::string& request,
                    time_point now);

    promise_bounds bounds_;
    std::map<std::string, entry> requests_;
    std::map<std::string, time_point> withdrawn_;
    std::map<std::string, time_point> leaving_;
    std::map<std::string, time_point> zones_out_;
    time_point disturbed_at_{-1000000};
    std::vector<violation> violations_;
};

} // namespace endivestage::soak
