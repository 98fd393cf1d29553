/// \file
/// \brief Signed datagrams between routers, for probes and gossip.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/daemon/network_address.hpp>
#include <endivestage/daemon/signing.hpp>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace endivestage::daemon
{

/// \brief A verified datagram.
struct datagram
{
    router_id from;          ///< As signed by the sender.
    network_address address; ///< Source address of the packet.
    std::string payload;
};

/// \brief Handles one datagram; called on the socket's strand, so it must not block.
using datagram_handler = std::function<void(datagram)>;

/// \brief Totals since start, without UDP and IP headers.
struct datagram_traffic
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0; ///< Refused ones included.
    std::uint64_t refused = 0;  ///< Malformed, too large, wrong MAC or wrong time.
    std::uint64_t unsent = 0;   ///< Dropped because the system's buffer was full or by an error.
};

/// \brief UDP socket that signs what it sends and drops what it cannot verify.
///
/// A datagram holds a version byte, the sender's id, the sender's wall time, a MAC of 12 bytes over
/// these and the payload, and the payload. A recorded datagram is accepted again within
/// request_verifier::time_window; payloads must carry sequence numbers or be idempotent.
class datagram_socket
{
public:
    /// A datagram of this size is not fragmented on usual networks.
    static constexpr std::size_t max_bytes = 1200;
    /// 96 bits as in RFC 2404; a full MAC would take a sixth of an ordinary probe.
    static constexpr std::size_t mac_bytes = 12;

    /// \param listen Port 0 lets the system choose.
    /// \param self At most 255 bytes.
    /// \param time Must outlive the io_context's run.
    datagram_socket(boost::asio::io_context& context, network_address listen, router_id self,
                    std::shared_ptr<const key_ring> keys, const clock& time,
                    datagram_handler handler);
    /// \brief Stops the socket.
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// \brief Binds and receives.
    std::error_code start();

    /// \returns The bound port; 0 before start.
    std::uint16_t port() const;

    /// \returns Largest payload that fits into max_bytes.
    std::size_t max_payload() const;

    /// \brief Sends without waiting. Thread-safe. Datagrams may get lost at any point.
    /// \returns errc::too_large, errc::invalid_request if the host is no IP literal, or ok.
    std::error_code send(const network_address& to, std::string_view payload);

    void stop();

    datagram_traffic traffic() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace endivestage::daemon
