/// \file
/// \brief Calls between routers: cleartext HTTP/2 with prior knowledge, one session per peer.
///
/// Every request is a POST with the headers `es-from` (id of the sending router) and `es-auth`
/// (signature, see request_signer). Calls may be delivered and then fail at the caller; therefore
/// their content must make them idempotent.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/daemon/network_address.hpp>
#include <endivestage/daemon/signing.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace endivestage::daemon
{

/// \brief Address of a peer's server.
using peer_address = network_address;

/// \brief Receives the body of an answer with status 200, or the error.
using peer_callback = std::function<void(result<std::string>)>;

/// \brief Calls to other routers.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    /// \brief Sends one call.
    /// \param path Starts with "/".
    /// \param timeout From now to the whole answer; positive.
    /// \param done Called exactly once, from another call stack, while the io_context runs. Must
    /// not block. Errors:
    ///  - peer_unavailable: no connection, or it broke; the call may have been received
    ///  - deadline_exceeded: no whole answer within \p timeout; the call may have been received
    ///  - overloaded: too many calls are waiting for this peer, or the peer says so
    ///  - too_large: the body or the answer exceeds the limit
    ///  - invalid_request: the host is no IP literal, or the peer says so
    ///  - unauthorized, not_found, conflict, internal: the peer's answer
    ///  - shutting_down: the channel was stopped
    virtual void call(const peer_address& to, std::string path, std::string body, millis timeout,
                      peer_callback done) = 0;

protected:
    peer_channel() = default;
    peer_channel(const peer_channel&) = default;
    peer_channel& operator=(const peer_channel&) = default;
};

/// \brief Coroutine form of peer_channel::call.
/// \param channel Must outlive the call.
boost::asio::awaitable<result<std::string>> call_peer(peer_channel& channel, peer_address to,
                                                      std::string path, std::string body,
                                                      millis timeout);

/// \brief A verified request.
struct peer_request
{
    router_id from;
    std::string path;
    std::string body;
};

/// \brief Sends the answer. May be called from any thread; only the first call counts.
using peer_reply = std::function<void(int status, std::string body)>;

/// \brief Handles one request; called on the session's strand, so it must not block.
using peer_handler = std::function<void(peer_request, peer_reply)>;

/// \brief Answer of a handler that is a coroutine.
struct peer_answer
{
    int status = 200;
    std::string body;
};

/// \returns A handler that runs \p handler as a coroutine on \p executor. An exception that leaves
/// it gives status 500.
peer_handler
make_coroutine_handler(boost::asio::any_io_executor executor,
                       std::function<boost::asio::awaitable<peer_answer>(peer_request)> handler);

/// \brief Why a session ended.
enum class peer_fault
{
    none = 0,         ///< Closed in order: idle, stopped, or by the peer.
    connect_failed,   ///< No connection within the limit.
    connection_lost,  ///< Read or write error, or end of stream with calls open.
    malformed_frame,  ///< The peer broke HTTP/2.
    header_too_large, ///< Header fields above the limit.
    body_too_large,   ///< Body above the limit.
    too_many_streams, ///< More concurrent streams than offered.
    buffer_full,      ///< Requests being received exceed the server's memory limit.
    too_many_sessions,
    request_too_slow, ///< A request was not complete within the limit.
    silent,           ///< No answer to a ping while a new connection worked.
    internal_error,   ///< Out of memory or an unexpected failure in this process.
};

/// \returns The stable snake_case name of a fault.
std::string_view to_string(peer_fault fault);

/// \returns An error code of the category "endivestage.peer" whose message is the fault's name.
std::error_code make_error_code(peer_fault fault);

/// \brief Told the address of the peer and a peer_fault when a session ends with a fault. Called on
/// the session's strand.
using peer_fault_observer = std::function<void(const std::string& peer, std::error_code)>;

/// \brief Totals since start, over all sessions.
struct peer_traffic
{
    std::uint64_t bytes_sent = 0; ///< Without TCP and IP headers.
    std::uint64_t bytes_received = 0;
    std::uint64_t calls = 0;
    std::uint64_t refused = 0; ///< Calls with a wrong signature; counted by the server.
    std::uint64_t sessions_opened = 0;
    std::uint64_t sessions_open = 0; ///< At present.
};

/// \brief Limits and address of a peer_server.
struct peer_server_options
{
    network_address listen; ///< Port 0 lets the system choose.
    /// Host under which peers reach this server if it differs from the listening address.
    std::string advertised_host;
    std::size_t max_body_bytes = 1U << 20U;
    std::size_t max_header_bytes = 8192; ///< Sum of names and values of a request.
    std::uint32_t max_streams = 256;     ///< Concurrent streams of one session.
    std::size_t max_sessions = 2048;
    /// Bound on the bodies of all requests not yet verified, because they are held before the
    /// signature over the body can be checked.
    std::size_t max_buffered_bytes = 64U << 20U;
    millis idle_timeout{90000};    ///< Above the client's, so that the client closes first.
    millis request_timeout{10000}; ///< From the first header to the end of the request body.
    peer_fault_observer on_fault;
};

/// \brief Accepts sessions of other routers.
///
/// May be served by several threads of the io_context; each session has a strand of its own.
class peer_server
{
public:
    /// \param time Must outlive the io_context's run.
    peer_server(boost::asio::io_context& context, peer_server_options options,
                std::shared_ptr<const key_ring> keys, const clock& time, peer_handler handler);
    /// \brief Stops the server.
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// \brief Binds and listens.
    std::error_code start();

    /// \returns The listening port; 0 before start.
    std::uint16_t port() const;

    /// \brief Closes the listening socket and all sessions. The handler may still be running on
    /// another thread when this returns.
    void stop();

    peer_traffic traffic() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// \brief Limits of a peer_client_pool.
struct peer_client_options
{
    router_id self;
    millis idle_timeout{30000};
    millis connect_timeout{1000};
    /// Time without any byte received after something was sent until the session is pinged. Equal
    /// to the probe timeout, so that a silent session is found as fast as a silent router.
    millis stall_timeout{300};
    /// Time until a ping counts as unanswered and a second connection is tried.
    millis ping_timeout{300};
    std::size_t max_body_bytes = 1U << 20U;
    std::size_t max_header_bytes = 8192;
    std::uint32_t max_streams = 256;      ///< Concurrent streams; further calls wait.
    std::size_t max_waiting_calls = 8192; ///< Per peer, running ones included.
    peer_fault_observer on_fault;
};

/// \brief Keeps at most one session per peer: opened on demand, closed when idle, opened again by
/// the first call after an error.
class peer_client_pool final : public peer_channel
{
public:
    /// \param time Must outlive the io_context's run.
    peer_client_pool(boost::asio::io_context& context, peer_client_options options,
                     std::shared_ptr<const key_ring> keys, const clock& time);
    /// \brief Stops the pool.
    ~peer_client_pool() override;
    peer_client_pool(const peer_client_pool&) = delete;
    peer_client_pool& operator=(const peer_client_pool&) = delete;

    void call(const peer_address& to, std::string path, std::string body, millis timeout,
              peer_callback done) override;

    /// \brief Closes all sessions; open calls end with errc::shutting_down.
    void stop();

    peer_traffic traffic() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace endivestage::daemon

template <>
struct std::is_error_code_enum<endivestage::daemon::peer_fault> : std::true_type
{
};
