/// \file
/// \brief Stand-ins (simulations) of the platform and the endpoints for tests and the demo.
#pragma once

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <string>

namespace endivestage::standin
{

using namespace endivestage::daemon;

/// \brief Options of the simulated platform.
struct platform_options
{
    network_address listen{"127.0.0.1", 0};
    millis host_list_delay{500}; ///< Until a change of the host list becomes visible.
    double max_weight_loads_per_second = 2.0;
};

/// \brief Options of a simulated model engine.
struct engine_options
{
    network_address listen{"127.0.0.1", 0};
    std::string id;
    std::size_t slots = 8; ///< Maximum number of requests that generate tokens concurrently.
    std::int64_t cache_tokens = 200000;  ///< Capacity of the prefix cache.
    millis token_interval{5};            ///< Between two tokens of one request.
    millis load_report_delay{300};       ///< Approximate age of the reported load.
    double prefill_tokens_per_ms = 50.0; ///< Uncached prompt tokens processed per millisecond.
    /// A cold engine fails above this number of running and waiting requests.
    std::size_t max_cold_load = 4;
    std::size_t warmup_requests = 8; ///< Completed requests after which the engine is warm.
    bool fencing = true; ///< Whether orders with an outdated fencing number are refused.
};

/// \brief Options of a simulated service.
struct service_options
{
    network_address listen{"127.0.0.1", 0};
    std::string id;
    millis service_time{5};
};

/// \brief Options of the TCP proxy that closes connections or stops forwarding on them.
struct proxy_options
{
    network_address listen{"127.0.0.1", 0};
    network_address control{"127.0.0.1", 0}; ///< Of the HTTP interface that sets faults.
    network_address target;
};

int run_platform(const platform_options& options);
int run_engine(const engine_options& options);
int run_service(const service_options& options);
int run_proxy(const proxy_options& options);

/// \returns Milliseconds of the monotonic clock.
time_point steady_now();

/// \returns Milliseconds since the Unix epoch.
std::int64_t unix_time_ms();

/// \brief Makes a response with a JSON body.
http_response json_response(const boost::json::value& body, int status = 200);

/// \brief Makes a response with a JSON body that holds an error code.
http_response error_response(const char* code, int status);

/// \brief Makes the head of a response that streams server-sent events.
http_response event_stream_head();

/// \brief Parses a JSON object.
/// \returns An empty object if the text is empty, invalid or not an object.
boost::json::object parse_object(const std::string& text);

/// \returns The value of a numeric member, or \p fallback without one.
std::int64_t number_or(const boost::json::object& object, const char* key, std::int64_t fallback);

/// \returns The value of a string member, or an empty string without one.
std::string text_or_empty(const boost::json::object& object, const char* key);

/// \brief Runs a server until the process receives SIGTERM or SIGINT.
/// \returns The exit code of the process; 3 if the server cannot listen.
int serve(boost::asio::io_context& context, http_server& server, const network_address& listen);

} // namespace endivestage::standin
