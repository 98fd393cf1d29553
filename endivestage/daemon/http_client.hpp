/// \file
/// \brief One HTTP/1.1 request on a connection of its own.
#pragma once

#include <endivestage/daemon/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

namespace endivestage::daemon
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
    ~http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// \brief Connects; sends nothing.
    awaitable<std::error_code> connect(network_address address, millis timeout);

    /// \brief Sends the request and reads status and header fields of the answer.
    awaitable<result<http_response>> start(http_request request, millis timeout);

    /// \brief Reads the next part of the body.
    /// \returns An empty string at the end of a complete body.
    awaitable<result<std::string>> read_some(millis timeout);

    /// \brief Closes the connection; pending calls end with errc::cancelled. Must be called on the
    /// executor.
    void cancel() { connection_->close(); }

    /// \returns true when the body was read to its end and the server keeps the connection open.
    bool reusable() const { return connection_->reusable(); }

    http_connection& connection() { return *connection_; }

private:
    std::shared_ptr<http_connection> connection_; ///< Kept by pending calls.
};

/// \brief Sends one request on a new connection and reads the whole answer.
/// \param timeout For each of connecting, the header and each part of the body.
awaitable<result<http_response>> http_call(network_address address, http_request request,
                                           millis timeout);

} // namespace endivestage::daemon
