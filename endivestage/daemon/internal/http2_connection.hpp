/// \file
/// \brief One HTTP/2 connection: drives an nghttp2 session over an Asio socket.
#pragma once

#include <endivestage/daemon/peer_transport.hpp>

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::daemon::internal
{

using strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using strand_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand>;
using steady_time = std::chrono::steady_clock::time_point;

struct traffic_counters
{
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> sessions_opened{0};
    std::atomic<std::uint64_t> sessions_open{0};

    peer_traffic read() const;
};

/// \returns \p time as a duration of the steady clock.
std::chrono::milliseconds to_chrono(millis time);

/// \brief A header field to send.
struct header_field
{
    std::string_view name;
    std::string_view value;
    /// Values that differ in each request would only push others out of the HPACK table.
    bool indexed = true;
};

/// \brief Base of client and server sessions. All members are used on the socket's strand only.
///
/// The on_ functions run inside nghttp2 and must not call flush or close.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    enum class role
    {
        client,
        server,
    };

    http2_connection(strand_socket socket, role side, std::uint32_t max_streams,
                     std::size_t max_header_bytes, std::shared_ptr<traffic_counters> traffic);
    virtual ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// \brief Sends the settings and starts to read. The socket must be connected.
    void begin();
    /// \brief Writes what nghttp2 has to send, unless a write is in progress.
    void flush();
    /// \brief Ends the connection at once; calls handle_close on the first use.
    void close(peer_fault fault);

    bool closed() const { return closed_; }
    steady_time last_receive() const { return last_receive_; }

protected:
    virtual void on_begin_headers(std::int32_t stream) = 0;
    virtual void on_header(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void on_data(std::int32_t stream, std::string_view data) = 0;
    virtual void on_end_of_message(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream, std::uint32_t code) = 0;
    /// \returns The part of the body of \p stream that is still to be sent; consumed as it is
    /// copied.
    virtual std::string_view* body_to_send(std::int32_t stream) = 0;
    /// \brief Called before frames are taken from nghttp2, to submit what waits.
    virtual void before_send() {}
    virtual void after_receive() {}
    virtual std::size_t open_streams() const = 0;
    virtual void handle_close(peer_fault fault) = 0;

    /// \brief Ends the connection when control returns from nghttp2.
    void fail(peer_fault fault);

    nghttp2_session* http2() { return http2_; }
    strand_socket& socket() { return socket_; }
    traffic_counters& traffic() { return *traffic_; }
    std::size_t max_header_bytes() const { return max_header_bytes_; }
    bool write_pending_since(steady_time limit) const { return writing_ && write_began_ < limit; }
    /// \returns Whether the peer announced that it will accept no further streams.
    bool peer_is_leaving() const { return goaway_received_; }

    std::vector<nghttp2_nv> to_fields(std::span<const header_field> fields) const;
    nghttp2_data_provider body_provider();

private:
    struct trampolines;

    void read();
    void send_goaway();

    strand_socket socket_;
    role side_;
    std::uint32_t max_streams_;
    std::size_t max_header_bytes_;
    std::shared_ptr<traffic_counters> traffic_;
    nghttp2_session* http2_ = nullptr;
    std::array<unsigned char, 8192> input_{};
    std::string output_;
    steady_time last_receive_;
    steady_time write_began_;
    peer_fault fault_ = peer_fault::none;
    bool writing_ = false;
    bool closed_ = false;
    bool goaway_received_ = false;
};

} // namespace endivestage::daemon::internal
