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

struct fault_proxy::proxied_connection
{
    explicit proxied_connection(tcp::socket accepted)
        : client(std::move(accepted)),
          server(client.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ec;
        client.close(ec);
        server.close(ec);
    }

    tcp::socket client;
    tcp::socket server;
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
      state_(std::make_shared<shared_state>())
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
    state_->fault = fault;
    state_->delay = delay;
    if (fault == link_fault::refuse)
    {
        close_connections();
    }
    for (const std::shared_ptr<proxied_connection>& connection : state_->connections)
    {
        connection->drop_to_server = connection->drop_to_server || fault == link_fault::silent;
        connection->drop_to_client = connection->drop_to_client || fault == link_fault::silent ||
                                     fault == link_fault::one_way;
    }
}

void fault_proxy::set_client_fault(client_connections client, link_fault fault)
{
    state_->client = std::move(client);
    state_->client_fault = fault;
    if (fault == link_fault::none)
    {
        return;
    }
    const std::set<std::pair<std::uint16_t, std::uint16_t>> ports = state_->client();
    for (const std::shared_ptr<proxied_connection>& connection : state_->connections)
    {
        boost::system::error_code ec;
        const std::uint16_t client_port = connection->client.remote_endpoint(ec).port();
        if (ec || !ports.contains({client_port, port()}))
        {
            continue;
        }
        if (fault == link_fault::refuse)
        {
            connection->close();
        }
        connection->drop_to_server = true;
        connection->drop_to_client = true;
    }
}

bool fault_proxy::is_of_client(const tcp::socket& socket) const
{
    boost::system::error_code ec;
    const std::uint16_t client_port = socket.remote_endpoint(ec).port();
    return !ec && state_->client().contains({client_port, port()});
}

void fault_proxy::silence_connections()
{
    for (const std::shared_ptr<proxied_connection>& connection : state_->connections)
    {
        connection->drop_to_server = true;
        connection->drop_to_client = true;
    }
}

void fault_proxy::close_connections()
{
    for (const std::shared_ptr<proxied_connection>& connection : state_->connections)
    {
        connection->close();
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
        link_fault fault = state_->fault;
        if (!ec && fault != link_fault::refuse && state_->client_fault != link_fault::none &&
            is_of_client(socket))
        {
            fault = state_->client_fault;
        }
        if (ec || fault == link_fault::refuse)
        {
            continue;
        }
        std::shared_ptr<proxied_connection> connection =
            std::make_shared<proxied_connection>(std::move(socket));
        connection->drop_to_server = fault == link_fault::silent;
        connection->drop_to_client = connection->drop_to_server || fault == link_fault::one_way;
        state_->connections.insert(connection);
        asio::co_spawn(context_, serve(state_, connection, target_), asio::detached);
    }
}

awaitable<void> fault_proxy::serve(std::shared_ptr<shared_state> state,
                                   std::shared_ptr<proxied_connection> connection,
                                   daemon::network_address target)
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(target.host), target.port);
    co_await connection->server.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        asio::co_spawn(connection->client.get_executor(), forward(state, connection, true),
                       asio::detached);
        co_await forward(state, connection, false);
    }
    else
    {
        connection->close();
    }
    state->connections.erase(connection);
}

awaitable<void> fault_proxy::forward(std::shared_ptr<shared_state> state,
                                     std::shared_ptr<proxied_connection> connection, bool to_server)
{
    tcp::socket& from = to_server ? connection->client : connection->server;
    tcp::socket& to = to_server ? connection->server : connection->client;
    const bool& drop = to_server ? connection->drop_to_server : connection->drop_to_client;
    std::array<char, 16384> buf{};
    boost::system::error_code ec;
    while (!ec)
    {
        const std::size_t n = co_await from.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && state->fault == link_fault::delayed)
        {
            co_await daemon::sleep_for(state->delay);
        }
        if (!ec && !drop)
        {
            co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    // The other side does not see the end of a connection while bytes to it are dropped.
    if (!drop || ec == asio::error::operation_aborted)
    {
        connection->close();
    }
}

} // namespace endivestage::standin
