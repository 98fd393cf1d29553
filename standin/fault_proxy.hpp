/// \file
/// \brief A TCP proxy on loopback that injects faults into its connections.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/network_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace endivestage::standin
{

/// \brief Fault that a \ref fault_proxy injects into its connections.
enum class link_fault
{
    none,    ///< Forwards in both directions.
    refuse,  ///< Closes open connections and every new one.
    silent,  ///< Drops all bytes on open and new connections.
    one_way, ///< Drops the bytes from the server to the client.
    delayed, ///< Forwards after a delay.
};

/// \returns The snake_case name of a fault.
std::string_view to_string(link_fault fault);

/// \returns The local and the remote port of each connection of a client.
using client_connections = std::function<std::set<std::pair<std::uint16_t, std::uint16_t>>()>;

/// \brief Forwards TCP connections to one server.
///
/// A connection that was silenced stays silent after the fault ends, as when a middlebox between
/// client and server has lost its state. Connections opened later work. Single-threaded.
class fault_proxy
{
public:
    /// \param context Must outlive the proxy.
    fault_proxy(boost::asio::io_context& context, daemon::network_address target);

    /// \brief Starts to listen; port 0 chooses a free port.
    std::error_code start(const daemon::network_address& listen);

    std::uint16_t port() const;

    /// \brief Applies a fault to open and new connections until the next call.
    /// \param delay For \ref link_fault::delayed: time before each read block is forwarded.
    void set_fault(link_fault fault, millis delay = millis{0});

    /// \brief Applies a fault to the open and new connections of one client, besides that of
    /// \ref set_fault, until the next call.
    /// \param fault none, refuse or silent.
    void set_client_fault(client_connections client, link_fault fault);

    /// \brief Drops all further bytes on the open connections; new connections are not affected.
    void silence_connections();

    /// \brief Closes the open connections.
    void close_connections();

    std::size_t connection_count() const { return state_->connections.size(); }

private:
    struct proxied_connection;
    /// Shared with the coroutines, which may outlive the proxy.
    struct shared_state
    {
        std::set<std::shared_ptr<proxied_connection>> connections;
        link_fault fault = link_fault::none;
        millis delay{0};
        client_connections client;
        link_fault client_fault = link_fault::none;
    };

    daemon::awaitable<void> accept();
    bool is_of_client(const boost::asio::ip::tcp::socket& socket) const;
    static daemon::awaitable<void> serve(std::shared_ptr<shared_state> state,
                                         std::shared_ptr<proxied_connection> connection,
                                         daemon::network_address target);
    static daemon::awaitable<void> forward(std::shared_ptr<shared_state> state,
                                           std::shared_ptr<proxied_connection> connection,
                                           bool to_server);

    boost::asio::io_context& context_;
    daemon::network_address target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<shared_state> state_;
};

} // namespace endivestage::standin
