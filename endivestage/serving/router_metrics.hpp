/// \file
/// \brief Metrics of a router in the Prometheus text format.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/metrics.hpp>
#include <endivestage/routing.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief Values that are sampled when the metrics are requested.
struct router_gauges
{
    std::size_t open_requests = 0;
    std::size_t idle_connections = 0;
    std::size_t waiting_requests = 0; ///< Requests that wait for room at their service.
    std::size_t endpoints = 0;
    std::size_t routers = 0;
    std::uint64_t config_version = 0;
    std::uint64_t store_calls = 0;     ///< Calls to the table service since start.
    std::uint64_t store_era = 0;       ///< Era of the copies; 0 if the table service states none.
    std::uint64_t store_restores = 0;  ///< Restores of the table service since start.
    std::size_t quarantined_parts = 0; ///< Parts of prompts that are kept from engines.
    std::size_t notices = 0; ///< Endpoints that said of themselves that they want no requests.
    std::size_t brittle_services = 0;
    std::size_t failing_endpoints = 0;        ///< Endpoints that several routers see fail.
    std::size_t response_bytes = 0;           ///< Memory of answers that are being read.
    std::size_t request_bytes = 0;            ///< Memory of requests of callers.
    std::size_t unfinished_request_bytes = 0; ///< The part of requests that have not arrived whole.
    std::size_t caller_connections = 0;
    std::uint64_t evicted_requests = 0; ///< Since start.
    millis copy_age{-1};           ///< Age of the operator's table; negative before the first copy.
    millis endpoints_copy_age{-1}; ///< Age of the endpoints' table; negative before the first copy.
    std::size_t taken_requests = 0; ///< Requests that are served for other routers.
    std::size_t cuts = 0;           ///< Times that this router was cut off from all endpoints.
    bool cut_off = false;           ///< It is now.
    bool relaying = false;
    bool primary = false;
    bool ready = false;
};

/// \brief The metrics of a router. Their names, units and meaning are in docs/OPERATIONS.md.
class router_metrics
{
public:
    /// \param result Result as in the log event request_answered; one of a fixed set.
    /// \param duration Time from the first byte of the request to the end of its response.
    void record_request(std::string_view result, bool streaming, millis duration);
    void record_attempt(endpoint_outcome outcome);
    /// \brief Counts what an endpoint said of itself in an answer.
    /// \param kind "leaving", "hold_off" or "malformed".
    void record_notice(std::string_view kind);
    void record_brittle_rejection();
    /// \brief Counts a stream that its caller takes up.
    /// \param step "known" or "only_version" if it goes on, "refused" otherwise.
    void record_take_up(std::string_view step);
    /// \param latency Time from the first byte of the request to the first event of its stream.
    void record_first_event(millis latency);
    /// \brief Counts a load report with an unknown number of figures.
    void record_unknown_load_report();
    /// \brief Counts an attempt that was given up without a first event.
    void record_first_event_timeout();
    /// \param estimated,took Time from sending a request to its first event.
    void record_estimate(millis estimated, millis took);
    /// \param decision "admitted", or why a request was refused or dropped; one of a fixed set.
    void record_admission(std::string_view decision);
    /// \param wait Time for which a request waited for room at its service.
    void record_room_wait(millis wait);
    void record_connection(bool success);
    /// \brief Counts a request that was offered to another router.
    /// \param result "answered", "refused", "unreached" or "lost".
    void record_handover(std::string_view result);
    /// \brief Counts a response during a roll-out.
    void record_rollout_response(bool new_version, bool failed);
    void record_rollout_write(bool success);
    /// \param share Part of the service's requests that the ordered version gets.
    void set_rollout(const service_id& service, double share);
    /// \param delay How late a timer of the event loop was handled.
    void record_loop_delay(millis delay);
    /// \brief Sets how many waits for the tables of the starting router have ended in one way.
    /// \param result "released", "refused", "left" or "stopped".
    void set_ended_waits(std::string_view result, std::uint64_t ended);
    /// \brief Sets the requests that wait for the tables now, and their bytes.
    void set_held_requests(std::size_t requests, std::size_t bytes);
    void set_gauges(const router_gauges& values);

    /// \returns All metrics as text.
    std::string render() const { return registry_.render(); }

private:
    daemon::metrics_registry registry_;
};

} // namespace endivestage::serving
