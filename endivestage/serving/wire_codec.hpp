/// \file
/// \brief How requests of callers and answers of endpoints are written, behind one interface.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/routing.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivestage::serving
{

using daemon::http_fields;
using daemon::http_request;
using daemon::http_response;

/// \brief What a caller's request says about itself, beside method, target and body.
struct caller_request
{
    request_id id;
    std::string host;                           ///< Without a port.
    std::string path;                           ///< Without the query.
    std::string api_key;                        ///< Of a team; empty when none was sent.
    std::optional<millis> timeout;              ///< Time that the caller waits.
    std::optional<std::uint64_t> chat_hash;     ///< Hash of the chat that it continues.
    std::optional<std::uint64_t> last_event_id; ///< Last event of a broken stream that it has.
    std::vector<prompt_part> shared_prompt;     ///< Parts that other requests may share, in order.
    std::uint32_t prompt_tokens = 0;            ///< 0 when unknown.
};

/// \brief What a router adds to a request that it sends to an endpoint.
struct forwarding_info
{
    endpoint_id endpoint; ///< Any other endpoint must refuse the request.
    team_id team;         ///< Empty on anonymous routes.
    std::uint32_t priority = 0;
    millis time_left{0};
    std::optional<std::uint64_t> last_event_id;       ///< Continue a stream after this event.
    std::optional<daemon::network_address> copy_from; ///< Engine that holds more of the prompt.
};

/// \brief What the head of an answer says.
struct response_info
{
    bool matches_request = false; ///< Bears the id of the request.
    bool not_executed = false;    ///< The endpoint states that it did not execute the request.
    bool misdirected = false;     ///< Another endpoint has the address.
    bool success = false;
    bool is_event_stream = false;       ///< The body is a stream of events.
    bool from_endpoint = false;         ///< Marked as made by an endpoint.
    std::optional<double> load;         ///< Requests that the endpoint holds.
    std::optional<millis> cold_left;    ///< How long the endpoint stays cold.
    std::optional<millis> idle_timeout; ///< The endpoint closes idle connections after this.
};

/// \brief Translates between the wire and the product's types.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    /// \returns The request, or errc::invalid_request.
    virtual result<caller_request> decode_request(const http_request& request) const = 0;

    /// \returns The request as an endpoint gets it.
    virtual http_request encode_request(const http_request& request,
                                        const forwarding_info& info) const = 0;

    virtual response_info decode_response(const http_response& head,
                                          const request_id& id) const = 0;

    /// \returns The answer's head as the caller gets it, without fields of the connection.
    virtual http_response encode_response(const http_response& head) const = 0;

    /// \brief An answer of the router itself.
    /// \param retry_after When the caller may come back; only for requests that were not executed.
    virtual http_response encode_error(int status, errc code, execution state,
                                       std::optional<millis> retry_after) const = 0;

protected:
    wire_codec() = default;
    wire_codec(const wire_codec&) = default;
    wire_codec& operator=(const wire_codec&) = default;
};

} // namespace endivestage::serving
