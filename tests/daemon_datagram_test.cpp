#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <endivestage/core/random.hpp>
#include <endivestage/daemon/datagram.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace endivestage;
using namespace endivestage::daemon;
using boost::asio::ip::udp;

namespace
{

struct stepped_clock final : clock
{
    time_point now() const override { return wall; }
    time_point wall_now() const override { return wall; }
    time_point wall{1'800'000'000'000};
};

std::shared_ptr<const key_ring> ring(std::string key)
{
    return std::make_shared<key_ring>(std::vector<std::string>{std::move(key)});
}

} // namespace

// Guards against datagrams that are forged, damaged, old or too large.
TEST_CASE("only signed, recent and bounded datagrams reach the handler")
{
    const std::shared_ptr<const key_ring> keys = ring("first-key-of-the-test-0123456789");
    boost::asio::io_context io;
    stepped_clock time;
    std::vector<datagram> seen;
    datagram_socket receiver(io, {"127.0.0.1", 0}, router_id("r1"), keys, time,
                             [&](datagram one) { seen.push_back(std::move(one)); });
    const datagram_handler none = [](const datagram& /*one*/) {
    };
    stepped_clock late;
    datagram_socket sender(io, {"127.0.0.1", 0}, router_id("r2"), keys, late, none);
    datagram_socket stranger(io, {"127.0.0.1", 0}, router_id("r2"),
                             ring("other-key-of-the-test-0123456789"), time, none);
    REQUIRE_FALSE(receiver.start());
    REQUIRE_FALSE(sender.start());
    REQUIRE_FALSE(stranger.start());
    const network_address to{"127.0.0.1", receiver.port()};
    const auto run_until = [&](std::uint64_t received)
    {
        for (int n = 0; n < 2000 && receiver.traffic().received < received; ++n)
        {
            io.run_one_for(std::chrono::milliseconds(10));
        }
        REQUIRE(receiver.traffic().received == received);
    };

    CHECK(sender.send(to, std::string(sender.max_payload() + 1, 'x')) == errc::too_large);
    CHECK(sender.send({"host.name", 1}, "x") == errc::invalid_request);
    REQUIRE_FALSE(sender.send(to, std::string(sender.max_payload(), 'x')));
    run_until(1);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].from == router_id("r2"));
    CHECK(seen[0].address.port == sender.port());
    CHECK(seen[0].payload == std::string(sender.max_payload(), 'x'));
    CHECK(sender.traffic().bytes_sent == datagram_socket::max_bytes);
    CHECK(receiver.traffic().bytes_received == datagram_socket::max_bytes);

    REQUIRE_FALSE(stranger.send(to, "x"));
    run_until(2);
    late.wall = late.wall - millis{30001};
    REQUIRE_FALSE(sender.send(to, "x"));
    run_until(3);

    // A valid datagram with one byte changed, then arbitrary bytes, then one above the limit.
    udp::socket raw(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    late.wall = time.wall;
    REQUIRE_FALSE(sender.send({"127.0.0.1", raw.local_endpoint().port()}, "payload"));
    io.poll();
    std::string valid(1500, '\0');
    valid.resize(raw.receive(boost::asio::buffer(valid)));
    const udp::endpoint target(boost::asio::ip::address_v4::loopback(), receiver.port());
    std::uint64_t sent = 3;
    for (std::size_t n = 0; n < valid.size(); ++n)
    {
        std::string changed = valid;
        changed[n] = static_cast<char>(changed[n] ^ 1);
        raw.send_to(boost::asio::buffer(changed), target);
        run_until(++sent);
    }
    seeded_random random(20261204);
    for (int n = 0; n < 200; ++n)
    {
        std::string bytes(random.below(60), '\1');
        for (char& byte : bytes)
        {
            byte = static_cast<char>(random.next());
        }
        raw.send_to(boost::asio::buffer(bytes), target);
        run_until(++sent);
    }
    raw.send_to(boost::asio::buffer(valid + std::string(1300, 'x')), target);
    run_until(++sent);
    CHECK(seen.size() == 1);
    CHECK(receiver.traffic().refused == sent - 1);
    raw.send_to(boost::asio::buffer(valid), target);
    run_until(++sent);
    CHECK(seen.size() == 2);
}
