#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/internal/connection_writer.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/request_reader.hpp>
#include <endivestage/daemon/socket_deadline.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

std::string error_body(errc code)
{
    return "{\"error\":{\"code\":\"" + std::string(to_string(code)) +
           "\",\"execution\":\"not_run\"}}\n";
}

constexpr std::size_t first_read_bytes = 4096;
/// Time for a caller to read a refusal before its connection is closed with the rest unread.
constexpr std::chrono::milliseconds refusal_time{250};
/// Connections beyond the limit that get a refusal; further ones are closed at once.
constexpr std::size_t max_refused_connections = 32;
/// Retry delay when memory is short. Unfinished requests below the minimum rate are gone by then.
constexpr std::string_view retry_after_short_memory = "0.25";
constexpr millis memory_log_interval{1000};
/// Bytes that the kernel keeps for a connection while the router does not read. They count as the
/// process's memory; by default the kernel keeps up to 6 MB.
constexpr int receive_buffer_bytes = 32768;

/// Why a connection ended.
enum class close_reason
{
    complete,    ///< Its last response was sent and announced the close.
    peer_closed, ///< The caller closed it between two requests.
    idle,        ///< No request arrived within http_limits::idle.
    stopping,    ///< It was idle when the server stopped.
    incomplete,  ///< Its request did not arrive whole, or could not be read.
    aborted,     ///< Its response was cut: the caller or the endpoint failed midway.
    overloaded,  ///< The server had too many connections.
    failed,      ///< An unexpected error, which has been logged.
};

std::string_view to_string(close_reason reason)
{
    switch (reason)
    {
    case close_reason::complete:
        return "complete";
    case close_reason::peer_closed:
        return "peer_closed";
    case close_reason::idle:
        return "idle";
    case close_reason::stopping:
        return "stopping";
    case close_reason::incomplete:
        return "incomplete";
    case close_reason::aborted:
        return "aborted";
    case close_reason::overloaded:
        return "overloaded";
    case close_reason::failed:
        break;
    }
    return "failed";
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::io_context& c, http_limits l, http_handler h, request_memory* m)
        : context(c),
          limits(l),
          handler(std::move(h)),
          memory(m),
          acceptor(asio::make_strand(c))
    {
    }

    /// A connection that waits for a request.
    struct idle_connection
    {
        connection_stream* stream = nullptr;
        asio::steady_timer* timer = nullptr;
        std::optional<time_point> accepted; ///< Set until its first request.
        time_point since;                   ///< When the wait began.
        /// Why the wait ends if the read is cancelled.
        close_reason cancelled = close_reason::stopping;
    };

    void accept();
    void serve_accepted(tcp::socket socket);
    void accept_queued();
    void close_if_idle(std::uint64_t connection);
    void start_idle_timer(std::uint64_t connection, const idle_connection& waiting);
    void check_idle_time(std::uint64_t connection);
    awaitable<std::optional<close_reason>>
    await_request(std::uint64_t connection, idle_connection waiting, beast::flat_buffer& buf);
    static awaitable<void> serve(std::shared_ptr<state> self, connection_stream stream);
    void log_close(connection_stream& stream, close_reason reason, std::uint64_t handled) const;
    awaitable<close_reason> serve_requests(connection_stream& stream, std::uint64_t& handled);
    awaitable<std::optional<close_reason>>
    handle(connection_stream& stream, socket_deadline& deadline, beast::flat_buffer& buf);
    awaitable<void> refuse(connection_stream& stream, int status, errc code) const;
    awaitable<void> refuse_incomplete(connection_stream& stream, const read_failure& failure);
    void log_short_memory(const read_failure& failure);
    bool close_longest_idle();

    asio::io_context& context;
    http_limits limits;
    http_handler handler;
    request_memory* memory;
    time_point memory_logged;
    std::uint64_t unlogged_refusals = 0;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> requests{0};
    std::atomic<bool> accepting{true};
    process_clock time;
    std::atomic<std::uint64_t> last_connection{0};
    std::mutex idle_mutex; ///< Guards idle and limits.
    std::map<std::uint64_t, idle_connection> idle;
};

void http_server::state::accept()
{
    std::shared_ptr<state> self = shared_from_this();
    acceptor.async_accept(asio::make_strand(context),
                          [self](const boost::system::error_code& ec, tcp::socket socket)
                          {
                              if (!ec)
                              {
                                  self->serve_accepted(std::move(socket));
                              }
                              if (self->acceptor.is_open())
                              {
                                  self->accept();
                              }
                          });
}

void http_server::state::serve_accepted(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::any_io_executor executor = socket.get_executor();
    connections.fetch_add(1);
    asio::co_spawn(executor, serve(shared_from_this(), connection_stream(std::move(socket))),
                   asio::detached);
}

// Closing the acceptor resets connections that it has not returned yet, with their requests.
void http_server::state::accept_queued()
{
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        tcp::socket socket(asio::make_strand(context));
        acceptor.accept(socket, ec);
        if (!ec)
        {
            serve_accepted(std::move(socket));
        }
    }
}

// Sends the refusal and reads nothing more: what the caller still sends stays in the kernel until
// the connection is closed.
awaitable<void> http_server::state::refuse(connection_stream& stream, int status, errc code) const
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(status));
    message.set(http::field::content_type, "application/json");
    if (status == 503)
    {
        message.set(http::field::retry_after, retry_after_short_memory);
    }
    message.body() = error_body(code);
    message.keep_alive(false);
    message.prepare_payload();
    boost::system::error_code ec;
    stream.expires_after(std::chrono::seconds(2));
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    // Closing with unread input makes the kernel reset the connection and drop the answer.
    asio::steady_timer delay(stream.get_executor(), refusal_time);
    co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

awaitable<void> http_server::state::refuse_incomplete(connection_stream& stream,
                                                      const read_failure& failure)
{
    if (failure.kind == read_failure::cause::connection)
    {
        co_return;
    }
    if (failure.kind == read_failure::cause::too_large)
    {
        co_await refuse(stream, 413, errc::too_large);
        co_return;
    }
    if (failure.kind == read_failure::cause::malformed ||
        failure.kind == read_failure::cause::unknown_coding)
    {
        const bool unknown = failure.kind == read_failure::cause::unknown_coding;
        log_event(log_level::info, "request_refused",
                  {{"reason", unknown ? "unknown_transfer_coding" : "malformed"}, {"port", port}});
        co_await refuse(stream, unknown ? 501 : 400, errc::invalid_request);
        co_return;
    }
    log_short_memory(failure);
    const bool evicted = failure.kind == read_failure::cause::evicted;
    co_await refuse(stream, evicted ? 408 : 503, errc::overloaded);
}

void http_server::state::log_short_memory(const read_failure& failure)
{
    ++unlogged_refusals;
    const time_point now = time.now();
    if (now - memory_logged < memory_log_interval)
    {
        return;
    }
    memory_logged = now;
    log_event(log_level::warning, "request_memory_short",
              {{"refused", std::exchange(unlogged_refusals, 0)},
               {"evicted", failure.kind == read_failure::cause::evicted},
               {"bytes", memory->in_use()},
               {"capacity", memory->capacity()},
               {"unfinished", memory->unfinished()}});
}

// Returns whether there was one.
bool http_server::state::close_longest_idle()
{
    const std::lock_guard<std::mutex> lock(idle_mutex);
    idle_connection* longest = nullptr;
    for (std::pair<const std::uint64_t, idle_connection>& entry : idle)
    {
        idle_connection& waiting = entry.second;
        if (waiting.cancelled != close_reason::overloaded &&
            (longest == nullptr || waiting.since < longest->since))
        {
            longest = &waiting;
        }
    }
    if (longest == nullptr)
    {
        return false;
    }
    longest->cancelled = close_reason::overloaded;
    connection_stream* stream = longest->stream;
    boost::system::error_code ec;
    stream->socket().cancel(ec);
    return true;
}

// Waits for the first byte, so that a connection without a request can be told from one that is in
// the middle of a request. Returns nothing when a request has begun.
awaitable<std::optional<close_reason>> http_server::state::await_request(std::uint64_t connection,
                                                                         idle_connection waiting,
                                                                         beast::flat_buffer& buf)
{
    if (buf.size() > 0)
    {
        co_return std::nullopt;
    }
    connection_stream& stream = *waiting.stream;
    // Only the idle timer ends the wait: the stream's own would close the socket, with a request
    // that has just arrived.
    stream.expires_never();
    waiting.since = time.now();
    {
        const std::lock_guard<std::mutex> lock(idle_mutex);
        idle[connection] = waiting;
        start_idle_timer(connection, waiting);
    }
    boost::system::error_code ec;
    std::size_t n = co_await stream.async_read_some(buf.prepare(first_read_bytes),
                                                    asio::redirect_error(asio::use_awaitable, ec));
    close_reason cancelled = close_reason::stopping;
    {
        const std::lock_guard<std::mutex> lock(idle_mutex);
        cancelled = idle.at(connection).cancelled;
        idle.erase(connection);
        waiting.timer->cancel();
    }
    boost::system::error_code ignored;
    if (ec == asio::error::operation_aborted && stream.socket().available(ignored) > 0)
    {
        // A request arrived before the read was cancelled.
        n = co_await stream.async_read_some(buf.prepare(first_read_bytes),
                                            asio::redirect_error(asio::use_awaitable, ec));
    }
    buf.commit(n);
    if (ec)
    {
        co_return ec == asio::error::operation_aborted ? cancelled : close_reason::peer_closed;
    }
    co_return std::nullopt;
}

// Returns nothing when the connection may carry another request.
awaitable<std::optional<close_reason>> http_server::state::handle(connection_stream& stream,
                                                                  socket_deadline& deadline,
                                                                  beast::flat_buffer& buf)
{
    const time_point received = time.now();
    http_limits in_force;
    {
        const std::lock_guard<std::mutex> lock(idle_mutex);
        in_force = limits;
    }
    stream.expires_never();
    request_reader reader(stream, deadline, buf, in_force, memory);
    const std::optional<read_failure> failure = co_await reader.read();
    if (failure)
    {
        reader.release();
        co_await refuse_incomplete(stream, *failure);
        co_return close_reason::incomplete;
    }
    const bool keep_alive = reader.keep_alive();
    http_request request = reader.take();
    request.received = received;
    std::shared_ptr<connection_writer> writer =
        std::make_shared<connection_writer>(stream, in_force.write, keep_alive, accepting);
    requests.fetch_add(1);
    bool failed = false;
    try
    {
        co_await handler(std::move(request), *writer);
    }
    catch (const std::exception& failure)
    {
        log_event(log_level::error, "request_failed", {{"reason", failure.what()}});
        failed = true;
    }
    requests.fetch_sub(1);
    writer->stop_watching();
    if (failed)
    {
        writer->abort();
        co_return close_reason::failed;
    }
    if (writer->may_reuse())
    {
        co_return std::nullopt;
    }
    co_return writer->is_complete() ? close_reason::complete : close_reason::aborted;
}

// A close that the caller may take for a lost request is logged, with what was left unread.
void http_server::state::log_close(connection_stream& stream, close_reason reason,
                                   std::uint64_t handled) const
{
    if (reason == close_reason::complete || reason == close_reason::peer_closed)
    {
        return;
    }
    boost::system::error_code ignored;
    log_event(log_level::info, "connection_closed",
              {{"port", port},
               {"reason", to_string(reason)},
               {"handled", handled},
               {"unread_bytes", stream.socket().available(ignored)},
               {"peer", stream.socket().remote_endpoint(ignored).port()}});
}

awaitable<void> http_server::state::serve(std::shared_ptr<state> self, connection_stream stream)
{
    std::uint64_t handled = 0;
    close_reason reason = close_reason::failed;
    try
    {
        reason = co_await self->serve_requests(stream, handled);
    }
    catch (const std::exception& failure)
    {
        // An unexpected error ends this connection only.
        log_event(log_level::error, "connection_failed", {{"reason", failure.what()}});
    }
    self->log_close(stream, reason, handled);
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream.socket().close(ec);
    self->connections.fetch_sub(1);
}

awaitable<close_reason> http_server::state::serve_requests(connection_stream& stream,
                                                           std::uint64_t& handled)
{
    if (connections > limits.connections && !close_longest_idle())
    {
        if (connections <= limits.connections + max_refused_connections)
        {
            co_await refuse(stream, 503, errc::overloaded);
        }
        co_return close_reason::overloaded;
    }
    const std::uint64_t connection = last_connection.fetch_add(1) + 1;
    asio::steady_timer idle_timer(stream.get_executor());
    socket_deadline deadline(stream.socket());
    idle_connection waiting;
    waiting.stream = &stream;
    waiting.timer = &idle_timer;
    waiting.accepted = time.now();
    beast::flat_buffer buf(first_read_bytes);
    for (;;)
    {
        std::optional<close_reason> end = co_await await_request(connection, waiting, buf);
        if (!end)
        {
            end = co_await handle(stream, deadline, buf);
            ++handled;
        }
        if (end)
        {
            co_return *end;
        }
        waiting.accepted.reset();
    }
}

http_server::http_server(asio::io_context& context, http_limits limits, http_handler handler,
                         request_memory* memory)
    : state_(std::make_shared<state>(context, limits, std::move(handler), memory))
{
}

http_server::~http_server()
{
    stop_accepting();
}

std::error_code http_server::listen(const network_address& address)
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, ec), address.port);
    if (ec)
    {
        return make_error_code(errc::invalid_settings);
    }
    state_->acceptor.open(endpoint.protocol(), ec);
    if (!ec)
    {
        state_->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec && state_->memory != nullptr)
    {
        // Accepted sockets inherit it; set later, the first window would be larger.
        state_->acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes),
                                    ec);
    }
    if (!ec)
    {
        state_->acceptor.bind(endpoint, ec);
    }
    if (!ec)
    {
        state_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return {ec.value(), std::system_category()};
    }
    state_->port = state_->acceptor.local_endpoint().port();
    state_->accept();
    return {};
}

std::uint16_t http_server::port() const
{
    return state_->port;
}

void http_server::stop_accepting()
{
    announce_close();
    std::shared_ptr<state> self = state_;
    asio::post(self->acceptor.get_executor(),
               [self]
               {
                   if (self->acceptor.is_open())
                   {
                       self->accept_queued();
                       boost::system::error_code ec;
                       self->acceptor.close(ec);
                   }
               });
}

void http_server::set_limits(http_limits limits)
{
    const std::lock_guard<std::mutex> lock(state_->idle_mutex);
    state_->limits = limits;
}

void http_server::announce_close()
{
    state_->accepting = false;
}

void http_server::close_idle()
{
    std::shared_ptr<state> self = state_;
    const std::lock_guard<std::mutex> lock(self->idle_mutex);
    const time_point now = self->time.now();
    for (const std::pair<const std::uint64_t, state::idle_connection>& entry : self->idle)
    {
        const std::optional<time_point> accepted = entry.second.accepted;
        if (accepted && now - *accepted < self->limits.first_request)
        {
            continue;
        }
        // A request may begin before the strand gets to this: it looks again there.
        const std::uint64_t connection = entry.first;
        asio::post(entry.second.stream->get_executor(),
                   [self, connection] { self->close_if_idle(connection); });
    }
}

// Cancels the read instead of closing the socket: a read that has its bytes already completes, and
// its request is served.
void http_server::state::close_if_idle(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(idle_mutex);
    const auto it = idle.find(connection);
    if (it != idle.end())
    {
        boost::system::error_code ec;
        it->second.stream->socket().cancel(ec);
    }
}

// Called with idle_mutex held, on the connection's strand.
void http_server::state::start_idle_timer(std::uint64_t connection, const idle_connection& waiting)
{
    const millis left = waiting.since + limits.idle - time.now();
    waiting.timer->expires_after(std::chrono::milliseconds(left.count));
    waiting.timer->async_wait(
        [self = shared_from_this(), connection](const boost::system::error_code& ec)
        {
            if (!ec)
            {
                self->check_idle_time(connection);
            }
        });
}

// The limit may have been raised since the timer was started. Callers follow the new limit, so the
// connection is kept for the rest of it.
void http_server::state::check_idle_time(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(idle_mutex);
    const auto it = idle.find(connection);
    if (it == idle.end())
    {
        return;
    }
    idle_connection& waiting = it->second;
    if (time.now() < waiting.since + limits.idle)
    {
        start_idle_timer(connection, waiting);
        return;
    }
    waiting.cancelled = close_reason::idle;
    boost::system::error_code ec;
    waiting.stream->socket().cancel(ec);
}

std::size_t http_server::active_requests() const
{
    return state_->requests;
}

std::size_t http_server::open_connections() const
{
    return state_->connections;
}

} // namespace endivestage::daemon
