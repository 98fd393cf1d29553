#include <endivestage/daemon/http_client.hpp>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace
{

/// Sent bytes that stay unacknowledged so long mean that the host or the path is gone.
constexpr millis silence_timeout{10000};
constexpr std::size_t answer_limit_bytes = 64UL * 1024 * 1024;

} // namespace

http_exchange::http_exchange(boost::asio::any_io_executor executor)
    : connection_(std::make_shared<http_connection>(std::move(executor)))
{
}

awaitable<std::error_code> http_exchange::connect(network_address address, millis timeout)
{
    std::shared_ptr<http_connection> kept = connection_;
    const std::error_code ec = co_await kept->connect(std::move(address), timeout, silence_timeout);
    co_return ec;
}

awaitable<result<http_response>> http_exchange::start(http_request request, millis timeout)
{
    std::shared_ptr<http_connection> kept = connection_;
    if (find_field(request.fields, "Host").empty())
    {
        request.fields.emplace_back("Host", "endivestage");
    }
    kept->send(std::move(request));
    result<http_response> head = co_await kept->read_head(timeout);
    co_return head;
}

awaitable<result<std::string>> http_exchange::read_some(millis timeout)
{
    std::shared_ptr<http_connection> kept = connection_;
    result<std::string> part = co_await kept->read_some(timeout);
    co_return part;
}

awaitable<result<http_response>> http_call(network_address address, http_request request,
                                           millis timeout)
{
    http_exchange exchange(co_await boost::asio::this_coro::executor);
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
    result<std::string> body =
        co_await read_body(exchange.connection(), timeout, answer_limit_bytes);
    if (!body)
    {
        co_return body.error();
    }
    response.body = std::move(*body);
    co_return response;
}

} // namespace endivestage::daemon
