/// \file
/// \brief Stand-ins for the platform and the endpoints, for tests and the demo.
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

/// \brief Settings of the platform stand-in.
struct platform_options
{
    network_address listen{"127.0.0.1", 0};
    millis host_list_delay{500};
    double max_weight_loads_per_second = 2.0;
};

/// \brief Settings of a model engine stand-in.
struct engine_options
{
    network_address listen{"127.0.0.1", 0};
    std::string id;
    std::size_t slots = 8; ///< Requests generated at the same time.
    std::int64_t cache_tokens = 200000;
    millis token_interval{5}; ///< Between two tokens of one request.
    millis load_report_delay{300};
    double prefill_tokens_per_ms = 50.0; ///< Uncached prompt tokens read per millisecond.
    std::size_t max_cold_load = 4;       ///< A cold engine fails above this many requests.
    std::size_t warmup_requests = 8;     ///< Completed requests after which it is warm.
    bool fencing = true;                 ///< Refuses orders with an old fencing number.
};

/// \brief Settings of a plain service stand-in.
struct service_options
{
    network_address listen{"127.0.0.1", 0};
    std::string id;
    millis service_time{5};
};

/// \brief Settings of the TCP proxy that cuts or silences connections.
struct proxy_options
{
    network_address listen{"127.0.0.1", 0};
    network_address control{"127.0.0.1", 0};
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

/// \brief A JSON answer.
http_response json_response(const boost::json::value& body, int status = 200);

/// \brief A JSON answer that names an error.
http_response error_response(const char* code, int status);

/// \brief Head of a stream of server-sent events.
http_response event_stream_head();

/// \brief Parses a JSON object; an empty or invalid text gives an empty object.
boost::json::object parse_object(const std::string& text);

/// \brief Member of an object as a number, or a default.
std::int64_t number_or(const boost::json::object& object, const char* key, std::int64_t fallback);

/// \brief Member of an object as text, or an empty text.
std::string text_or_empty(const boost::json::object& object, const char* key);

/// \brief Runs a server until the process is told to stop (SIGTERM or SIGINT).
/// \returns The exit code of the process.
int serve(boost::asio::io_context& context, http_server& server, const network_address& listen);

} // namespace endivestage::standin
