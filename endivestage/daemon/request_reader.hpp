/// \file
/// \brief Reads one request from a connection, within a limit on the memory of all requests.
#pragma once

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/socket_deadline.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

namespace endivestage::daemon
{

using connection_stream = boost::beast::tcp_stream;

/// \brief Why a request was not read whole. It has not run in any case.
struct read_failure
{
    enum class cause
    {
        connection,     ///< The caller left, or the time for the request ran out.
        malformed,      ///< Includes a head that does not tell where the request ends.
        unknown_coding, ///< Of the transfer; the end of the request is unknown.
        too_large,
        short_memory, ///< No memory became free in time.
        evicted,      ///< Others needed its memory, and it arrived too slowly.
    };

    cause kind = cause::connection;
};

/// \brief Reader of one request.
///
/// Reads on only when the budget has room for what may arrive, so that the rest stays with the
/// caller. A request with a length reserves all of it; a chunked one doubles its reservation.
class request_reader
{
public:
    /// \param buf Bytes of the connection that were read already.
    /// \param memory Null for no budget.
    request_reader(connection_stream& stream, socket_deadline& deadline,
                   boost::beast::flat_buffer& buf, const http_limits& limits,
                   request_memory* memory);

    /// \returns Nothing when the request is whole.
    awaitable<std::optional<read_failure>> read();

    /// \returns Whether the caller keeps the connection open.
    bool keep_alive() const { return keep_alive_; }

    /// \returns The request, with its memory.
    http_request take();

    /// \brief Frees the memory of an unfinished request.
    void release();

private:
    void take_head();
    awaitable<std::optional<read_failure>> read_parts();
    awaitable<std::optional<read_failure>> read_body();
    awaitable<std::optional<read_failure>> reserve(std::size_t bytes);
    awaitable<std::optional<read_failure>> reserve_body();
    std::optional<read_failure> to_failure(const boost::system::error_code& ec) const;

    connection_stream& stream_;
    socket_deadline& deadline_;
    boost::beast::flat_buffer& buf_;
    http_limits limits_;
    request_memory* memory_;
    process_clock time_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::shared_ptr<request_reservation> reservation_;
    http_request head_; ///< Of the request that is being read, without its body.
    bool keep_alive_ = false;
};

} // namespace endivestage::daemon
