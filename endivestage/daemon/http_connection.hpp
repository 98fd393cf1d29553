/// \file
/// \brief A client connection that carries several HTTP/1.1 exchanges, one after another.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace endivestage::daemon
{

/// Reads after a deadline. They collect what arrived before it while the event loop was late; the
/// limit ends a body whose bytes never end.
inline constexpr int max_late_reads = 64;

/// \brief A connection to one server.
///
/// Errors: errc::endpoint_unavailable when no connection could be made, so that nothing was sent;
/// errc::outcome_unknown when it broke, or the time ran out, after a request may have been sent;
/// errc::cancelled after \ref close. Not thread-safe; all calls run on the executor.
class http_connection
{
public:
    /// \param executor Executor of the coroutines that use this object.
    explicit http_connection(boost::asio::any_io_executor executor);
    /// \brief Closes the connection.
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// \brief Connects; sends nothing.
    /// \param silence The connection is given up when sent bytes stay unacknowledged for so long.
    awaitable<std::error_code> connect(network_address address, millis timeout, millis silence);

    /// \returns Whether the last \ref connect failed because the host refused the connection.
    bool refused() const;

    /// \brief Begins to send a request and returns at once. An answer may be read while the body is
    /// still being sent, since a server may refuse a request before it has read it all.
    void send(http_request request);

    /// \brief The same with a body that is shared instead of copied; that of \p request is ignored.
    /// \param body Kept until it was sent.
    void send(http_request request, std::shared_ptr<const std::string> body);

    /// \brief Reads status and fields of the next final answer; interim ones are skipped. An answer
    /// whose status is not defined by HTTP, or whose end cannot be determined, breaks the
    /// connection.
    awaitable<result<http_response>> read_head(millis timeout);

    /// \brief Reads the next part of the answer's body.
    /// \param timeout Without any time left, reads what has arrived already.
    /// \returns An empty string at the end of a complete body.
    awaitable<result<std::string>> read_some(millis timeout);

    /// \returns true when another request may be sent: the last one was sent whole, its answer was
    /// read to the end, nothing follows it and the server keeps the connection open.
    bool reusable() const;

    /// \returns false when the server has closed the idle connection or sent bytes that no request
    /// asked for.
    bool quiet();

    /// \brief Ends pending calls with errc::cancelled.
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// \brief Reads an answer's body to its end.
/// \param timeout For the whole body, however many parts it comes in. A body that has arrived by
/// then is read to its end.
/// \param most Larger bodies give errc::too_large.
awaitable<result<std::string>> read_body(http_connection& connection, millis timeout,
                                         std::size_t most);

/// \brief The same, with a limit that may depend on other bodies.
/// \param may_hold Called with the size of the body so far; false gives errc::too_large.
awaitable<result<std::string>> read_body(http_connection& connection, millis timeout,
                                         std::function<bool(std::size_t)> may_hold);

} // namespace endivestage::daemon
