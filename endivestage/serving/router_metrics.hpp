/// \file
/// \brief Counters and latencies of a router, in the Prometheus text format.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/metrics.hpp>
#include <endivestage/routing.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief Values that are read when metrics are asked for.
struct router_gauges
{
    std::size_t open_requests = 0;
    std::size_t idle_connections = 0;
    std::size_t endpoints = 0;
    std::size_t routers = 0;
    std::uint64_t config_version = 0;
    std::uint64_t store_calls = 0; ///< Since start.
    millis copy_age{-1};           ///< Negative before the first copy.
    bool relaying = false;
    bool ready = false;
};

/// \brief The metrics of a router. Names, units and meaning are in docs/OPERATIONS.md.
class router_metrics
{
public:
    /// \param result As in the event request_answered; from a fixed set.
    void record_request(std::string_view result, bool streaming, millis took);
    void record_attempt(endpoint_outcome outcome);
    void record_first_event(millis after);
    void record_connection(bool success);
    void set_gauges(const router_gauges& values);

    /// \returns All metrics as text.
    std::string render() const { return registry_.render(); }

private:
    daemon::metrics_registry registry_;
};

} // namespace endivestage::serving
