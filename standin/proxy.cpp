#include "standin.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <memory>
#include <set>
#include <utility>

namespace endivestage::standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace
{

struct relay
{
    explicit relay(tcp::socket a) : near(std::move(a)), far(near.get_executor()) {}

    tcp::socket near;
    tcp::socket far;
    bool silent = false;
};

/// Forwards TCP connections; can cut the open ones, silence them for good, or refuse new ones.
class proxy
{
public:
    proxy(asio::io_context& context, proxy_options options)
        : context_(context),
          options_(std::move(options)),
          acceptor_(context, tcp::endpoint(asio::ip::make_address(options_.listen.host),
                                           options_.listen.port))
    {
    }

    awaitable<void> accept()
    {
        for (;;)
        {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            if (refuse_)
            {
                continue;
            }
            std::shared_ptr<relay> connection = std::make_shared<relay>(std::move(socket));
            relays_.insert(connection);
            asio::co_spawn(context_, open(connection), asio::detached);
        }
    }

    http_response control(const http_request& request)
    {
        const json::object body = parse_object(request.body);
        const std::string mode = text_or_empty(body, "mode");
        refuse_ = mode == "refuse";
        for (const std::shared_ptr<relay>& connection : relays_)
        {
            connection->silent = connection->silent || mode == "silent";
            if (mode == "cut" || mode == "refuse")
            {
                boost::system::error_code ec;
                connection->near.close(ec);
                connection->far.close(ec);
            }
        }
        return json_response(json::object{{"connections", relays_.size()}});
    }

private:
    awaitable<void> open(std::shared_ptr<relay> connection)
    {
        boost::system::error_code ec;
        co_await connection->far.async_connect(
            tcp::endpoint(asio::ip::make_address(options_.target.host), options_.target.port),
            asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
        {
            asio::co_spawn(context_, pump(connection, connection->near, connection->far),
                           asio::detached);
            co_await pump(connection, connection->far, connection->near);
        }
        relays_.erase(connection);
    }

    static awaitable<void> pump(std::shared_ptr<relay> connection, tcp::socket& from,
                                tcp::socket& to)
    {
        std::array<char, 16384> buf{};
        boost::system::error_code ec;
        while (!ec)
        {
            const std::size_t n = co_await from.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (!ec && !connection->silent)
            {
                co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                           asio::redirect_error(asio::use_awaitable, ec));
            }
        }
        if (!connection->silent)
        {
            connection->near.close(ec);
            connection->far.close(ec);
        }
    }

    asio::io_context& context_;
    proxy_options options_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<relay>> relays_;
    bool refuse_ = false;
};

} // namespace

int run_proxy(const proxy_options& options)
{
    asio::io_context context(1);
    proxy instance(context, options);
    asio::co_spawn(context, instance.accept(), asio::detached);
    http_server server(context, {},
                       [&instance](http_request request, response_writer& writer) -> awaitable<void>
                       { co_await writer.send(instance.control(request)); });
    return serve(context, server, options.control);
}

} // namespace endivestage::standin
