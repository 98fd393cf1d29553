// The HTTP server on loopback: planned stops, and failures that must end one connection only.

#include <endivestage/daemon/http_server.hpp>
#include <standin/text_response.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace endivestage;
using daemon::http_request;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

const std::string request_text = "GET /x HTTP/1.1\r\nHost: t.example\r\n\r\n";

/// A server with one answer for all requests, and a caller on a plain socket.
struct server_fixture
{
    server_fixture()
        : server(context, {},
                 [this](const http_request& request, daemon::response_writer& writer)
                 {
                     ++handled;
                     if (request.target == "/throw")
                     {
                         throw std::length_error("unexpected");
                     }
                     return standin::send_text(writer, "ok");
                 })
    {
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    }

    tcp::socket connect()
    {
        tcp::socket caller(caller_context);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        caller.non_blocking(true);
        return caller;
    }

    static void send(tcp::socket& caller, const std::string& text = request_text)
    {
        asio::write(caller, asio::buffer(text));
    }

    /// Runs the server until the caller has received \p count bytes or its connection has ended.
    std::string receive(tcp::socket& caller)
    {
        std::string received;
        for (int n = 0; n < 400 && received.find("ok") == std::string::npos; ++n)
        {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
            char buf[1024];
            boost::system::error_code ec;
            received.append(buf, caller.read_some(asio::buffer(buf), ec));
            if (ec && ec != asio::error::would_block)
            {
                break;
            }
        }
        return received;
    }

    asio::io_context context;
    asio::io_context caller_context;
    int handled = 0;
    daemon::http_server server;
};

} // namespace

// Guards against a planned stop that resets a kept connection whose next request has arrived: the
// caller cannot tell whether it ran.
TEST_CASE("a request that arrives while idle connections are closed is answered")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    server_fixture::send(caller);
    fixture.server.stop_accepting();
    fixture.server.close_idle();
    const std::string answer = fixture.receive(caller);
    REQUIRE(answer.find("200 OK") != std::string::npos);
    REQUIRE(answer.find("Connection: close") != std::string::npos);
    REQUIRE(fixture.handled == 2);
}

// Guards against a planned stop that resets connections which the kernel has accepted already.
TEST_CASE("connections that wait in the queue when the server stops accepting are served")
{
    server_fixture fixture;
    std::vector<tcp::socket> callers;
    for (int n = 0; n < 8; ++n)
    {
        callers.push_back(fixture.connect());
        server_fixture::send(callers.back());
    }
    fixture.server.stop_accepting();
    fixture.server.close_idle();
    for (tcp::socket& caller : callers)
    {
        REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    }
    REQUIRE(fixture.handled == 8);
}

// Guards against a planned stop that closes a new connection before its first request, which is
// still on its way, and against one that waits for it without end.
TEST_CASE("a new connection may still send its first request during a planned stop")
{
    server_fixture fixture;
    tcp::socket caller = fixture.connect();
    tcp::socket silent = fixture.connect();
    fixture.context.run_for(std::chrono::milliseconds(5));
    fixture.server.stop_accepting();
    fixture.server.close_idle();
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(5));
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    for (int n = 0; n < 400 && fixture.server.open_connections() > 0; ++n)
    {
        fixture.server.close_idle();
        fixture.context.restart();
        fixture.context.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(fixture.server.open_connections() == 0);
}

// Guards against one unexpected error that ends the process or leaves its connection counted.
TEST_CASE("an exception in a handler ends its connection only")
{
    server_fixture fixture;
    tcp::socket failing = fixture.connect();
    tcp::socket caller = fixture.connect();
    server_fixture::send(failing, "GET /throw HTTP/1.1\r\nHost: t.example\r\n\r\n");
    REQUIRE(fixture.receive(failing).empty());
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    REQUIRE(fixture.server.active_requests() == 0);
    REQUIRE(fixture.server.open_connections() == 1);
}

namespace
{

void run_for(server_fixture& fixture, std::chrono::milliseconds period)
{
    fixture.context.restart();
    fixture.context.run_for(period);
}

/// Sends a request, so that the connection waits for the next one.
tcp::socket connect_and_wait(server_fixture& fixture)
{
    tcp::socket caller = fixture.connect();
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    return caller;
}

daemon::http_limits idle_limit(millis idle)
{
    daemon::http_limits limits;
    limits.idle = idle;
    return limits;
}

} // namespace

// Guards against connections that are closed at the limit of an older configuration, while callers
// already follow a newer one and reuse them: their requests cross the close.
TEST_CASE("a connection that waits for a request follows a raised idle limit")
{
    server_fixture fixture;
    fixture.server.set_limits(idle_limit(millis{200}));
    tcp::socket caller = connect_and_wait(fixture);
    fixture.server.set_limits(idle_limit(millis{3'600'000}));
    run_for(fixture, std::chrono::milliseconds(500));
    REQUIRE(fixture.server.open_connections() == 1);
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
}

// Guards against connections that a lowered limit closes while callers still use the older one.
TEST_CASE("a connection that waits for a request keeps the idle limit when it is lowered")
{
    server_fixture fixture;
    fixture.server.set_limits(idle_limit(millis{3'600'000}));
    tcp::socket caller = connect_and_wait(fixture);
    fixture.server.set_limits(idle_limit(millis{1}));
    run_for(fixture, std::chrono::milliseconds(100));
    server_fixture::send(caller);
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
}

// Guards against a request without an answer beside a change of the configuration: the change
// blocks the event loop, and the request arrives before the loop gets to the end of the idle time.
TEST_CASE("a request that arrives while a blocked event loop passes the idle limit is answered")
{
    server_fixture f;
    constexpr std::chrono::milliseconds idle{1500};
    daemon::http_limits limits;
    limits.idle = millis{idle.count()};
    f.server.set_limits(limits);
    tcp::socket caller = f.connect();
    f.send(caller);
    REQUIRE(f.receive(caller).find("ok") != std::string::npos);
    // Both timers have expired when the loop runs again, and this one is handled first.
    asio::steady_timer earlier(f.context, std::chrono::milliseconds(1));
    earlier.async_wait([&](const boost::system::error_code&) { f.send(caller); });
    std::this_thread::sleep_for(idle + std::chrono::milliseconds(100));
    REQUIRE(f.receive(caller).find("ok") != std::string::npos);
    REQUIRE(f.handled == 2);
}

// Guards against a request that is cut while it is read, because the event loop was blocked and the
// rest of it arrived before the loop got to the end of the time for it.
TEST_CASE("a request whose rest arrives while a blocked event loop passes its limit is answered")
{
    server_fixture f;
    constexpr std::chrono::milliseconds limit{200};
    daemon::http_limits limits;
    limits.request = millis{limit.count()};
    f.server.set_limits(limits);
    tcp::socket caller = f.connect();
    const std::size_t half = request_text.size() / 2;
    f.send(caller, request_text.substr(0, half));
    run_for(f, std::chrono::milliseconds(20));
    // Both timers have expired when the loop runs again, and this one is handled first.
    asio::steady_timer earlier(f.context, std::chrono::milliseconds(1));
    earlier.async_wait([&](const boost::system::error_code&)
                       { f.send(caller, request_text.substr(half)); });
    std::this_thread::sleep_for(limit + std::chrono::milliseconds(100));
    REQUIRE(f.receive(caller).find("ok") != std::string::npos);
    REQUIRE(f.handled == 1);
}

// Guards against connections that are held by requests which never become whole.
TEST_CASE("a request that does not arrive whole within its limit is given up")
{
    server_fixture f;
    daemon::http_limits limits;
    limits.request = millis{50};
    f.server.set_limits(limits);
    tcp::socket caller = f.connect();
    f.send(caller, request_text.substr(0, request_text.size() / 2));
    for (int n = 0; n < 400 && (n < 4 || f.server.open_connections() > 0); ++n)
    {
        run_for(f, std::chrono::milliseconds(5));
    }
    REQUIRE(f.server.open_connections() == 0);
    REQUIRE(f.handled == 0);
}

// Guards against requests that a raised limit allows and that are refused on older connections.
TEST_CASE("a connection that is older than a raised header limit takes requests up to it")
{
    server_fixture f;
    daemon::http_limits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 1024;
    f.server.set_limits(limits);
    tcp::socket caller = connect_and_wait(f);
    f.server.set_limits({});
    f.send(caller,
           "GET /x HTTP/1.1\r\nHost: t.example\r\nX-Long: " + std::string(8192, 'x') + "\r\n\r\n");
    REQUIRE(f.receive(caller).find("200 OK") != std::string::npos);
    REQUIRE(f.handled == 2);
}

// Guards against idle connections that stay open beyond the limit, and against ones that are closed
// although the next request has arrived.
TEST_CASE("an idle connection is closed unless its request has arrived")
{
    server_fixture fixture;
    fixture.server.set_limits(idle_limit(millis{200}));
    tcp::socket silent = connect_and_wait(fixture);
    tcp::socket caller = connect_and_wait(fixture);
    server_fixture::send(caller);
    // The server does not run meanwhile: it finds the request and the end of the wait together.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    REQUIRE(fixture.receive(caller).find("200 OK") != std::string::npos);
    for (int n = 0; n < 400 && fixture.server.open_connections() > 0; ++n)
    {
        run_for(fixture, std::chrono::milliseconds(10));
    }
    REQUIRE(fixture.server.open_connections() == 0);
    REQUIRE(fixture.receive(silent).empty());
}

// Guards against a configuration with small limits that ends the process at the next planned stop.
TEST_CASE("limits below one read serve small requests and survive a planned stop")
{
    server_fixture f;
    daemon::http_limits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 1024;
    f.server.set_limits(limits);
    tcp::socket idle = f.connect();
    tcp::socket caller = f.connect();
    f.send(caller);
    REQUIRE(f.receive(caller).find("ok") != std::string::npos);
    f.server.close_idle();
    f.server.stop_accepting();
    f.send(idle);
    REQUIRE(f.receive(idle).find("ok") != std::string::npos);
}
