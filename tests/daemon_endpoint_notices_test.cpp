// What endpoints say of themselves in their answers, with a real router, a stand-in of the store
// and stand-ins of engines.

#include "platform_fleet.hpp"

using namespace endivestage;
using namespace endivestage::test;

namespace
{

const std::string leaving_field = "Server-Leaving: 1\r\n";

standin::platform_engine::response_function respond_with(const std::string& fields)
{
    return [fields](const http_request& request)
    {
        return keep_open(make_response(request, 200, "done", fields));
    };
}

standin::platform_engine::response_function refuse_with(const std::string& fields, int status = 503)
{
    return [fields, status](const http_request& request)
    {
        return keep_open(make_response(request, status, {}, "X-Not-Executed: 1\r\n" + fields));
    };
}

/// Sends requests one after another; returns the number of those that were served.
const auto count_served = [](fleet& f, int requests) -> awaitable<std::size_t>
{
    std::size_t served = 0;
    for (int n = 0; n < requests; ++n)
    {
        const http_response response = co_await f.send_request("POST", "/o/x");
        served += response.status == 200 ? 1 : 0;
    }
    co_return served;
};

serving::response_info decode(int status, daemon::http_fields fields)
{
    const serving::server_settings settings;
    asio::io_context context;
    const serving::platform_adapter adapter = platform::make_adapter(context, settings);
    http_response head;
    head.status = status;
    head.fields = std::move(fields);
    return adapter.codec->decode_response(head, request_id("r"));
}

} // namespace

// Guards against requests to an endpoint that has said that it leaves, while the store is silent
// and its records say that the endpoint is ready.
TEST_CASE("an endpoint that says that it leaves gets no further requests")
{
    fleet f;
    standin::platform_engine& e1 = f.add_engine("e1", respond_with({}));
    standin::platform_engine& e2 = f.add_engine("e2", respond_with({}));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            std::size_t served = 0;
            served = co_await count_served(f, 1);
            REQUIRE(served == 1);
            standin::platform_engine& leaving = e1.received().empty() ? e2 : e1;
            leaving.respond = respond_with(leaving_field);
            f.store.faults.silent = true;
            served = co_await count_served(f, 1);
            REQUIRE(served == 1);
            const std::size_t received = leaving.received().size();
            REQUIRE(received == 2);
            served = co_await count_served(f, 5);
            REQUIRE(served == 5);
            f.store.faults.silent = false;
            // A record that is written later says again that it is ready.
            f.put_engine_record(&leaving == &e1 ? "e1" : "e2", leaving.port(), "ready");
            co_await f.pause(400);
            served = co_await count_served(f, 5);
            REQUIRE(served == 5);
            REQUIRE(leaving.received().size() == received);
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            REQUIRE(metrics.body.find("endivestage_endpoint_notices_total{kind=\"leaving\"} 1") !=
                    std::string::npos);
        });
}

// Guards against refusing requests that the last endpoint still takes, and against late ones.
TEST_CASE("the last endpoint of a service is used until shortly before its bound")
{
    fleet f;
    f.settings.bounds.max_drain_delay = millis{1500};
    standin::platform_engine& engine = f.add_engine("e1", respond_with(leaving_field));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            std::size_t served = 0;
            served = co_await count_served(f, 3);
            REQUIRE(served == 3);
            co_await f.pause(1100);
            const std::size_t received = engine.received().size();
            const http_response refused = co_await f.send_request("POST", "/o/x");
            REQUIRE(refused.status == 503);
            REQUIRE(refused.body.find("\"not_run\"") != std::string::npos);
            REQUIRE_FALSE(daemon::find_field(refused.fields, "Retry-After").empty());
            REQUIRE(engine.received().size() == received);
            // Its next incarnation has not said so.
            engine.respond = respond_with({});
            f.store.put("servers", "e1",
                        R"({"service":"pool","address":"127.0.0.1:)" +
                            std::to_string(engine.port()) +
                            R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready",)" +
                            R"("cold_left_ms":0,"sequence":1,"born":1700000000000})");
            co_await f.pause(400);
            served = co_await count_served(f, 2);
            REQUIRE(served == 2);
        });
}

// Guards against requests to an endpoint that has asked for a pause.
TEST_CASE("an endpoint that asks for a pause gets no requests until it is over")
{
    fleet f;
    standin::platform_engine& e1 = f.add_engine("e1", respond_with({}));
    standin::platform_engine& e2 = f.add_engine("e2", respond_with({}));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            std::size_t served = 0;
            served = co_await count_served(f, 1);
            REQUIRE(served == 1);
            standin::platform_engine& full = e1.received().empty() ? e2 : e1;
            full.respond = refuse_with("Retry-After: 1.5\r\n");
            served = co_await count_served(f, 1);
            REQUIRE(served == 1);
            const std::size_t received = full.received().size();
            REQUIRE(received == 2);
            full.respond = respond_with({});
            served = co_await count_served(f, 8);
            REQUIRE(served == 8);
            REQUIRE(full.received().size() == received);
            while (full.received().size() == received)
            {
                served = co_await count_served(f, 1);
                REQUIRE(served == 1);
                co_await f.pause(20);
            }
        });
}

// Guards against requests that wait, or try endpoints in vain, when all have asked for a pause.
TEST_CASE("when all endpoints have asked for a pause a request is refused with the first return")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", refuse_with("Retry-After: 30\r\n"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            http_response response = co_await f.send_request("POST", "/o/x");
            REQUIRE(response.status == 503);
            REQUIRE(engine.received().size() == 1);
            response = co_await f.send_request("POST", "/o/x");
            REQUIRE(response.status == 503);
            REQUIRE(response.body.find("\"not_run\"") != std::string::npos);
            // A third of what is left of the route's 1.5 s.
            const double seconds =
                std::stod(std::string(daemon::find_field(response.fields, "Retry-After")));
            REQUIRE(seconds <= 0.5);
            REQUIRE(seconds > 0.3);
            REQUIRE(engine.received().size() == 1);
        });
}

// Guards against avoiding an endpoint because of another one that has taken over its address, and
// against trailing fields.
TEST_CASE("notices of other endpoints and in trailing fields do not count")
{
    fleet f;
    standin::platform_engine& engine = f.add_engine("e1", refuse_with(leaving_field, 421));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            std::size_t served = 0;
            http_response response = co_await f.send_request("POST", "/o/x");
            REQUIRE(response.status == 503);
            engine.respond = [](const http_request& request)
            {
                std::string text = make_response(request, 200, {});
                const std::string length = "Content-Length: 0\r\n";
                text.replace(text.find(length), length.size(), "Transfer-Encoding: chunked\r\n");
                return keep_open(text + standin::make_chunk("done") + "0\r\n" + leaving_field +
                                 "\r\n");
            };
            served = co_await count_served(f, 2);
            REQUIRE(served == 2);
            const http_response metrics = co_await f.get(f.settings.metrics, "/metrics");
            REQUIRE(metrics.body.find("kind=\"leaving\"") == std::string::npos);
            REQUIRE(metrics.body.find("\nendivestage_endpoint_notices 0\n") != std::string::npos);
        });
}

// Guards against endpoints that are avoided for ever, or not at all, because of malformed fields.
TEST_CASE("notices are decoded from allowed values only")
{
    REQUIRE(decode(200, {{"server-leaving", " 1 "}}).leaving);
    REQUIRE(decode(503, {{"Server-Leaving", "1"}}).leaving);
    REQUIRE(decode(503, {{"Retry-After", "2"}}).hold_off == millis{2000});
    REQUIRE(decode(503, {{"Retry-After", "0.25"}}).hold_off == millis{250});
    REQUIRE(decode(503, {{"Retry-After", "0.0001"}}).hold_off == millis{1});
    REQUIRE_FALSE(decode(200, {{"Retry-After", "2"}}).hold_off);
    REQUIRE_FALSE(decode(503, {}).hold_off);
    REQUIRE_FALSE(decode(503, {{"Retry-After", "2"}}).malformed_notice);
    for (const char* value : {"", "0", "true", "11", "1, 1"})
    {
        const serving::response_info info = decode(200, {{"Server-Leaving", value}});
        CAPTURE(value);
        REQUIRE_FALSE(info.leaving);
        REQUIRE(info.malformed_notice);
    }
    for (const char* value : {"", "-1", "+1", "1e3", "inf", "nan", "0x10", "1,5", "1.2.3",
                              "Sat, 05 Dec 2026 20:00:00 GMT", "3601", "99999999999999999999"})
    {
        const serving::response_info info = decode(503, {{"Retry-After", value}});
        CAPTURE(value);
        REQUIRE_FALSE(info.hold_off);
        REQUIRE(info.malformed_notice);
    }
    const serving::response_info repeated =
        decode(503, {{"Retry-After", "1"}, {"Retry-After", "3"}, {"Retry-After", "x"}});
    REQUIRE(repeated.hold_off == millis{3000});
    REQUIRE(repeated.malformed_notice);
    REQUIRE(decode(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).leaving);
}
