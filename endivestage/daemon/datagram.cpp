#include <endivestage/daemon/datagram.hpp>

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <cassert>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr char version = 1;
constexpr std::string_view purpose = "datagram";
constexpr std::size_t max_sender_bytes = 255;
/// Version, length of the sender's id, wall time.
constexpr std::size_t fixed_bytes = 1 + 1 + 8;

} // namespace

struct datagram_socket::state : std::enable_shared_from_this<datagram_socket::state>
{
    using strand = asio::strand<asio::io_context::executor_type>;

    state(asio::io_context& context, network_address address, router_id id,
          std::shared_ptr<const key_ring> ring, const clock& source, datagram_handler handle)
        : listen(std::move(address)),
          self(std::move(id)),
          keys(std::move(ring)),
          time(&source),
          handler(std::move(handle)),
          socket(asio::make_strand(context))
    {
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(input), source,
            [owner = shared_from_this()](boost::system::error_code ec, std::size_t n)
            {
                if (ec == asio::error::operation_aborted || !owner->socket.is_open())
                {
                    return;
                }
                // Other errors report earlier sends, for example to a port that is closed.
                if (!ec)
                {
                    owner->received(n);
                }
                owner->receive();
            });
    }

    void received(std::size_t n)
    {
        bytes_received += n;
        ++packets_received;
        const std::string_view packet(input.data(), n);
        const std::size_t sender = n > 1 ? static_cast<unsigned char>(packet[1]) : 0;
        if (n > max_bytes || n < fixed_bytes + sender + mac_bytes || packet[0] != version)
        {
            ++refused;
            return;
        }
        const std::size_t head = fixed_bytes + sender;
        const std::string_view payload = packet.substr(head + mac_bytes);
        if (!keys->verify({purpose, packet.substr(0, head), payload},
                          packet.substr(head, mac_bytes)))
        {
            ++refused;
            return;
        }
        std::uint64_t sent_at = 0;
        for (std::size_t byte = 0; byte < 8; ++byte)
        {
            sent_at = sent_at << 8U | static_cast<unsigned char>(packet[2 + byte]);
        }
        const std::int64_t age = time->wall_now().since_epoch - static_cast<std::int64_t>(sent_at);
        constexpr std::int64_t window = request_verifier::time_window.count;
        if (age > window || age < -window)
        {
            ++refused;
            return;
        }
        handler({router_id(std::string(packet.substr(fixed_bytes, sender))),
                 {source.address().to_string(), source.port()},
                 std::string(payload)});
    }

    network_address listen;
    router_id self;
    std::shared_ptr<const key_ring> keys;
    const clock* time;
    datagram_handler handler;
    udp::socket::rebind_executor<strand>::other socket;
    udp::endpoint source;
    std::array<char, max_bytes + 1> input{}; ///< One more byte shows a datagram above the limit.
    std::atomic<std::uint16_t> bound_port{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> packets_sent{0};
    std::atomic<std::uint64_t> packets_received{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> unsent{0};
};

datagram_socket::datagram_socket(asio::io_context& context, network_address listen, router_id self,
                                 std::shared_ptr<const key_ring> keys, const clock& time,
                                 datagram_handler handler)
    : state_(std::make_shared<state>(context, std::move(listen), std::move(self), std::move(keys),
                                     time, std::move(handler)))
{
    assert(state_->self.str().size() <= max_sender_bytes);
    assert(state_->handler);
}

datagram_socket::~datagram_socket()
{
    stop();
}

std::error_code datagram_socket::start()
{
    boost::system::error_code ec;
    const asio::ip::address host = asio::ip::make_address(state_->listen.host, ec);
    if (ec)
    {
        return make_error_code(errc::invalid_settings);
    }
    const udp::endpoint endpoint(host, state_->listen.port);
    state_->socket.open(endpoint.protocol(), ec);
    if (!ec)
    {
        state_->socket.bind(endpoint, ec);
    }
    if (!ec)
    {
        // A full system buffer drops the datagram instead of blocking the sender.
        state_->socket.non_blocking(true, ec);
    }
    if (ec)
    {
        return {ec.value(), ec.category()};
    }
    state_->bound_port = state_->socket.local_endpoint(ec).port();
    asio::post(state_->socket.get_executor(), [state = state_] { state->receive(); });
    return {};
}

std::uint16_t datagram_socket::port() const
{
    return state_->bound_port;
}

std::size_t datagram_socket::max_payload() const
{
    return max_bytes - fixed_bytes - state_->self.str().size() - mac_bytes;
}

std::error_code datagram_socket::send(const network_address& to, std::string_view payload)
{
    if (payload.size() > max_payload())
    {
        return make_error_code(errc::too_large);
    }
    boost::system::error_code ec;
    const asio::ip::address host = asio::ip::make_address(to.host, ec);
    if (ec)
    {
        return make_error_code(errc::invalid_request);
    }
    std::string packet{version, static_cast<char>(state_->self.str().size())};
    const auto wall = static_cast<std::uint64_t>(state_->time->wall_now().since_epoch);
    for (unsigned shift = 64; shift > 0; shift -= 8)
    {
        packet.push_back(static_cast<char>(wall >> (shift - 8) & 0xffU));
    }
    packet += state_->self.str();
    const mac tag = state_->keys->sign({purpose, packet, payload});
    packet.append(reinterpret_cast<const char*>(tag.data()), mac_bytes);
    packet.append(payload);
    asio::post(state_->socket.get_executor(),
               [state = state_, packet = std::move(packet), target = udp::endpoint(host, to.port)]
               {
                   boost::system::error_code failure;
                   state->socket.send_to(asio::buffer(packet), target, 0, failure);
                   if (failure)
                   {
                       ++state->unsent;
                       return;
                   }
                   state->bytes_sent += packet.size();
                   ++state->packets_sent;
               });
    return {};
}

void datagram_socket::stop()
{
    asio::post(state_->socket.get_executor(),
               [state = state_]
               {
                   boost::system::error_code ignored;
                   state->socket.close(ignored);
               });
}

datagram_traffic datagram_socket::traffic() const
{
    return {state_->bytes_sent,       state_->bytes_received, state_->packets_sent,
            state_->packets_received, state_->refused,        state_->unsent};
}

} // namespace endivestage::daemon
