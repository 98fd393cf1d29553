/// \file
/// \brief HTTP/1.1 client on Beast.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

namespace endivestage
{

/// \brief A request in progress on a connection of its own.
///
/// Errors: errc::endpoint_unavailable when the connection could not be made, so that no byte of the
/// request was sent; errc::outcome_unknown when it broke, or the time ran out, after the request
/// may have been sent; errc::cancelled after cancel.
class http_exchange
{
public:
    /// \param executor Executor of the coroutine that uses this object.
    explicit http_exchange(boost::asio::any_io_executor executor);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// \brief Connects; sends nothing.
    awaitable<std::error_code> connect(socket_address address, millis timeout);

    /// \brief Sends the request and reads status and header fields of the answer.
    awaitable<result<http_response>> start(http_request request, millis timeout);

    /// \brief Reads the next part of the body.
    /// \returns An empty string at the end of a complete body.
    awaitable<result<std::string>> read_some(millis timeout);

    /// \brief Closes the connection; pending calls end with errc::cancelled. Must be called on the
    /// executor.
    void cancel();

    /// \returns true when the body was read to its end and the server keeps the connection open.
    bool reusable() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// \brief Sends one request on a new connection and reads the whole answer.
/// \param timeout For each of connecting, the header and each part of the body.
awaitable<result<http_response>> http_call(socket_address address, http_request request,
                                           millis timeout);

} // namespace endivestage
