// Requests that another router has handed over, as the router serves them that takes them.

#include "platform_fleet.hpp"

#include <endivestage/serving/handover_header.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>

using namespace endivestage;
using namespace endivestage::test;
using serving::handover_info;
using serving::handover_mark;
using standin::last_chunk;
using standin::make_event_chunk;
using standin::make_stream_head;

namespace
{

constexpr const char* handover_field = "Endivestage-Handover";
constexpr std::uint64_t configuration_version = 3;

handover_info make_info()
{
    handover_info info;
    info.config_version = configuration_version;
    return info;
}

http_request make_request(std::string target, const std::string& id, std::int64_t deadline_ms)
{
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.fields = {{"Host", "t.example"},
                      {"X-Attempt-Id", id},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)},
                      {"Authorization", "Bearer key-1"},
                      {"X-Tenant", "forged"},
                      {"X-Prefix-Hash", "aa:800,bb:400,cc:20"}};
    return request;
}

http_request make_handover(std::string target, const std::string& id,
                           const handover_info& info = make_info(), std::int64_t deadline_ms = 4000)
{
    http_request request = make_request(std::move(target), id, deadline_ms);
    serving::write_handover(request, info);
    return request;
}

struct handover_fleet : fleet
{
    daemon::network_address peer_address() const { return {settings.host, settings.peer_port}; }

    /// Hands a request to the router, as another router does.
    awaitable<http_response> hand_over(http_request request)
    {
        co_return co_await exchange(peer_address(), std::move(request));
    }

    std::size_t count_received(const std::string& id) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<standin::platform_engine>& engine : engines)
        {
            count += static_cast<std::size_t>(std::count_if(
                engine->received().begin(), engine->received().end(),
                [&](const http_request& request) { return standin::request_id(request) == id; }));
        }
        return count;
    }

    /// Hands requests over until the router refuses one as cut off.
    awaitable<void> wait_cut_off()
    {
        for (int n = 0;; ++n)
        {
            http_response response =
                co_await hand_over(make_handover("/i/", "probe-" + std::to_string(n)));
            const handover_mark mark = serving::take_mark(response);
            if (mark.refused)
            {
                REQUIRE(mark.reason == "cut_off");
                co_return;
            }
            co_await pause(20);
        }
    }

    awaitable<std::string> read_metrics()
    {
        const http_response response = co_await get(settings.metrics, "/metrics");
        co_return response.body;
    }
};

/// Checks that a router did not take a request, and that it says so.
void require_refused(http_response response, const std::string& reason)
{
    const handover_mark mark = serving::take_mark(response);
    REQUIRE(mark.refused);
    REQUIRE(mark.reason == reason);
    REQUIRE(response.status == 503);
    REQUIRE(response.body.find("\"not_run\"") != std::string::npos);
    REQUIRE_FALSE(daemon::find_field(response.fields, "Retry-After").empty());
}

void require_taken(http_response response, int status)
{
    const handover_mark mark = serving::take_mark(response);
    REQUIRE(mark.present);
    REQUIRE_FALSE(mark.refused);
    REQUIRE(response.status == status);
}

/// The events of a stream that has ten, beginning after the last one that the caller has.
engine_reply stream_events(const http_request& request)
{
    engine_reply reply = keep_open(make_stream_head(request));
    for (int id = standin::last_event_id(request) + 1; id <= 10; ++id)
    {
        reply.pieces.push_back(make_event_chunk(id));
    }
    reply.pieces.emplace_back(last_chunk);
    return reply;
}

engine_reply hang(const http_request&)
{
    return {{}, millis{0}, engine_reply::connection_action::hang};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against requests that lose their team, their time or their credentials on the way over
// another router, or run twice there.
TEST_CASE("a request that was handed over runs once with its own team, credentials and deadline")
{
    handover_fleet f;
    standin::platform_engine& engine = f.add_engine("e1", respond_ok("answer"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            http_response response =
                co_await f.hand_over(make_handover("/o/", "once", make_info(), 900));
            REQUIRE(response.body == "answer");
            require_taken(std::move(response), 200);
            REQUIRE(f.count_received("once") == 1);
            const http_request& received = engine.received().back();
            REQUIRE(daemon::find_field(received.fields, "X-Tenant") == "buyers");
            REQUIRE(daemon::find_field(received.fields, handover_field).empty());
            const std::string deadline(daemon::find_field(received.fields, "X-Deadline-Ms"));
            REQUIRE_FALSE(deadline.empty());
            REQUIRE(std::stoi(deadline) <= 900);

            http_request forged = make_handover("/o/", "forged");
            std::erase_if(forged.fields, [](const std::pair<std::string, std::string>& field)
                          { return field.first == "Authorization"; });
            forged.fields.emplace_back("Authorization", "Bearer unknown");
            require_taken(co_await f.hand_over(std::move(forged)), 401);
            REQUIRE(f.count_received("forged") == 0);
        });
}

// Guards against requests that exceed their attempts because two routers count them separately.
TEST_CASE("the executions at the first router count against the attempts at the second one")
{
    handover_fleet f;
    for (const char* id : {"e1", "e2", "e3"})
    {
        f.add_engine(id,
                     [](const http_request&) {
                         return engine_reply{{}, millis{0}, engine_reply::connection_action::reset};
                     });
    }
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            handover_info info = make_info();
            info.sends = 1;
            info.possible_executions = 1;
            // The route allows two attempts.
            http_response response =
                co_await f.hand_over(make_handover("/i/", "second-attempt", info));
            REQUIRE_FALSE(contains(response.body, "\"not_run\""));
            REQUIRE_FALSE(serving::take_mark(response).refused);
            REQUIRE(f.count_received("second-attempt") == 1);
        });
}

// Guards against requests that are passed from router to router while none reaches an endpoint, and
// against refusals that name no reason or are untrue.
TEST_CASE("a router that is cut off refuses requests and does not hand them on")
{
    handover_fleet f;
    for (const char* id : {"e1", "e2", "e3"})
    {
        f.add_engine(id, respond_ok());
    }
    f.start_router();
    serving::server_settings other;
    const std::unique_ptr<serving::server> second = f.start_second_router(router_id("r2"), other);
    f.run(
        [&]() -> awaitable<void>
        {
            for (const std::unique_ptr<standin::platform_engine>& engine : f.engines)
            {
                engine->crash();
            }
            co_await f.wait_cut_off();
            // Until the other router is known, a caller's request is not handed over either.
            for (bool handed_over = false; !handed_over;)
            {
                for (const char* target : {"/i/", "/o/", "/s/", "/r/"})
                {
                    require_refused(co_await f.hand_over(make_handover(target, "cut-off")),
                                    "cut_off");
                }
                const std::string refused = co_await f.read_metrics();
                REQUIRE_FALSE(contains(refused, "endivestage_handovers_total{"));
                co_await f.send_request("GET", "/i/");
                const std::string sent = co_await f.read_metrics();
                handed_over = contains(sent, "endivestage_handovers_total{");
                co_await f.pause(20);
            }
            REQUIRE(f.count_received("cut-off") == 0);
        });
}

// Guards against refusals that are untrue: the first router would hand the request on, or tell its
// caller that it has not run.
TEST_CASE("a request that ran before its router was cut off is not refused")
{
    handover_fleet f;
    for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"})
    {
        f.add_engine(id,
                     [&f](const http_request& request)
                     {
                         asio::post(f.context,
                                    [&f]
                                    {
                                        for (auto it = f.engines.begin(); it != f.engines.end();
                                             ++it)
                                        {
                                            (*it)->crash();
                                        }
                                    });
                         return hang(request);
                     });
    }
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            http_response response = co_await f.hand_over(make_handover("/i/", "ran"));
            REQUIRE(f.count_received("ran") == 1);
            REQUIRE_FALSE(contains(response.body, "\"not_run\""));
            const handover_mark mark = serving::take_mark(response);
            REQUIRE(mark.present);
            REQUIRE_FALSE(mark.refused);
        });
}

// Guards against a router that runs out of memory because all others hand their requests to it.
TEST_CASE("a router takes a bounded number of requests from others")
{
    handover_fleet f;
    standin::platform_engine& engine = f.add_engine("e1", hang);
    f.settings.memory = 2 * serving::router_state::taken_request_bytes;
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            daemon::http_connection first(f.context.get_executor());
            daemon::http_connection second(f.context.get_executor());
            for (daemon::http_connection* connection : {&first, &second})
            {
                const std::error_code ec =
                    co_await connection->connect(f.peer_address(), millis{1000}, millis{1000});
                REQUIRE_FALSE(ec);
                connection->send(make_handover("/s/", "open"));
            }
            while (f.count_received("open") < 2)
            {
                co_await f.pause(10);
            }
            require_refused(co_await f.hand_over(make_handover("/s/", "third")), "busy");
            REQUIRE(f.count_received("third") == 0);
            engine.respond = respond_ok();
            first.close();
            while (engine.abandoned() == 0)
            {
                co_await f.pause(10);
            }
            require_taken(co_await f.hand_over(make_handover("/i/", "fourth")), 200);
            second.close();
        });
}

// Guards against callers that see an older configuration after a newer one.
TEST_CASE("a router with an older configuration than the first one refuses a request as stale")
{
    handover_fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            handover_info info = make_info();
            info.config_version = configuration_version + 1;
            require_refused(co_await f.hand_over(make_handover("/i/", "newer", info)), "stale");
            REQUIRE(f.count_received("newer") == 0);
            info.config_version = configuration_version - 1;
            require_taken(co_await f.hand_over(make_handover("/i/", "older", info)), 200);
        });
}

// Guards against requests that run although their limits cannot be read, as those of a later
// release.
TEST_CASE("a request whose handover cannot be read is refused as malformed")
{
    handover_fleet f;
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (const char* text :
                 {"2;3;0;0", "1;3;0", "1;3;0;-1", "x", "1;3;0;0;4", "1;3;0;0;4;"})
            {
                http_request request = make_request("/o/", "malformed", 4000);
                request.fields.emplace_back(handover_field, text);
                INFO(text);
                require_refused(co_await f.hand_over(std::move(request)), "malformed");
            }
            REQUIRE(f.count_received("malformed") == 0);
        });
}

// Guards against callers that choose their own version, attempts or events with the field of
// routers.
TEST_CASE("the field of a handover changes nothing on the port of callers")
{
    handover_fleet f;
    f.add_engine("e1",
                 [](const http_request& request) {
                     return request.target == "/r/" ? stream_events(request)
                                                    : respond_ok("answer")(request);
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            handover_info info = make_info();
            info.config_version = configuration_version + 1;
            info.sends = 5;
            info.possible_executions = 5;
            info.last_event_id = 4;
            info.first_attempt = request_id("another");
            http_response response =
                co_await f.exchange(f.settings.callers, make_handover("/o/", "caller", info));
            REQUIRE(response.status == 200);
            REQUIRE(response.body == "answer");
            REQUIRE_FALSE(serving::take_mark(response).present);
            response =
                co_await f.exchange(f.settings.callers, make_handover("/r/", "stream", info));
            REQUIRE(contains(response.body, "id: 1\n"));
            REQUIRE(contains(response.body, "id: 10\n"));
        });
}

// Guards against callers that get events of a stream twice, or not at all, after it went on at
// another router.
TEST_CASE("a resumable stream that was handed over goes on after its last event")
{
    handover_fleet f;
    f.add_engine("e1", stream_events);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            handover_info info = make_info();
            info.sends = 1;
            info.possible_executions = 1;
            info.last_event_id = 4;
            info.first_attempt = request_id("first");
            http_response response = co_await f.hand_over(make_handover("/r/", "goes-on", info));
            REQUIRE(f.count_received("goes-on") == 1);
            REQUIRE_FALSE(contains(response.body, "id: 4\n"));
            for (int id = 5; id <= 10; ++id)
            {
                REQUIRE(contains(response.body, "id: " + std::to_string(id) + "\n"));
            }
            require_taken(std::move(response), 200);
        });
}

// Guards against runs that go on at an endpoint after the caller of the first router has left.
TEST_CASE("a handover whose connection closes ends its run at the endpoint")
{
    handover_fleet f;
    standin::platform_engine& engine = f.add_engine("e1", hang);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            daemon::http_connection connection(f.context.get_executor());
            const std::error_code ec =
                co_await connection.connect(f.peer_address(), millis{1000}, millis{1000});
            REQUIRE_FALSE(ec);
            connection.send(make_handover("/s/", "left"));
            while (f.count_received("left") == 0)
            {
                co_await f.pause(10);
            }
            REQUIRE(engine.abandoned() == 0);
            connection.close();
            while (engine.abandoned() == 0)
            {
                co_await f.pause(10);
            }
        });
}

// Guards against planned stops that cut requests of other routers, which count as lost then, and
// against requests that begin at a router that is about to exit.
TEST_CASE("a stopping router ends the requests that it took and takes no more")
{
    handover_fleet f;
    f.add_engine("e1",
                 [](const http_request& request)
                 {
                     engine_reply reply = respond_ok("late")(request);
                     reply.delay = millis{1500};
                     return reply;
                 });
    f.settings.bounds.address_lifetime = millis{0};
    f.settings.bounds.stop_grace = millis{4000};
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            daemon::http_connection connection(f.context.get_executor());
            const std::error_code ec =
                co_await connection.connect(f.peer_address(), millis{1000}, millis{1000});
            REQUIRE_FALSE(ec);
            connection.send(make_handover("/s/", "open"));
            while (f.count_received("open") == 0)
            {
                co_await f.pause(10);
            }
            f.router->stop();
            require_refused(co_await f.hand_over(make_handover("/i/", "new")), "not_ready");
            REQUIRE(f.count_received("new") == 0);
            result<http_response> head = co_await connection.read_head(millis{5000});
            REQUIRE(head.has_value());
            require_taken(*head, 200);
            const result<std::string> body =
                co_await daemon::read_body(connection, millis{1000}, 1024);
            REQUIRE(body.has_value());
            REQUIRE(*body == "late");
        });
}

// Guards against requests that a starting router serves by copies that it does not have yet.
TEST_CASE("a router that is not ready takes no requests")
{
    handover_fleet f;
    f.add_engine("e1", respond_ok());
    f.store.faults.status = 503;
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            require_refused(co_await f.hand_over(make_handover("/i/", "early")), "not_ready");
            f.store.faults = {};
            co_await f.wait_ready();
            require_taken(co_await f.hand_over(make_handover("/i/", "later")), 200);
            REQUIRE(f.count_received("early") == 0);
        },
        fleet::start::at_once);
}
