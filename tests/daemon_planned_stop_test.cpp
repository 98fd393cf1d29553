// Planned stops of a router of the users' platform, with requests that arrive while it stops.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

#include <algorithm>
#include <boost/asio/write.hpp>

using namespace endivestage;
using namespace endivestage::test;
using standin::make_event_chunk;
using standin::make_stream_head;
using tcp = asio::ip::tcp;

namespace
{

const std::string stream_end = std::string("\r\n") + standin::last_chunk;

/// A caller that keeps one connection and may send a request while it still reads an answer.
class pipelining_caller
{
public:
    pipelining_caller(asio::io_context& context, const daemon::network_address& router)
        : socket_(context)
    {
        socket_.connect({asio::ip::make_address(router.host), router.port});
    }

    void send(const std::string& target, const std::string& id, std::int64_t deadline_ms)
    {
        asio::write(socket_, asio::buffer("POST " + target +
                                          " HTTP/1.1\r\nHost: t.example\r\nX-Attempt-Id: " + id +
                                          "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                                          "\r\nAuthorization: Bearer key-1\r\n"
                                          "Content-Length: 0\r\n\r\n"));
    }

    /// Reads until \p text was received or the connection has ended.
    awaitable<void> read_until(std::string text)
    {
        boost::system::error_code ec;
        while (!ec && !has_received(text))
        {
            char buf[4096];
            const std::size_t n = co_await socket_.async_read_some(
                asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            received_.append(buf, n);
        }
    }

    bool has_received(const std::string& text) const
    {
        return received_.find(text) != std::string::npos;
    }

    /// \returns What was received after the end of the first chunked answer.
    std::string second_answer() const
    {
        const std::size_t end = received_.find(stream_end);
        return end == std::string::npos ? std::string() : received_.substr(end + stream_end.size());
    }

private:
    tcp::socket socket_;
    std::string received_;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count_received(const standin::platform_engine& engine, const std::string& id)
{
    const std::vector<http_request>& received = engine.received();
    return static_cast<std::size_t>(std::count_if(received.begin(), received.end(),
                                                  [&](const http_request& request)
                                                  { return standin::request_id(request) == id; }));
}

/// Streams for longer than it takes until a stopping router closes its port.
engine_reply stream_beyond_port_close(const http_request& request)
{
    engine_reply reply{{make_stream_head(request) + make_event_chunk(1)},
                       millis{100},
                       engine_reply::connection_action::keep_open};
    for (int id = 2; id <= 12; ++id)
    {
        reply.pieces.push_back(make_event_chunk(id));
    }
    reply.pieces.emplace_back(standin::last_chunk);
    return reply;
}

} // namespace

// Guards against streams that a stopping router begins on kept connections and cuts when it exits:
// their callers get neither a whole answer nor a refusal.
TEST_CASE("a stopping router refuses requests that may outlast it and serves shorter ones")
{
    fleet f;
    standin::platform_engine& engine =
        f.add_engine("e1",
                     [](const http_request& request)
                     {
                         const std::string id = standin::request_id(request);
                         if (id == "late-long")
                         {
                             return engine_reply{{make_stream_head(request) + make_event_chunk(1)},
                                                 millis{0},
                                                 engine_reply::connection_action::hang};
                         }
                         return id == "late-short" ? keep_open(make_response(request, 200, "short"))
                                                   : stream_beyond_port_close(request);
                     });
    f.settings.bounds.address_lifetime = millis{0};
    f.settings.bounds.stop_grace = millis{4000};
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            pipelining_caller refused(f.context, f.settings.callers);
            pipelining_caller served(f.context, f.settings.callers);
            refused.send("/s/", "first-1", 5000);
            served.send("/s/", "first-2", 5000);
            co_await refused.read_until("id: 1\n");
            co_await served.read_until("id: 1\n");
            f.router->stop();
            // Callers may still use addresses that they got before.
            pipelining_caller early(f.context, f.settings.callers);
            early.send("/s/", "early-long", 5000);
            refused.send("/s/", "late-long", 5000);
            served.send("/i/", "late-short", 500);
            co_await refused.read_until(stream_end + "HTTP/1.1 ");
            REQUIRE(contains(refused.second_answer(), "HTTP/1.1 503"));
            co_await refused.read_until("\"not_run\"");
            const std::string refusal = refused.second_answer();
            REQUIRE(contains(refusal, "\"not_run\""));
            REQUIRE(contains(refusal, "Retry-After: "));
            REQUIRE(contains(refusal, "Connection: close"));
            REQUIRE(contains(refusal, "shutting_down"));
            REQUIRE(count_received(engine, "late-long") == 0);
            co_await served.read_until("short");
            REQUIRE(contains(served.second_answer(), "HTTP/1.1 200"));
            co_await early.read_until(stream_end);
            REQUIRE(early.has_received(stream_end));
        });
}

// Guards against requests that a stopping router cuts at its exit, without an answer or a refusal.
TEST_CASE("a request that is still open when a stopping router exits is answered")
{
    fleet f;
    f.add_engine("e1",
                 [](const http_request&) {
                     return engine_reply{{}, millis{0}, engine_reply::connection_action::hang};
                 });
    f.settings.bounds.address_lifetime = millis{0};
    f.settings.bounds.stop_grace = millis{2000};
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            pipelining_caller caller(f.context, f.settings.callers);
            caller.send("/s/", "open", 5000);
            while (f.engines.front()->received().empty())
            {
                co_await f.pause(5);
            }
            f.router->stop();
            co_await caller.read_until("\"unknown\"");
            REQUIRE(caller.has_received("HTTP/1.1 502"));
            REQUIRE(caller.has_received("Connection: close"));
        });
}

// Guards against requests that a stopping router takes late and cuts or leaves unknown at its exit,
// where callers may use its address for as long as it runs.
TEST_CASE("a stopping router with little time refuses requests that may outlast it")
{
    fleet f;
    f.add_engine("e1",
                 [](const http_request&) {
                     return engine_reply{{}, millis{0}, engine_reply::connection_action::hang};
                 });
    f.settings.bounds.address_lifetime = millis{5000};
    f.settings.bounds.stop_grace = millis{3000};
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            pipelining_caller stream(f.context, f.settings.callers);
            pipelining_caller order(f.context, f.settings.callers);
            f.router->stop();
            co_await f.pause(1700);
            stream.send("/s/", "late-stream", 5000);
            order.send("/o/", "late-order", 5000);
            co_await stream.read_until("\"not_run\"");
            REQUIRE(stream.has_received("HTTP/1.1 503"));
            REQUIRE(stream.has_received("Retry-After: "));
            co_await order.read_until("\"not_run\"");
            REQUIRE(order.has_received("HTTP/1.1 503"));
            REQUIRE(count_received(*f.engines.front(), "late-stream") == 0);
            REQUIRE(count_received(*f.engines.front(), "late-order") == 0);
        });
}

// Guards against a router that joins its fleet after it was asked to stop: the others name it in
// address answers.
TEST_CASE("a router that stops before the store has answered does not join its fleet")
{
    const bool silent = GENERATE(false, true);
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            f.store.faults.silent = silent;
            f.store.faults.status = silent ? 0 : 503;
            second = f.start_second_router(router_id("r2"), other);
            co_await f.pause(50);
            second->stop();
            f.store.faults = {};
            co_await f.pause(1000);
            REQUIRE(f.store.get("endivestage-routers", "r2").empty());
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            REQUIRE(contains(metrics.body, "\nendivestage_routers 1\n"));
        });
}
