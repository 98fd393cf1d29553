#include <endivestage/daemon/http_client.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
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

constexpr std::size_t read_buffer_bytes = 16384;
constexpr std::uint64_t answer_limit_bytes = 64ULL * 1024 * 1024;

std::chrono::milliseconds to_chrono(millis d)
{
    return std::chrono::milliseconds(d.count);
}

} // namespace

struct http_exchange::state
{
    explicit state(asio::any_io_executor executor) : stream(std::move(executor)) {}

    std::error_code failure() const
    {
        return cancelled ? make_error_code(errc::cancelled)
                         : make_error_code(errc::outcome_unknown);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    std::optional<http::response_parser<http::buffer_body>> parser;
    /// Kept between reads: filling a new buffer with zeros took half of a token event's
    /// instructions.
    std::unique_ptr<char[]> body =
        std::make_unique_for_overwrite<char[]>(read_buffer_bytes); // NOLINT(*-avoid-c-arrays)
    bool cancelled = false;
};

http_exchange::http_exchange(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor)))
{
}

http_exchange::~http_exchange() = default;

awaitable<std::error_code> http_exchange::connect(network_address address, millis timeout)
{
    std::shared_ptr<state> self = state_;
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(address.host, ec);
    if (!ec)
    {
        self->stream.expires_after(to_chrono(timeout));
        co_await self->stream.async_connect(tcp::endpoint(ip, address.port),
                                            asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec)
    {
        co_return self->cancelled ? make_error_code(errc::cancelled)
                                  : make_error_code(errc::endpoint_unavailable);
    }
    self->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return std::error_code{};
}

awaitable<result<http_response>> http_exchange::start(http_request request, millis timeout)
{
    std::shared_ptr<state> self = state_;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, "endivestage");
    for (const std::pair<std::string, std::string>& field : request.fields)
    {
        message.set(field.first, field.second);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    boost::system::error_code ec;
    self->stream.expires_after(to_chrono(timeout));
    co_await http::async_write(self->stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        self->parser.emplace();
        self->parser->body_limit(answer_limit_bytes);
        co_await http::async_read_header(self->stream, self->buf, *self->parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec)
    {
        co_return self->failure();
    }
    http_response head;
    head.status = static_cast<int>(self->parser->get().result_int());
    for (const auto& field : self->parser->get())
    {
        head.fields.emplace_back(field.name_string(), field.value());
    }
    co_return head;
}

awaitable<result<std::string>> http_exchange::read_some(millis timeout)
{
    std::shared_ptr<state> self = state_;
    std::string data;
    while (data.empty() && !self->parser->is_done())
    {
        self->parser->get().body().data = self->body.get();
        self->parser->get().body().size = read_buffer_bytes;
        boost::system::error_code ec;
        self->stream.expires_after(to_chrono(timeout));
        co_await http::async_read_some(self->stream, self->buf, *self->parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec && ec != http::error::need_buffer)
        {
            co_return self->failure();
        }
        data.assign(self->body.get(), read_buffer_bytes - self->parser->get().body().size);
    }
    co_return data;
}

void http_exchange::cancel()
{
    state_->cancelled = true;
    boost::system::error_code ec;
    state_->stream.socket().close(ec);
}

bool http_exchange::reusable() const
{
    return !state_->cancelled && state_->parser && state_->parser->is_done() &&
           state_->parser->get().keep_alive();
}

awaitable<result<http_response>> http_call(network_address address, http_request request,
                                           millis timeout)
{
    http_exchange exchange(co_await asio::this_coro::executor);
    std::error_code ec = co_await exchange.connect(std::move(address), timeout);
    if (ec)
    {
        co_return ec;
    }
    result<http_response> head = co_await exchange.start(std::move(request), timeout);
    if (!head)
    {
        co_return head.error();
    }
    http_response response = std::move(*head);
    for (;;)
    {
        result<std::string> part = co_await exchange.read_some(timeout);
        if (!part)
        {
            co_return part.error();
        }
        if (part->empty())
        {
            co_return response;
        }
        response.body += *part;
    }
}

} // namespace endivestage::daemon
