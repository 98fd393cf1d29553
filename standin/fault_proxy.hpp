/// \file
/// \brief A TCP proxy on loopback that disturbs the connections through it.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/network_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string_view>

namespace endivestage::standin
{

/// \brief What a \ref fault_proxy does to connections.
enum class link_fault
{
    none,    ///< Forwards.
    refuse,  ///< Closes open connections and every new one.
    silent,  ///< Forwards nothing, neither on open connections nor on new ones.
    one_way, ///< Forwards to the server only, so its answers are lost.
    delayed, ///< Forwards later.
};

/// \returns The snake_case name of a fault.
std::string_view to_string(link_fault fault);

/// \brief Forwards TCP connections to one server.
///
/// A connection that a fault silenced stays silent after it, as when something between the two ends
/// has lost track of it; connections opened later work. Single-threaded.
class fault_proxy
{
public:
    /// \param context Must outlive the proxy.
    fault_proxy(boost::asio::io_context& context, daemon::network_address target);

    /// \brief Opens the port; 0 chooses a free one.
    std::error_code start(const daemon::network_address& listen);

    std::uint16_t port() const;

    /// \brief Applies a fault until the next call.
    /// \param delay Of \ref link_fault::delayed, before each piece.
    void set_fault(link_fault fault, millis delay = millis{0});

    /// \brief Silences the open connections for good; new ones are forwarded.
    void silence_connections();

    /// \brief Closes the open connections.
    void close_connections();

    std::size_t connection_count() const { return links_->open.size(); }

private:
    struct link;
    struct link_set
    {
        std::set<std::shared_ptr<link>> open;
        link_fault fault = link_fault::none;
        millis delay{0};
    };

    daemon::awaitable<void> accept();
    static daemon::awaitable<void> open(std::shared_ptr<link_set> links, std::shared_ptr<link> one,
                                        daemon::network_address target);
    static daemon::awaitable<void> pump(std::shared_ptr<link_set> links, std::shared_ptr<link> one,
                                        bool to_server);

    boost::asio::io_context& context_;
    daemon::network_address target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<link_set> links_;
};

} // namespace endivestage::standin
