#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/message_framing.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/sleep.hpp>
#include <endivestage/daemon/socket_deadline.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
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

using outgoing_request = http::request<http::span_body<const char>>;

constexpr std::size_t read_buffer_bytes = 16384;
constexpr std::uint64_t answer_limit_bytes = 64ULL * 1024 * 1024;
/// Received bytes that are not parsed yet. Beast limits heads but not the extensions of chunks.
constexpr std::size_t receive_buffer_bytes = 256UL * 1024;
/// A write on a connection that was reset fails at once. One that is still pending after this time
/// waits for a peer that has closed its side in order and does not read.
constexpr millis pending_write_wait{50};
constexpr millis pending_write_check_interval{1};
constexpr int max_status = 599;
constexpr int switching_protocols = 101;
constexpr int max_interim_answers = 16; ///< Before one final answer.

/// \returns Whether another answer to the same request follows. This client asks for no other
/// protocol, so an answer that switches to one is not expected.
bool is_interim(int status)
{
    return status >= 100 && status < 200 && status != switching_protocols;
}

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_alive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

struct http_connection::state
{
    explicit state(asio::any_io_executor executor) : stream(std::move(executor)) {}

    std::error_code failure() const
    {
        return closed ? make_error_code(errc::cancelled) : make_error_code(errc::outcome_unknown);
    }

    static awaitable<void> write(std::shared_ptr<state> self,
                                 std::shared_ptr<outgoing_request> message,
                                 std::shared_ptr<const std::string> body);

    /// Reads the head of the next answer, which may be an interim one.
    static awaitable<std::error_code> parse_head(std::shared_ptr<state> self, millis timeout);

    /// To be called at the end of the stream of bytes.
    /// \returns Whether the server has closed its side in order. The kernel reports a reset once:
    /// if a write gets it, the next read sees the end of the stream instead.
    static awaitable<bool> closed_in_order(std::shared_ptr<state> self);

    /// Closes the connection when its time is over; \ref deadline has cancelled its operation.
    void close_if_timed_out(const boost::system::error_code& ec)
    {
        deadline.stop();
        if (ec == asio::error::operation_aborted)
        {
            boost::system::error_code ignored;
            stream.socket().close(ignored);
        }
    }

    beast::tcp_stream stream; ///< Its own timers are not used.
    socket_deadline deadline{stream.socket()};
    beast::flat_buffer buf{receive_buffer_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser;
    /// Kept between reads: filling a new buffer with zeros took half of a token event's
    /// instructions.
    std::unique_ptr<char[]> body =                                 // NOLINT(*-avoid-c-arrays)
        std::make_unique_for_overwrite<char[]>(read_buffer_bytes); // NOLINT(*-avoid-c-arrays)
    bool sending = false;
    boost::system::error_code send_error;
    bool end_confirmed = false; ///< Of a body that ends with the connection.
    bool closed = false;
    bool refused = false;
};

http_connection::http_connection(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor)))
{
}

http_connection::~http_connection()
{
    close();
}

awaitable<std::error_code> http_connection::connect(network_address address, millis timeout,
                                                    millis silence)
{
    std::shared_ptr<state> self = state_;
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(address.host, ec);
    if (!ec)
    {
        self->stream.socket().open(ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
    }
    if (!ec)
    {
        boost::system::error_code ignored;
        self->stream.socket().set_option(user_timeout(static_cast<int>(silence.count)), ignored);
        self->stream.socket().set_option(tcp::no_delay(true), ignored);
        self->deadline.start(timeout, socket_deadline::direction::write);
        co_await self->stream.async_connect(tcp::endpoint(ip, address.port),
                                            asio::redirect_error(asio::use_awaitable, ec));
        self->close_if_timed_out(ec);
    }
    self->refused = ec == asio::error::connection_refused;
    if (ec)
    {
        co_return self->closed ? make_error_code(errc::cancelled)
                               : make_error_code(errc::endpoint_unavailable);
    }
    // An answer may take long without any byte: probes tell a busy server from a silent link.
    boost::system::error_code ignored;
    self->stream.socket().set_option(asio::socket_base::keep_alive(true), ignored);
    self->stream.socket().set_option(keep_alive_idle(1), ignored);
    self->stream.socket().set_option(keep_alive_interval(1), ignored);
    self->stream.socket().set_option(keep_alive_count(2), ignored);
    co_return std::error_code{};
}

bool http_connection::refused() const
{
    return state_->refused;
}

awaitable<void> http_connection::state::write(std::shared_ptr<state> self,
                                              std::shared_ptr<outgoing_request> message,
                                              std::shared_ptr<const std::string> body)
{
    boost::system::error_code ec;
    co_await http::async_write(self->stream, *message,
                               asio::redirect_error(asio::use_awaitable, ec));
    // The coroutine's frame may outlive the connection's use.
    body.reset();
    self->sending = false;
    self->send_error = ec;
}

awaitable<bool> http_connection::state::closed_in_order(std::shared_ptr<state> self)
{
    for (millis waited{0}; self->sending && waited < pending_write_wait;
         waited = waited + pending_write_check_interval)
    {
        co_await sleep_for(pending_write_check_interval);
    }
    // A broken pipe tells of a reset after the server's orderly close.
    co_return !self->closed && (!self->send_error || self->send_error == asio::error::broken_pipe);
}

void http_connection::send(http_request request)
{
    std::shared_ptr<const std::string> body =
        std::make_shared<const std::string>(std::move(request.body));
    send(std::move(request), std::move(body));
}

void http_connection::send(http_request request, std::shared_ptr<const std::string> body)
{
    std::shared_ptr<outgoing_request> message = std::make_shared<outgoing_request>();
    message->version(11);
    message->method_string(request.method);
    message->target(request.target);
    for (const std::pair<std::string, std::string>& field : request.fields)
    {
        message->insert(field.first, field.second);
    }
    const bool has_body = !body->empty() || request.method == "POST" || request.method == "PUT";
    message->body() = beast::span<const char>(body->data(), body->size());
    if (has_body)
    {
        message->content_length(body->size());
    }
    state_->sending = true;
    state_->send_error = {};
    asio::co_spawn(state_->stream.get_executor(),
                   state::write(state_, std::move(message), std::move(body)), asio::detached);
}

awaitable<std::error_code> http_connection::state::parse_head(std::shared_ptr<state> self,
                                                              millis timeout)
{
    self->parser.emplace();
    self->parser->body_limit(answer_limit_bytes);
    self->end_confirmed = false;
    boost::system::error_code ec;
    self->deadline.start(timeout, socket_deadline::direction::read);
    co_await http::async_read_header(self->stream, self->buf, *self->parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    self->close_if_timed_out(ec);
    co_return ec ? self->failure() : std::error_code{};
}

awaitable<result<http_response>> http_connection::read_head(millis timeout)
{
    std::shared_ptr<state> self = state_;
    const process_clock time;
    const time_point deadline = time.now() + timeout;
    http_response head;
    for (int skipped = 0; skipped <= max_interim_answers; ++skipped)
    {
        const std::error_code ec = co_await state::parse_head(self, deadline - time.now());
        if (ec)
        {
            co_return ec;
        }
        head.status = static_cast<int>(self->parser->get().result_int());
        if (!is_interim(head.status))
        {
            break;
        }
    }
    for (const auto& field : self->parser->get())
    {
        head.fields.emplace_back(field.name_string(), field.value());
    }
    const bool final_status = head.status >= 200 && head.status <= max_status;
    if (!final_status ||
        check_framing(head.fields, self->parser->get().version() % 10) != message_framing::valid)
    {
        log_event(log_level::warning, "answer_malformed", {{"status", head.status}});
        // What follows cannot be told from the next response.
        boost::system::error_code ignored;
        self->stream.socket().close(ignored);
        co_return make_error_code(errc::outcome_unknown);
    }
    co_return head;
}

awaitable<result<std::string>> http_connection::read_some(millis timeout)
{
    std::shared_ptr<state> self = state_;
    std::string data;
    while (data.empty() && !self->parser->is_done())
    {
        self->parser->get().body().data = self->body.get();
        self->parser->get().body().size = read_buffer_bytes;
        boost::system::error_code ec;
        self->deadline.start(timeout, socket_deadline::direction::read);
        co_await http::async_read_some(self->stream, self->buf, *self->parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        self->close_if_timed_out(ec);
        if (ec == http::error::end_of_stream)
        {
            // The end of a body without a length.
            boost::system::error_code finish;
            self->parser->put_eof(finish);
            ec = finish;
        }
        if (ec && ec != http::error::need_buffer)
        {
            co_return self->failure();
        }
        data.assign(self->body.get(), read_buffer_bytes - self->parser->get().body().size);
    }
    if (data.empty() && self->parser->need_eof() && !self->end_confirmed)
    {
        self->end_confirmed = co_await state::closed_in_order(self);
        if (!self->end_confirmed)
        {
            co_return self->failure();
        }
    }
    co_return data;
}

bool http_connection::reusable() const
{
    return !state_->closed && !state_->sending && !state_->send_error && state_->parser &&
           state_->parser->is_done() && state_->parser->get().keep_alive() &&
           !state_->parser->get().need_eof() && state_->buf.size() == 0;
}

bool http_connection::quiet()
{
    if (state_->closed || state_->buf.size() > 0)
    {
        return false;
    }
    char byte = 0;
    boost::system::error_code ec;
    state_->stream.socket().non_blocking(true, ec);
    state_->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

void http_connection::close()
{
    state_->closed = true;
    boost::system::error_code ec;
    state_->stream.socket().close(ec);
}

awaitable<result<std::string>> read_body(http_connection& connection, millis timeout,
                                         std::size_t most)
{
    std::function<bool(std::size_t)> may_hold = [most](std::size_t size)
    {
        return size <= most;
    };
    co_return co_await read_body(connection, timeout, std::move(may_hold));
}

awaitable<result<std::string>> read_body(http_connection& connection, millis timeout,
                                         std::function<bool(std::size_t)> may_hold)
{
    const process_clock time;
    const time_point deadline = time.now() + timeout;
    std::string body;
    int late_reads = 0;
    for (;;)
    {
        const millis left = deadline - time.now();
        const bool late = left <= millis{0};
        if (late && ++late_reads > max_late_reads)
        {
            co_return make_error_code(errc::deadline_exceeded);
        }
        result<std::string> part = co_await connection.read_some(left);
        if (!part)
        {
            co_return late&& part.error() == errc::outcome_unknown
                ? make_error_code(errc::deadline_exceeded)
                : part.error();
        }
        if (part->empty())
        {
            co_return body;
        }
        if (!may_hold(body.size() + part->size()))
        {
            co_return make_error_code(errc::too_large);
        }
        body += *part;
    }
}

} // namespace endivestage::daemon
