/// \file
/// \brief HTTP messages as plain values, so that only two translation units include Beast.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/daemon/network_address.hpp>
#include <endivestage/routing/request_memory.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

/// \brief Result type of the asynchronous calls of the adapters.
template <class T>
using awaitable = boost::asio::awaitable<T>;

/// \brief Header fields in the order in which they were received or will be sent.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// \returns Whether two names of fields or tokens are equal without regard to case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// \returns The value of the first field with this name, compared without case; empty when absent.
std::string_view find_field(const http_fields& fields, std::string_view name);

/// \brief A request as received by the server or to be sent by the client.
struct http_request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query, still percent-encoded.
    http_fields fields;
    std::string body;
    time_point received; ///< Server only: when the first byte of the request was read.
    /// Server only: memory that the request takes while it is kept; null without a budget.
    std::shared_ptr<request_reservation> memory;
};

/// \brief A complete answer.
struct http_response
{
    int status = 200;
    http_fields fields;
    std::string body;
};

/// \brief Path segments and query parameters of a request target, percent-decoded.
struct http_target
{
    std::vector<std::string> segments;
    std::vector<std::pair<std::string, std::string>> parameters;

    /// \returns The value of the first parameter with this name; empty when absent.
    std::string_view parameter(std::string_view name) const;
};

/// \brief Splits and decodes a request target.
/// \param target Path and query as received.
/// \param parsed Receives the parts; unspecified when false is returned.
/// \returns false when the target is not a valid origin-form target.
bool parse_target(std::string_view target, http_target& parsed);

/// \brief Percent-encodes a text for use in a path segment or a query value.
std::string encode_component(std::string_view text);

/// \brief Parses "host:port" with a numeric IPv4 or bracketed IPv6 address.
/// \returns false when \p text has another form.
bool parse_network_address(std::string_view text, network_address& parsed);

} // namespace endivestage::daemon
