#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <endivestage/core/random.hpp>
#include <endivestage/daemon/peer_transport.hpp>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace endivestage;
using namespace endivestage::daemon;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

const std::string old_key = "first-key-of-the-test-0123456789";
const std::string new_key = "other-key-of-the-test-0123456789";
constexpr millis patience{20000};

struct fixed_clock final : clock
{
    time_point now() const override { return {1}; }
    time_point wall_now() const override { return {1'800'000'000'000}; }
};

/// Several threads, as in a router, so that a missing strand shows up.
struct threads
{
    threads()
    {
        for (int n = 0; n < 3; ++n)
        {
            pool.emplace_back([this] { io.run(); });
        }
    }
    ~threads()
    {
        io.stop();
        for (std::thread& thread : pool)
        {
            thread.join();
        }
    }
    threads(const threads&) = delete;
    threads& operator=(const threads&) = delete;

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::vector<std::thread> pool;
};

class fault_log
{
public:
    peer_fault_observer observer()
    {
        return [this](const std::string& /*peer*/, std::error_code ec)
        {
            const std::lock_guard lock(mutex_);
            seen_.push_back(ec);
            changed_.notify_all();
        };
    }

    bool wait_for(peer_fault fault)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(
            lock, std::chrono::milliseconds(patience.count),
            [&] { return std::find(seen_.begin(), seen_.end(), fault) != seen_.end(); });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::error_code> seen_;
};

struct network
{
    peer_server& serve(peer_handler handler, peer_server_options options = {},
                       std::vector<std::string> keys = {old_key})
    {
        options.listen = {"127.0.0.1", options.listen.port};
        options.on_fault = server_faults.observer();
        server = std::make_unique<peer_server>(workers.io, std::move(options),
                                               std::make_shared<key_ring>(std::move(keys)), time,
                                               std::move(handler));
        REQUIRE_FALSE(server->start());
        return *server;
    }

    peer_client_pool& connect(peer_client_options options = {},
                              std::vector<std::string> keys = {old_key})
    {
        options.self = router_id("r1");
        options.on_fault = client_faults.observer();
        client = std::make_unique<peer_client_pool>(
            workers.io, std::move(options), std::make_shared<key_ring>(std::move(keys)), time);
        return *client;
    }

    std::future<result<std::string>> start(const peer_address& to, std::string path,
                                           std::string body, millis timeout = patience)
    {
        const auto promise = std::make_shared<std::promise<result<std::string>>>();
        client->call(to, std::move(path), std::move(body), timeout,
                     [promise](result<std::string> answer)
                     { promise->set_value(std::move(answer)); });
        return promise->get_future();
    }

    result<std::string> call(std::string path, std::string body, millis timeout = patience)
    {
        return start(address(), std::move(path), std::move(body), timeout).get();
    }

    peer_address address() const { return {"127.0.0.1", server->port()}; }

    fixed_clock time;
    fault_log server_faults;
    fault_log client_faults;
    threads workers;
    std::unique_ptr<peer_server> server;
    std::unique_ptr<peer_client_pool> client;
};

void echo(const peer_request& request, const peer_reply& reply)
{
    reply(200, request.from.str() + request.path + request.body);
}

/// Polls, because the condition has no event.
bool eventually(const std::function<bool()>& condition)
{
    for (int n = 0; n < 4000 && !condition(); ++n)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

/// Forwards connections to a server; connections up to `frozen` stay open but carry nothing more.
class relay
{
public:
    relay(asio::io_context& io, std::uint16_t to)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          to_(to)
    {
        accept();
    }

    peer_address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    std::atomic<int> frozen{0};

private:
    struct direction
    {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        int number = 0;
        std::array<char, 4096> buf{};
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code ec, tcp::socket socket)
            {
                if (ec)
                {
                    return;
                }
                const auto in = std::make_shared<tcp::socket>(std::move(socket));
                const auto out = std::make_shared<tcp::socket>(acceptor_.get_executor());
                out->connect(tcp::endpoint(asio::ip::address_v4::loopback(), to_), ec);
                ++count_;
                pump(std::make_shared<direction>(direction{in, out, count_}));
                pump(std::make_shared<direction>(direction{out, in, count_}));
                accept();
            });
    }

    void pump(const std::shared_ptr<direction>& way)
    {
        way->from->async_read_some(asio::buffer(way->buf),
                                   [this, way](boost::system::error_code ec, std::size_t n)
                                   {
                                       if (ec)
                                       {
                                           return;
                                       }
                                       if (way->number > frozen)
                                       {
                                           asio::write(*way->to, asio::buffer(way->buf, n), ec);
                                       }
                                       pump(way);
                                   });
    }

    tcp::acceptor acceptor_;
    std::uint16_t to_;
    int count_ = 0;
};

const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                          "\0\0\0\4\0\0\0\0\0"
                          "\0\0\0\4\1\0\0\0\0",
                          42);

/// A HEADERS frame of a POST to "/" without the end of the stream.
std::string open_stream(unsigned char stream)
{
    return std::string("\0\0\6\1\4\0\0\0", 8) + static_cast<char>(stream) + "\x83\x84\x86\x41\x01" +
           "a";
}

/// Sends bytes to a server and reads until it closes.
void send_raw(std::uint16_t port, const std::string& bytes, bool end = false)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    if (end)
    {
        socket.shutdown(tcp::socket::shutdown_send, ec);
    }
    std::string rest;
    asio::read(socket, asio::dynamic_buffer(rest), ec);
}

std::string random_bytes(random_source& random)
{
    std::string bytes;
    for (std::uint64_t n = random.below(200); n > 0; --n)
    {
        bytes.push_back(static_cast<char>(random.next()));
    }
    return bytes;
}

} // namespace

// Guards against lost, swapped or serialised answers and against a connection per call.
TEST_CASE("1000 concurrent calls share one session")
{
    network net;
    net.serve(echo);
    net.connect();
    std::vector<std::future<result<std::string>>> answers;
    answers.reserve(1000);
    for (int n = 0; n < 1000; ++n)
    {
        answers.push_back(net.start(net.address(), "/echo", std::to_string(n)));
    }
    for (int n = 0; n < 1000; ++n)
    {
        CHECK(answers[static_cast<std::size_t>(n)].get().value() == "r1/echo" + std::to_string(n));
    }
    const std::string large(1U << 19U, 'x');
    CHECK(net.call("/", large).value() == "r1/" + large);
    CHECK(net.call("/empty", "").value() == "r1/empty");
    CHECK(net.client->traffic().sessions_opened == 1);
    CHECK(net.server->traffic().calls == 1002);
    CHECK(net.server->traffic().bytes_received > large.size());
}

// Guards against coroutine wrappers that lose the answer, the status or an exception.
TEST_CASE("calls and handlers can be coroutines")
{
    network net;
    net.serve(make_coroutine_handler(
        net.workers.io.get_executor(),
        [](peer_request request) -> asio::awaitable<peer_answer>
        {
            if (request.path == "/throw")
            {
                throw std::runtime_error("test");
            }
            co_return peer_answer{request.path == "/missing" ? 404 : 200, request.body};
        }));
    net.connect();
    const auto call = [&](std::string path)
    {
        return asio::co_spawn(
                   net.workers.io,
                   call_peer(*net.client, net.address(), std::move(path), "body", patience),
                   asio::use_future)
            .get();
    };
    CHECK(call("/ok").value() == "body");
    CHECK(call("/missing").error() == errc::not_found);
    CHECK(call("/throw").error() == errc::internal);
}

// Guards against calls of routers without a key, and against a rotation that locks routers out.
TEST_CASE("a call is handled only with a known key")
{
    network net;
    std::atomic<int> handled{0};
    net.serve(
        [&](const peer_request& request, const peer_reply& reply)
        {
            ++handled;
            echo(request, reply);
        },
        {}, {new_key, old_key});
    net.connect({}, {old_key});
    CHECK(net.call("/", "b"));
    net.connect({}, {new_key});
    CHECK(net.call("/", "b"));
    net.connect({}, {"unknown-key-of-the-test-01234567"});
    CHECK(net.call("/", "b").error() == errc::unauthorized);
    CHECK(handled == 2);
    CHECK(net.server->traffic().refused == 1);
}

// Guards against a recorded call that is replayed to a router that has not seen its nonce.
TEST_CASE("a call addressed to a different server is refused")
{
    network net;
    net.serve(echo);
    net.connect();
    const relay other(net.workers.io, net.server->port());
    CHECK(net.start(other.address(), "/", "b").get().error() == errc::unauthorized);
}

// Guards against a peer that stays unreachable after its connection broke once.
TEST_CASE("a cut connection fails its calls and the next call reconnects")
{
    network net;
    std::promise<void> arrived;
    net.serve([&](const peer_request& /*request*/, const peer_reply& /*reply*/)
              { arrived.set_value(); });
    net.connect();
    const peer_address address = net.address();
    std::future<result<std::string>> cut = net.start(address, "/", "b");
    arrived.get_future().wait();
    net.server.reset();
    CHECK(cut.get().error() == errc::peer_unavailable);
    REQUIRE(eventually([&] { return net.client->traffic().sessions_open == 0; }));
    CHECK(net.start(address, "/", "b").get().error() == errc::peer_unavailable);
    peer_server_options same_port;
    same_port.listen.port = address.port;
    net.serve(echo, same_port);
    CHECK(net.start(address, "/", "b").get().value() == "r1/b");
}

// Guards against waiting on a connection that went silent while new ones work.
TEST_CASE("a silent session is replaced")
{
    network net;
    const peer_server& server = net.serve(echo);
    relay between(net.workers.io, server.port());
    net.connect();
    // The relay's address is not the server's, so a reply of any kind shows that the call arrived.
    REQUIRE(net.start(between.address(), "/", "b").get().error() == errc::unauthorized);
    between.frozen = 1;
    CHECK(net.start(between.address(), "/", "b").get().error() == errc::peer_unavailable);
    CHECK(net.client_faults.wait_for(peer_fault::silent));
    CHECK(net.start(between.address(), "/", "b").get().error() == errc::unauthorized);
    CHECK(net.client->traffic().sessions_opened == 2);
    // While new connections are silent too, the session stays and calls end by their deadlines.
    between.frozen = 1000;
    CHECK(net.start(between.address(), "/", "b", millis{1500}).get().error() ==
          errc::deadline_exceeded);
    between.frozen = 1;
    CHECK(net.start(between.address(), "/", "b").get().error() != errc::deadline_exceeded);
}

// Guards against a slow handler that is taken for a broken session, and a timeout that ends one.
TEST_CASE("a call without answer ends at its deadline and the session stays")
{
    network net;
    net.serve(
        [](const peer_request& request, const peer_reply& reply)
        {
            if (request.path != "/never")
            {
                echo(request, reply);
            }
        });
    net.connect();
    CHECK(net.call("/never", "b", millis{1000}).error() == errc::deadline_exceeded);
    CHECK(net.call("/", "b").value() == "r1/b");
    CHECK(net.client->traffic().sessions_opened == 1);
}

// Guards against unbounded memory by requests of any sender.
TEST_CASE("oversize requests close the session with a typed fault")
{
    network net;
    peer_server_options options;
    options.max_body_bytes = 1000;
    peer_client_options generous;
    generous.max_body_bytes = 1U << 22U;
    std::string path = "/";
    std::string body;
    peer_fault expected = peer_fault::none;
    SECTION("body")
    {
        body.assign(1001, 'x');
        expected = peer_fault::body_too_large;
    }
    SECTION("header")
    {
        path.append(8200, 'x');
        expected = peer_fault::header_too_large;
    }
    SECTION("bodies not yet verified")
    {
        options.max_buffered_bytes = 500;
        body.assign(501, 'x');
        expected = peer_fault::buffer_full;
    }
    net.serve(echo, options);
    net.connect(generous);
    CHECK(net.call(path, body).error() == errc::peer_unavailable);
    CHECK(net.server_faults.wait_for(expected));
    // The memory of closed sessions must be given back.
    CHECK(net.call("/", std::string(400, 'x')));
    CHECK(net.call("/", std::string(400, 'x')));
}

// Guards against limits of the client that are not enforced.
TEST_CASE("oversize answers and surplus calls fail typed")
{
    network net;
    net.serve(
        [](const peer_request& request, const peer_reply& reply)
        {
            if (request.path == "/large")
            {
                reply(200, std::string(5000, 'x'));
            }
        });
    peer_client_options options;
    options.max_body_bytes = 1000;
    options.max_waiting_calls = 1;
    net.connect(options);
    CHECK(net.call("/", std::string(1001, 'x')).error() == errc::too_large);
    CHECK(net.call("/large", "").error() == errc::too_large);
    CHECK(net.client_faults.wait_for(peer_fault::body_too_large));
    std::future<result<std::string>> first = net.start(net.address(), "/never", "");
    CHECK(net.call("/", "").error() == errc::overloaded);
    net.client->stop();
    CHECK(first.get().error() == errc::shutting_down);
    CHECK(net.call("/", "").error() == errc::shutting_down);
}

// Guards against senders that hold streams open.
TEST_CASE("too many streams and slow requests close the session")
{
    network net;
    peer_server_options options;
    options.max_streams = 2;
    options.request_timeout = millis{200};
    net.serve(echo, options);
    send_raw(net.server->port(), preface + open_stream(1));
    CHECK(net.server_faults.wait_for(peer_fault::request_too_slow));
    send_raw(net.server->port(), preface + open_stream(1) + open_stream(3) + open_stream(5));
    CHECK(net.server_faults.wait_for(peer_fault::too_many_streams));
    CHECK(net.server->traffic().calls == 0);
}

// Guards against input that ends or hangs the process.
TEST_CASE("malformed input closes only its session")
{
    network net;
    net.serve(echo);
    send_raw(net.server->port(), "GET / HTTP/1.1\r\n\r\n");
    CHECK(net.server_faults.wait_for(peer_fault::malformed_frame));
    seeded_random random(20261204);
    for (int n = 0; n < 300; ++n)
    {
        const std::string start = n % 3 == 0 ? "" : n % 3 == 1 ? preface : preface + open_stream(1);
        send_raw(net.server->port(), start + random_bytes(random), true);
    }
    net.connect();
    CHECK(net.call("/", "b").value() == "r1/b");

    tcp::acceptor hostile(net.workers.io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const peer_address address{"127.0.0.1", hostile.local_endpoint().port()};
    for (int n = 0; n < 100; ++n)
    {
        std::future<result<std::string>> answer = net.start(address, "/", "b");
        tcp::socket socket = hostile.accept();
        boost::system::error_code ec;
        const std::string start = n % 2 == 0 ? "" : preface.substr(24);
        asio::write(socket, asio::buffer(start + random_bytes(random)), ec);
        socket.close(ec);
        CHECK(answer.get().error() == errc::peer_unavailable);
    }
}

// Guards against 400 idle sessions per router, and against a server that ends used ones.
TEST_CASE("an idle session is closed and opened again on demand")
{
    network net;
    net.serve(echo);
    peer_client_options options;
    options.idle_timeout = millis{50};
    net.connect(options);
    CHECK(net.call("/", "b"));
    CHECK(eventually([&] { return net.client->traffic().sessions_open == 0; }));
    CHECK(eventually([&] { return net.server->traffic().sessions_open == 0; }));
    CHECK(net.call("/", "b"));
    CHECK(net.client->traffic().sessions_opened == 2);
}
