#include <standin/fault_proxy.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace endivestage::standin
{

namespace asio = boost::asio;
using daemon::awaitable;
using tcp = asio::ip::tcp;

struct fault_proxy::link
{
    explicit link(tcp::socket a) : near(std::move(a)), far(near.get_executor()) {}

    void close()
    {
        boost::system::error_code ec;
        near.close(ec);
        far.close(ec);
    }

    tcp::socket near;
    tcp::socket far;
    bool drop_to_server = false;
    bool drop_to_client = false;
};

std::string_view to_string(link_fault fault)
{
    switch (fault)
    {
    case link_fault::none:
        return "none";
    case link_fault::refuse:
        return "refuse";
    case link_fault::silent:
        return "silent";
    case link_fault::one_way:
        return "one_way";
    case link_fault::delayed:
        break;
    }
    return "delayed";
}

fault_proxy::fault_proxy(asio::io_context& context, daemon::network_address target)
    : context_(context),
      target_(std::move(target)),
      acceptor_(context),
      links_(std::make_shared<link_set>())
{
}

std::error_code fault_proxy::start(const daemon::network_address& listen)
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(listen.host, ec), listen.port);
    if (!ec)
    {
        acceptor_.open(endpoint.protocol(), ec);
    }
    if (!ec)
    {
        acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor_.bind(endpoint, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return {ec.value(), std::system_category()};
    }
    asio::co_spawn(context_, accept(), asio::detached);
    return {};
}

std::uint16_t fault_proxy::port() const
{
    return acceptor_.local_endpoint().port();
}

void fault_proxy::set_fault(link_fault fault, millis delay)
{
    links_->fault = fault;
    links_->delay = delay;
    if (fault == link_fault::refuse)
    {
        close_connections();
    }
    for (const std::shared_ptr<link>& one : links_->open)
    {
        one->drop_to_server = one->drop_to_server || fault == link_fault::silent;
        one->drop_to_client =
            one->drop_to_client || fault == link_fault::silent || fault == link_fault::one_way;
    }
}

void fault_proxy::silence_connections()
{
    for (const std::shared_ptr<link>& one : links_->open)
    {
        one->drop_to_server = true;
        one->drop_to_client = true;
    }
}

void fault_proxy::close_connections()
{
    for (const std::shared_ptr<link>& one : links_->open)
    {
        one->close();
    }
}

awaitable<void> fault_proxy::accept()
{
    for (;;)
    {
        boost::system::error_code ec;
        tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
        {
            co_return;
        }
        if (ec || links_->fault == link_fault::refuse)
        {
            continue;
        }
        std::shared_ptr<link> one = std::make_shared<link>(std::move(socket));
        one->drop_to_server = links_->fault == link_fault::silent;
        one->drop_to_client = one->drop_to_server || links_->fault == link_fault::one_way;
        links_->open.insert(one);
        asio::co_spawn(context_, open(links_, one, target_), asio::detached);
    }
}

awaitable<void> fault_proxy::open(std::shared_ptr<link_set> links, std::shared_ptr<link> one,
                                  daemon::network_address target)
{
    boost::system::error_code ec;
    const tcp::endpoint server(asio::ip::make_address(target.host), target.port);
    co_await one->far.async_connect(server, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        asio::co_spawn(one->near.get_executor(), pump(links, one, true), asio::detached);
        co_await pump(links, one, false);
    }
    else
    {
        one->close();
    }
    links->open.erase(one);
}

awaitable<void> fault_proxy::pump(std::shared_ptr<link_set> links, std::shared_ptr<link> one,
                                  bool to_server)
{
    tcp::socket& from = to_server ? one->near : one->far;
    tcp::socket& to = to_server ? one->far : one->near;
    const bool& dropped = to_server ? one->drop_to_server : one->drop_to_client;
    std::array<char, 16384> buf{};
    boost::system::error_code ec;
    while (!ec)
    {
        const std::size_t n = co_await from.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && links->fault == link_fault::delayed)
        {
            co_await daemon::sleep_for(links->delay);
        }
        if (!ec && !dropped)
        {
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    // The end of a connection does not get through a link that forwards nothing.
    if (!dropped || ec == asio::error::operation_aborted)
    {
        one->close();
    }
}

} // namespace endivestage::standin
