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
    std::size_t endpoints = 0;
    std::size_t routers = 0;
    std::uint64_t config_version = 0;
    std::uint64_t store_calls = 0;     ///< Calls to the table service since start.
    std::size_t quarantined_parts = 0; ///< Parts of prompts that are kept from engines.
    std::size_t notices = 0; ///< Endpoints that said of themselves that they want no requests.
    std::size_t response_bytes = 0;           ///< Memory of answers that are being read.
    std::size_t request_bytes = 0;            ///< Memory of requests of callers.
    std::size_t unfinished_request_bytes = 0; ///< The part of requests that have not arrived whole.
    std::size_t caller_connections = 0;
    std::uint64_t evicted_requests = 0; ///< Since start.
    millis copy_age{-1};           ///< Age of the operator's table; negative before the first copy.
    millis endpoints_copy_age{-1}; ///< Age of the endpoints' table; negative before the first copy.
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
    /// \param latency Time from the first byte of the request to the first event of its stream.
    void record_first_event(millis latency);
    void record_connection(bool success);
    /// \param delay How late a timer of the event loop was handled.
    void record_loop_delay(millis delay);
    void set_gauges(const router_gauges& values);

    /// \returns All metrics as text.
    std::string render() const { return registry_.render(); }

private:
    daemon::metrics_registry registry_;
};

} // namespace endivestage::serving
