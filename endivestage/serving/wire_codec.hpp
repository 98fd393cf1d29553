/// \file
/// \brief Interface that decodes and encodes the HTTP messages of callers and endpoints.
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

/// \brief Metadata of a caller's request, apart from method, target and body.
struct caller_request
{
    request_id id;
    std::string host;                           ///< Host of the request, without a port.
    std::string path;                           ///< Path of the target, without the query.
    std::string api_key;                        ///< API key of a team; empty when none was sent.
    std::optional<millis> timeout;              ///< Time that the caller waits for the response.
    std::optional<std::uint64_t> chat_hash;     ///< Hash of the chat that the request continues.
    std::optional<std::uint64_t> last_event_id; ///< Last event received before the stream broke.
    /// The caller has events of this stream from an earlier attempt.
    bool takes_up = false;
    /// Attempt that brought the stream's first event; nothing unless it is stated in a valid form.
    std::optional<request_id> first_attempt;
    std::vector<prompt_part> shared_prompt; ///< Parts that other requests may share, in order.
    std::uint32_t prompt_tokens = 0;        ///< Tokens of the prompt; 0 when unknown.
};

/// \brief Metadata that a router adds to a request that it forwards to an endpoint.
struct forwarding_info
{
    endpoint_id endpoint;       ///< Intended endpoint; any other one must refuse the request.
    team_id team;               ///< Team of the caller; empty on anonymous routes.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    millis time_left{0};        ///< Time until the response is due.
    std::optional<std::uint64_t> last_event_id;       ///< Resume a stream after this event.
    std::optional<daemon::network_address> copy_from; ///< Engine that caches a longer prefix.
};

/// \brief Metadata of an endpoint's response, decoded from status and header fields.
struct response_info
{
    bool matches_request = false; ///< The response belongs to the request that was sent.
    bool not_executed = false;    ///< The endpoint states that it did not execute the request.
    bool misdirected = false;     ///< The address belongs to another endpoint.
    bool success = false;         ///< The status is 2xx.
    bool is_event_stream = false; ///< The body is an event stream; of a 200 only.
    bool from_endpoint = false; ///< The endpoint marked the response, and its body is not encoded.
    std::optional<load_report> load; ///< The endpoint's report of its work.
    /// Set when the report has an unknown number of figures or one that is not a number: how many
    /// figures it has. The known ones before that are decoded all the same.
    std::optional<std::size_t> unknown_load_figures;
    std::optional<millis> cold_left;    ///< Time for which the endpoint stays cold.
    std::optional<millis> idle_timeout; ///< The endpoint closes idle connections after this.
    bool leaving = false;               ///< The endpoint will stop soon.
    /// The endpoint refused the request and wants no further ones for this time.
    std::optional<millis> hold_off;
    /// The endpoint fails if it has to reject more requests than this in a second.
    std::optional<std::uint32_t> max_rejections_per_s;
    /// A field that would say one of these has a value that is not allowed. Such a value is
    /// ignored: the endpoint's record still tells that it leaves, a refusal without a time is not
    /// repeated at the same endpoint, and other answers state the limit of rejections. Of several
    /// allowed values the strictest one counts.
    bool malformed_notice = false;
};

/// \returns Whether callers take a status for the promise that the request was not executed and
/// never will be.
constexpr bool promises_no_execution(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// \brief Converts between HTTP messages and the router's types.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    /// \returns The metadata of a caller's request, or errc::invalid_request.
    virtual result<caller_request> decode_request(const http_request& request) const = 0;

    /// \returns The request as it is sent to an endpoint.
    virtual http_request encode_request(const http_request& request,
                                        const forwarding_info& info) const = 0;

    /// \returns A caller's request as it is handed to another router, which handles it like one of
    /// its own callers: with the caller's credentials, and without hop-by-hop fields.
    virtual http_request encode_handover(const http_request& request, millis time_left) const = 0;

    /// \param id Id of the request that the response is expected to answer.
    virtual response_info decode_response(const http_response& head,
                                          const request_id& id) const = 0;

    /// \returns Status and fields of the response as the caller gets them, without hop-by-hop
    /// fields and without the body.
    virtual http_response encode_response(const http_response& head) const = 0;

    /// \brief Builds an error response of the router itself.
    /// \param retry_after Time after which the caller may retry; only for requests that were not
    /// executed.
    virtual http_response encode_error(int status, errc code, execution state,
                                       std::optional<millis> retry_after) const = 0;

protected:
    wire_codec() = default;
    wire_codec(const wire_codec&) = default;
    wire_codec& operator=(const wire_codec&) = default;
};

} // namespace endivestage::serving
