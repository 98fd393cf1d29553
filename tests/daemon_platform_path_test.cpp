// End-to-end tests on the users' platform in one process: a router, a stand-in of the store and
// stand-ins of engines with scripted responses.

#include "platform_fleet.hpp"

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/server.hpp>
#include <platform/adapter.hpp>
#include <standin/platform_engine.hpp>
#include <standin/platform_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <thread>

using namespace endivestage;
using namespace endivestage::test;
using daemon::awaitable;
using daemon::http_request;
using daemon::http_response;
using standin::engine_reply;
using standin::make_event_chunk;
using standin::make_response;
using standin::make_stream_head;
namespace asio = boost::asio;

TEST_CASE("a request is forwarded unchanged, with the router's own fields")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response =
                co_await f.send_request("POST", "/o/x?y=%20z", "key-1", "the body");
            REQUIRE(response.status == 200);
            REQUIRE(response.body == "done");
            REQUIRE(daemon::find_field(response.fields, "X-Origin-Seal") == "seal");
            REQUIRE(engine.received().size() == 1);
            const http_request& got = engine.received().front();
            REQUIRE(got.method == "POST");
            REQUIRE(got.target == "/o/x?y=%20z");
            REQUIRE(got.body == "the body");
            REQUIRE(daemon::find_field(got.fields, "X-Tenant") == "buyers");
            REQUIRE(daemon::find_field(got.fields, "X-Expect-Instance") == "e1");
            REQUIRE(daemon::find_field(got.fields, "Authorization").empty());
            REQUIRE(daemon::find_field(got.fields, "X-Pin-Ms").empty());
            const int left =
                std::atoi(std::string(daemon::find_field(got.fields, "X-Deadline-Ms")).c_str());
            REQUIRE(left > 0);
            REQUIRE(left <= 1500);
        });
}

TEST_CASE("unknown routes and keys are refused and anonymous routes need no key")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("GET", "/nowhere/");
                REQUIRE(got.status == 404);
            }
            {
                const http_response got = co_await f.send_request("POST", "/o/", "wrong");
                REQUIRE(got.status == 401);
            }
            REQUIRE(engine.received().empty());
            {
                const http_response got = co_await f.send_request("GET", "/i/", "wrong");
                REQUIRE(got.status == 200);
            }
        });
}

// Fault: an engine closes the connection before the response has its stated length.
TEST_CASE("a truncated response is not delivered as complete")
{
    fleet f;
    const auto truncated = [](const http_request& request)
    {
        const std::string complete = make_response(request, 200, "0123456789");
        return engine_reply{{complete.substr(0, complete.size() - 4)},
                            millis{0},
                            engine_reply::connection_action::close};
    };
    standin::platform_engine& engine = f.add_engine("e1", truncated);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/");
            REQUIRE(response.status == 502);
            REQUIRE(engine.received().size() == 1);
        });
}

// Fault: responses to other requests arrive before or after the expected one.
TEST_CASE("responses to other requests are not delivered")
{
    fleet f;
    int calls = 0;
    const auto mismatched = [&](const http_request& request)
    {
        ++calls;
        http_request other = request;
        other.fields = {{"X-Attempt-Id", "another"}};
        const std::string own = make_response(request, 200, "own");
        const std::string foreign = make_response(other, 200, "foreign");
        return keep_open(calls % 2 == 1 ? foreign + own : own + foreign);
    };
    f.add_engine("e1", mismatched);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 6; ++n)
            {
                const http_response response = co_await f.send_request("POST", "/o/");
                REQUIRE(response.status == 200);
                REQUIRE(response.body == "own");
            }
        });
}

// Fault: a response without a length ends with its connection. If the connection is reset, the
// response may be incomplete.
TEST_CASE("a response without a length is delivered only after an orderly close")
{
    fleet f;
    bool reset = false;
    const auto unframed = [&](const http_request& request)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                                 std::string(daemon::find_field(request.fields, "X-Attempt-Id")) +
                                 "\r\nX-Origin-Seal: seal\r\n\r\n";
        return engine_reply{{head + "unframed"},
                            millis{0},
                            reset ? engine_reply::connection_action::reset
                                  : engine_reply::connection_action::close};
    };
    f.add_engine("e1", unframed);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response complete = co_await f.send_request("POST", "/o/");
            REQUIRE(complete.status == 200);
            REQUIRE(complete.body == "unframed");
            reset = true;
            const http_response cut = co_await f.send_request("POST", "/o/");
            REQUIRE(cut.status != 200);
        });
}

// Fault: an engine sends bytes that are not an HTTP response.
TEST_CASE("malformed response bytes give 502 to a request that may be executed once")
{
    fleet f;
    f.add_engine("e1",
                 [](const http_request&)
                 {
                     return engine_reply{{"SSH-2.0-nonsense\r\n\r\n"},
                                         millis{0},
                                         engine_reply::connection_action::keep_open};
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 502);
            }
        });
}

// Fault: the response to an executed request is lost. The request must not be executed twice.
TEST_CASE("a request that may be executed once is not sent again when its response is lost")
{
    fleet f;
    const auto lose_response = [](const http_request&)
    {
        return engine_reply{{}, millis{0}, engine_reply::connection_action::reset};
    };
    f.add_engine("e1", lose_response);
    f.add_engine("e2", lose_response);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 502);
            }
            REQUIRE(f.engines[0]->received().size() + f.engines[1]->received().size() == 1);
            {
                const http_response got = co_await f.send_request("GET", "/i/");
                REQUIRE(got.status == 502);
            }
            REQUIRE(f.engines[0]->received().size() + f.engines[1]->received().size() == 3);
        });
}

// Fault: an engine is full, or another engine has its address.
TEST_CASE("a request is sent to another engine after proof that it was not executed")
{
    fleet f;
    f.add_engine("e1", [](const http_request& request)
                 { return keep_open(make_response(request, 503, "", "X-Not-Executed: 1\r\n")); });
    f.add_engine("e2", [](const http_request& request)
                 { return keep_open(make_response(request, 421, "")); });
    f.add_engine("e3", respond_ok("third"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 4; ++n)
            {
                const http_response response = co_await f.send_request("POST", "/o/");
                REQUIRE(response.status == 200);
                REQUIRE(response.body == "third");
            }
        });
}

TEST_CASE("a request that no engine accepts is refused as not run, with a retry time")
{
    fleet f;
    f.add_engine("e1", [](const http_request& request)
                 { return keep_open(make_response(request, 503, "", "X-Not-Executed: 1\r\n")); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/");
            REQUIRE(response.status == 503);
            REQUIRE_FALSE(daemon::find_field(response.fields, "Retry-After").empty());
            REQUIRE(response.body.find("not_run") != std::string::npos);
        });
}

// Fault: an engine resets a stream in the middle of an event.
TEST_CASE("a resumable stream continues at another engine and other streams are cut")
{
    fleet f;
    const auto reset_midway = [](const http_request& request)
    {
        const bool resumed = !daemon::find_field(request.fields, "Last-Event-Id").empty();
        if (resumed)
        {
            return keep_open(make_stream_head(request) + make_event_chunk(3) + make_event_chunk(4) +
                             standin::last_chunk);
        }
        return engine_reply{{make_stream_head(request) + make_event_chunk(1) + make_event_chunk(2),
                             "9\r\nid: 3\ndat\r\n"},
                            millis{20},
                            engine_reply::connection_action::reset};
    };
    f.add_engine("e1", reset_midway);
    f.add_engine("e2", reset_midway);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response complete = co_await f.send_request("POST", "/r/");
            REQUIRE(complete.status == 200);
            std::string expected;
            for (int id = 1; id <= 4; ++id)
            {
                expected += "id: " + std::to_string(id) + "\ndata: token\n\n";
            }
            REQUIRE(complete.body == expected);
            const http_response cut = co_await f.send_request("POST", "/s/");
            REQUIRE(cut.status == 0);
        });
}

namespace
{

std::string make_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

/// Response with \p events whose end is the last chunk or, without chunks, the end of the
/// connection.
engine_reply make_complete_stream(const http_request& request, const std::string& events,
                                  bool chunked)
{
    if (chunked)
    {
        return keep_open(make_stream_head(request) + standin::make_chunk(events) +
                         standin::last_chunk);
    }
    return {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + standin::request_id(request) +
             "\r\nX-Origin-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n" + events},
            millis{0},
            engine_reply::connection_action::close};
}

} // namespace

// Fault: an engine ends its response in an orderly way inside an event, with the last chunk or,
// without chunks, with its connection. The caller must not get that event or a valid end.
TEST_CASE("a stream that ends inside an event is cut")
{
    const bool chunked = GENERATE(true, false);
    const std::string rest = GENERATE("id: 3\ndat", "id: 3\ndata: token\n");
    fleet f;
    f.add_engine(
        "e1", [&](const http_request& request)
        { return make_complete_stream(request, make_event(1) + make_event(2) + rest, chunked); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const received_stream cut = co_await receive_stream(f, "/s/");
            CAPTURE(chunked, rest, cut.events);
            REQUIRE(cut.status == 200);
            REQUIRE(cut.events == make_event(1) + make_event(2));
            REQUIRE_FALSE(cut.complete);
        });
}

// Fault: an engine ends its response in an orderly way inside the first event, so that no event is
// complete. The caller must not get a successful response.
TEST_CASE("a stream that ends inside its first event is not delivered")
{
    const bool chunked = GENERATE(true, false);
    fleet f;
    f.add_engine("e1", [&](const http_request& request)
                 { return make_complete_stream(request, "id: 1\ndata: tok", chunked); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const received_stream failed = co_await receive_stream(f, "/s/");
            CAPTURE(chunked, failed.events);
            REQUIRE(failed.status == 502);
        });
}

// Fault: an engine ends the response to a resumable stream inside an event. Another engine must
// continue after the last complete event.
TEST_CASE("a resumable stream that ends inside an event continues at another engine")
{
    const bool chunked = GENERATE(true, false);
    const std::string rest = GENERATE("id: 3\ndat", "id: 3\ndata: token\n");
    fleet f;
    const auto respond = [&](const http_request& request)
    {
        const bool resumed = standin::last_event_id(request) == 2;
        return make_complete_stream(
            request, resumed ? make_event(3) + make_event(4) : make_event(1) + make_event(2) + rest,
            chunked);
    };
    f.add_engine("e1", respond);
    f.add_engine("e2", respond);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const received_stream continued = co_await receive_stream(f, "/r/");
            CAPTURE(chunked, rest);
            REQUIRE(continued.events ==
                    make_event(1) + make_event(2) + make_event(3) + make_event(4));
            REQUIRE(continued.complete);
            REQUIRE(f.engines[0]->received().size() == 1);
            REQUIRE(f.engines[1]->received().size() == 1);
        });
}

// Guards against cutting complete streams whose end is only the orderly end of the connection, with
// or without a comment after the last event.
TEST_CASE("a stream without a length is complete when it ends after an event")
{
    const std::string rest = GENERATE("", ": comment\n");
    fleet f;
    f.add_engine(
        "e1", [&](const http_request& request)
        { return make_complete_stream(request, make_event(1) + make_event(2) + rest, false); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const received_stream whole = co_await receive_stream(f, "/s/");
            REQUIRE(whole.status == 200);
            REQUIRE(whole.events == make_event(1) + make_event(2) + rest);
            REQUIRE(whole.complete);
        });
}

// Guards against engines working for callers that have disconnected.
TEST_CASE("a caller's disconnect cancels the request at the engine")
{
    fleet f;
    standin::platform_engine& engine =
        f.add_engine("e1",
                     [](const http_request&) {
                         return engine_reply{{}, millis{0}, engine_reply::connection_action::hang};
                     });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                daemon::http_connection caller(f.context.get_executor());
                const std::error_code ec =
                    co_await caller.connect(f.settings.callers, millis{1000}, millis{1000});
                REQUIRE_FALSE(ec);
                http_request request;
                request.method = "POST";
                request.target = "/o/";
                request.fields = {{"Host", "t.example"},
                                  {"X-Attempt-Id", "leaver"},
                                  {"Authorization", "Bearer key-1"}};
                caller.send(std::move(request));
                while (engine.received().empty())
                {
                    co_await f.pause(5);
                }
            }
            for (int n = 0; n < 100 && engine.abandoned() == 0; ++n)
            {
                co_await f.pause(5);
            }
            REQUIRE(engine.abandoned() == 1);
        });
}

namespace
{

/// Sends a request and closes the connection, before the router has read any of it.
void send_and_leave(fleet& f, const std::string& id)
{
    asio::ip::tcp::socket caller(f.context);
    caller.connect({asio::ip::make_address(f.settings.callers.host), f.settings.callers.port});
    asio::write(caller, asio::buffer("POST /o/ HTTP/1.1\r\nHost: t.example\r\nX-Attempt-Id: " + id +
                                     "\r\nAuthorization: Bearer key-1\r\n"
                                     "Content-Length: 0\r\n\r\n"));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an overloaded router that reads a request after its caller has given up and still
// sends it to an engine.
TEST_CASE("a request whose caller has left before it is read reaches no engine")
{
    const bool kept_connection = GENERATE(false, true);
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            if (kept_connection)
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
            const std::size_t before = engine.received().size();
            send_and_leave(f, "leaver");
            http_response metrics;
            while (!contains(metrics.body, "endivestage_requests_total{result=\"caller_left\"} 1"))
            {
                co_await f.pause(5);
                metrics = co_await f.get(f.settings.metrics, "/metrics");
            }
            // No connection is opened for it either.
            REQUIRE(contains(metrics.body, "endivestage_connections_total") == kept_connection);
            co_await f.pause(20);
            REQUIRE(engine.received().size() == before);
        });
}

// Fault: an engine has stopped but its record still exists.
TEST_CASE("an unreachable engine makes no request fail")
{
    fleet f;
    standin::platform_engine& unreachable = f.add_engine("e1", respond_ok("gone"));
    f.add_engine("e2", respond_ok("there"));
    unreachable.stop();
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 6; ++n)
            {
                {
                    const http_response got = co_await f.send_request("POST", "/o/");
                    REQUIRE(got.body == "there");
                }
            }
        });
}

TEST_CASE("a draining engine gets no requests and malformed records are ignored")
{
    fleet f;
    standin::platform_engine& draining = f.add_engine("e1", respond_ok("leaving"));
    f.add_engine("e2", respond_ok("stays"));
    f.store.put("servers", "e3", "\xff not json");
    f.store.put("servers", "e4", R"({"service":"pool","address":17,"state":"ready"})");
    f.put_engine_record("e1", draining.port(), "draining");
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 6; ++n)
            {
                {
                    const http_response got = co_await f.send_request("POST", "/o/");
                    REQUIRE(got.body == "stays");
                }
            }
            REQUIRE(draining.received().empty());
        });
}

TEST_CASE("a zone out of service gets no requests until it returns")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
            f.store.put("op", "evacuate/zone-a", "{}");
            co_await f.pause(400);
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 503);
            }
            f.store.erase("op", "evacuate/zone-a");
            co_await f.pause(400);
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
        });
}

// Fault: the store loses its change history while a newer configuration is written.
TEST_CASE("tables are read again when the store has lost its history")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            std::string without_keys(configuration);
            without_keys.replace(without_keys.find("key-1"), 5, "key-2");
            without_keys.replace(without_keys.find("\"version\":3"), 11, "\"version\":4");
            f.store.faults.drop_history = true;
            f.store.put("op", "config", without_keys);
            co_await f.pause(1000);
            {
                const http_response got = co_await f.send_request("POST", "/o/", "key-1");
                REQUIRE(got.status == 401);
            }
            {
                const http_response got = co_await f.send_request("POST", "/o/", "key-2");
                REQUIRE(got.status == 200);
            }
        });
}

// Faults of the store: it refuses calls, resets connections or does not respond. Keys may have been
// withdrawn meanwhile, so the router must refuse requests, and state that they were not executed.
TEST_CASE("requests are refused once the copy is too old and served when the store is back")
{
    const int kind = GENERATE(0, 1, 2, 3);
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
            f.store.faults.status = kind == 0 ? 503 : kind == 1 ? 429 : 0;
            f.store.faults.reset = kind == 2;
            f.store.faults.silent = kind == 3;
            co_await f.pause(2000);
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
            co_await f.pause(3000);
            const std::size_t before = engine.received().size();
            const http_response refused = co_await f.send_request("POST", "/o/");
            REQUIRE(refused.status == 503);
            REQUIRE_FALSE(daemon::find_field(refused.fields, "Retry-After").empty());
            {
                const http_response got = co_await f.get(f.settings.readiness, "/v1/readyz");
                REQUIRE(got.status == 503);
            }
            REQUIRE(engine.received().size() == before);
            f.store.faults = {};
            co_await f.pause(2500);
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
        });
}

// Guards against a denial of a route that was added while the router could not hear of it.
TEST_CASE("an unknown route is refused as not run once the copy is too old")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("GET", "/nowhere/");
                REQUIRE(got.status == 404);
            }
            f.store.faults.silent = true;
            co_await f.pause(5000);
            const http_response refused = co_await f.send_request("GET", "/nowhere/");
            REQUIRE(refused.status == 503);
            REQUIRE(refused.body.find("not_run") != std::string::npos);
        });
}

TEST_CASE("a lost response of the store delays only the router's own row")
{
    fleet f;
    f.store.faults.lose_write_responses = true;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
            REQUIRE(f.store.get("endivestage-routers", "r1").find(f.settings.host) !=
                    std::string::npos);
        });
}

TEST_CASE("the directory lists a serving router and omits a stopping one")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const std::string target = "/v1/resolve?name=t.example&region=region&zone=zone-a";
            const http_response response = co_await f.get(f.settings.directory, target);
            REQUIRE(response.status == 200);
            REQUIRE(response.body.find(to_string(f.settings.callers)) != std::string::npos);
            f.router->stop();
            {
                const http_response got = co_await f.get(f.settings.directory, target);
                REQUIRE(got.status == 503);
            }
            {
                const http_response got = co_await f.get(f.settings.readiness, "/v1/readyz");
                REQUIRE(got.status == 503);
            }
            // Callers still use the addresses of earlier responses.
            {
                const http_response got = co_await f.send_request("POST", "/o/");
                REQUIRE(got.status == 200);
            }
        });
}

// Guards against a loop that calls the store without delay, since each call is paid for.
TEST_CASE("an idle router makes few calls to the store")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(500);
            const std::uint64_t calls = f.store.calls();
            co_await f.pause(1000);
            REQUIRE(f.store.calls() - calls <= 8);
        });
}

// Load: each of 295 starting routers read all tables from the store and polled it until it had
// heard from the others. A starting router takes the tables from a router that has them.
TEST_CASE("a router that joins a fleet reads one table from the store")
{
    fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(300);
            const std::uint64_t lists = f.store.lists();
            second = f.start_second_router(name_below(f.settings.name), other);
            http_response ready;
            ready.status = 0;
            while (ready.status != 200)
            {
                co_await f.pause(10);
                ready = co_await f.get(other.readiness, "/v1/readyz");
            }
            REQUIRE(f.store.lists() - lists == 1);
        });
}

namespace
{

/// Responds, and blocks the event loop before the router reads the response.
standin::platform_engine::response_function
respond_before_block(fleet& f, std::function<std::string(const http_request&)> make_bytes,
                     std::chrono::milliseconds block)
{
    return [&f, make_bytes = std::move(make_bytes), block](const http_request& request)
    {
        asio::post(f.context, [block] { std::this_thread::sleep_for(block); });
        return keep_open(make_bytes(request));
    };
}

} // namespace

// Guards against an answer that has arrived in time and is replaced by a failure, because the event
// loop was blocked and the deadline had passed when the router read it.
TEST_CASE("an answer that arrives while the event loop is blocked past the deadline is delivered")
{
    fleet f;
    f.add_engine("e1", respond_before_block(
                           f,
                           [](const http_request& request)
                           { return make_response(request, 200, "done"); },
                           std::chrono::milliseconds(500)));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/", "key-1", {}, 400);
            REQUIRE(response.status == 200);
            REQUIRE(response.body == "done");
        });
}

// Guards against a stream that is sent to a second engine although its first event has arrived in
// time, because the event loop was blocked until the wait for it was over.
TEST_CASE("a stream whose events arrive while the event loop is blocked is not repeated")
{
    fleet f;
    const standin::platform_engine::response_function respond = respond_before_block(
        f,
        [](const http_request& request)
        { return make_stream_head(request) + make_event_chunk(1) + standin::last_chunk; },
        std::chrono::milliseconds(900));
    const standin::platform_engine& first = f.add_engine("e1", respond);
    const standin::platform_engine& second = f.add_engine("e2", respond);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/r/");
            REQUIRE(response.status == 200);
            REQUIRE(response.body.find("id: 1\n") != std::string::npos);
        });
    REQUIRE(first.received().size() + second.received().size() == 1);
}
