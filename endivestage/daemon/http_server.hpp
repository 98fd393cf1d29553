/// \file
/// \brief HTTP/1.1 server on Beast with bounded headers, bodies and connections.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace endivestage::daemon
{

/// \brief The answer to one request: either one complete message or a stream of chunks.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// \brief Sends a complete answer.
    /// \returns An error when the caller has left.
    virtual awaitable<std::error_code> send(http_response response) = 0;

    /// \brief Starts a chunked answer; status and fields of \p head are sent, its body is ignored.
    virtual awaitable<std::error_code> begin(http_response head) = 0;

    /// \brief Sends one chunk and waits until the socket has taken it, which slows the sender down
    /// to the speed of the caller.
    virtual awaitable<std::error_code> write(std::string_view chunk) = 0;

    /// \brief Ends a chunked answer.
    virtual awaitable<std::error_code> end() = 0;

    /// \brief Closes the connection without a valid end, so that the caller sees a cut answer.
    virtual void abort() = 0;

    /// \brief Sets a function that is called at most once when the caller closes its connection
    /// before the answer is complete. Called on the connection's strand, and before this function
    /// returns if the caller has left already.
    virtual void on_caller_left(std::function<void()> callback) = 0;
};

/// \brief Handles one request; must call send, or begin and end, or abort.
using http_handler = std::function<awaitable<void>(http_request, response_writer&)>;

/// \brief Limits of a server. Requests beyond them get a typed error and the connection is closed.
struct http_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    /// Beyond it, idle connections are closed, the one that is idle the longest first; without any,
    /// new connections are refused.
    std::size_t connections = 20000;
    millis idle{75000};    ///< Time for the first byte of a request to arrive.
    millis request{75000}; ///< Time from its first byte for a complete request to arrive.
    millis write{30000};   ///< Time for a caller to take one chunk.
    /// Time for the first request of a new connection to arrive while the server stops.
    millis first_request{1000};
};

/// \brief Accepts connections and runs the handler on each request.
///
/// Each connection has a strand of its own; the io_context may be run by several threads.
class http_server
{
public:
    /// \param memory Budget for the requests; must outlive the server, whose io_context must then
    /// be run by one thread. Null for no budget.
    http_server(boost::asio::io_context& context, http_limits limits, http_handler handler,
                request_memory* memory = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// \brief Binds and starts accepting.
    /// \param address Port 0 takes any free port.
    std::error_code listen(const network_address& address);

    /// \returns The bound port.
    std::uint16_t port() const;

    /// \brief Stops accepting; open connections finish their present request and are then closed.
    /// Connections that the kernel has accepted already are served.
    void stop_accepting();

    /// \brief Replaces the limits for requests that arrive from now on. Connections that wait for a
    /// request follow a raised \ref http_limits::idle; a lowered one applies from their next wait.
    void set_limits(http_limits limits);

    /// \brief Answers from now on ask callers to close their connections.
    void announce_close();

    /// \brief Closes connections on which no request has arrived. A new connection is kept for
    /// \ref http_limits::first_request, so call this repeatedly until none is open.
    void close_idle();

    /// \returns The number of requests being handled.
    std::size_t active_requests() const;

    /// \returns The number of open connections, with or without a request.
    std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace endivestage::daemon
