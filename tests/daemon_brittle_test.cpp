// Endpoints that fail when they have to reject too many requests, with real routers, a stand-in of
// the store and stand-ins of engines.

#include "platform_fleet.hpp"

#include <endivestage/daemon/process_clock.hpp>

#include <algorithm>
#include <deque>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

const daemon::process_clock process_time;
constexpr std::uint32_t max_rejections = 4;
const std::string brittle_field = "Server-Brittle: " + std::to_string(max_rejections) + "\r\n";

/// Room and rejections of an engine that is brittle.
struct brittle_engine
{
    std::size_t slots = 4;
    std::size_t waiting = 2;
    millis work{400};
    std::vector<time_point> ends; ///< Of the requests that it runs or lets wait.
    std::deque<time_point> rejections;
    std::size_t all_rejections = 0;
    int falls = 0;

    standin::platform_engine::response_function respond()
    {
        return [this](const http_request& request)
        {
            const time_point now = process_time.now();
            std::erase_if(ends, [&](time_point end) { return end <= now; });
            if (ends.size() < slots + waiting)
            {
                // Waits until one of the slots is free.
                std::sort(ends.begin(), ends.end());
                const time_point begin = ends.size() < slots ? now : ends[ends.size() - slots];
                ends.push_back(begin + work);
                engine_reply reply = keep_open(make_response(request, 200, "done", brittle_field));
                reply.delay = ends.back() - now;
                return reply;
            }
            ++all_rejections;
            rejections.push_back(now);
            while (now - rejections.front() >= millis{1000})
            {
                rejections.pop_front();
            }
            if (rejections.size() > max_rejections)
            {
                ++falls;
                rejections.clear();
            }
            return keep_open(
                make_response(request, 503, {}, "X-Not-Executed: 1\r\n" + brittle_field));
        };
    }
};

/// Responses to requests that are open at the same time.
struct burst
{
    std::size_t sent = 0;
    std::vector<http_response> responses;

    void send(fleet& f, daemon::network_address router)
    {
        http_request request;
        request.method = "POST";
        request.target = "/o/x";
        request.fields = {{"Host", "t.example"},
                          {"X-Attempt-Id", "burst-" + std::to_string(++f.attempts)},
                          {"X-Deadline-Ms", "5000"},
                          {"Authorization", "Bearer key-1"}};
        ++sent;
        asio::co_spawn(f.context, f.exchange(std::move(router), std::move(request)),
                       [this](const std::exception_ptr& failure, http_response response)
                       {
                           REQUIRE_FALSE(failure);
                           responses.push_back(std::move(response));
                       });
    }

    awaitable<void> wait(fleet& f) const
    {
        while (responses.size() < sent)
        {
            co_await f.pause(10);
        }
    }

    std::size_t count(int status) const
    {
        return static_cast<std::size_t>(std::count_if(responses.begin(), responses.end(),
                                                      [&](const http_response& r)
                                                      { return r.status == status; }));
    }
};

void put_record(fleet& f, const std::string& id, std::uint16_t port)
{
    f.store.put("servers", id,
                R"({"service":"pool","address":"127.0.0.1:)" + std::to_string(port) +
                    R"(","zone":"zone-a","version":"v1","slots":4,"state":"ready",)" +
                    R"("cold_left_ms":0,"sequence":2})");
}

serving::response_info decode(daemon::http_fields fields)
{
    const serving::server_settings settings;
    asio::io_context context;
    const serving::platform_adapter adapter = platform::make_adapter(context, settings);
    http_response head;
    head.status = 200;
    head.fields = std::move(fields);
    return adapter.codec->decode_response(head, request_id("r"));
}

} // namespace

// Guards against endpoints that fail in turn because a router goes on sending them requests that
// they have to reject, and repeats each at the next one.
TEST_CASE("overload and less room do not make brittle endpoints fail")
{
    fleet f;
    brittle_engine first;
    brittle_engine second;
    put_record(f, "e1", f.add_engine("e1", first.respond()).port());
    put_record(f, "e2", f.add_engine("e2", second.respond()).port());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response served = co_await f.send_request("POST", "/o/x");
            REQUIRE(served.status == 200);
            burst load;
            for (int n = 0; n < 400; ++n)
            {
                if (n == 100)
                {
                    first.waiting = 0;
                    second.waiting = 0;
                }
                load.send(f, f.settings.callers);
                co_await f.pause(10);
            }
            co_await load.wait(f);
            CAPTURE(load.count(200), load.count(503), first.all_rejections, second.all_rejections);
            REQUIRE(first.falls == 0);
            REQUIRE(second.falls == 0);
            REQUIRE(load.count(200) >= 2 * (first.slots + second.slots));
            REQUIRE(load.count(200) + load.count(503) == load.sent);
            for (const http_response& response : load.responses)
            {
                if (response.status == 503)
                {
                    REQUIRE(response.body.find("\"not_run\"") != std::string::npos);
                    REQUIRE_FALSE(daemon::find_field(response.fields, "Retry-After").empty());
                }
            }
        });
}

// Guards against a router that fills an endpoint with requests because it has had no answer that
// says that the service is brittle.
TEST_CASE("a router learns from the others that a service is brittle")
{
    fleet f;
    brittle_engine engine;
    engine.slots = 0;
    engine.waiting = 0;
    put_record(f, "e1", f.add_engine("e1", engine.respond()).port());
    f.start_router();
    serving::server_settings other;
    const std::unique_ptr<serving::server> second =
        f.start_second_router(name_below(f.settings.name), other);
    f.run(
        [&]() -> awaitable<void>
        {
            http_response response = co_await f.get(other.readiness, "/v1/readyz");
            while (response.status != 200)
            {
                co_await f.pause(20);
                response = co_await f.get(other.readiness, "/v1/readyz");
            }
            co_await f.pause(1000);
            response = co_await f.send_request("POST", "/o/x");
            REQUIRE(response.status == 503);
            // Within contact_ms.
            co_await f.pause(3000);
            const std::size_t before = engine.all_rejections;
            burst load;
            for (int n = 0; n < 20; ++n)
            {
                load.send(f, other.callers);
            }
            co_await load.wait(f);
            REQUIRE(load.count(503) == load.sent);
            // One half of what the endpoint tolerates.
            REQUIRE(engine.all_rejections - before == max_rejections / 2);
            REQUIRE(engine.falls == 0);
        });
}

// Guards against limits from malformed fields.
TEST_CASE("limits of rejections are decoded from positive numbers only")
{
    REQUIRE(decode({{"server-brittle", " 12 "}}).max_rejections_per_s == 12U);
    REQUIRE_FALSE(decode({}).max_rejections_per_s);
    REQUIRE_FALSE(decode({}).malformed_notice);
    for (const char* value : {"", "0", "-1", "1.5", "x", "1, 2", "99999999999"})
    {
        const serving::response_info info = decode({{"Server-Brittle", value}});
        CAPTURE(value);
        REQUIRE_FALSE(info.max_rejections_per_s);
        REQUIRE(info.malformed_notice);
    }
    const serving::response_info repeated =
        decode({{"Server-Brittle", "9"}, {"Server-Brittle", "5"}, {"Server-Brittle", "?"}});
    REQUIRE(repeated.max_rejections_per_s == 5U);
    REQUIRE(repeated.malformed_notice);
}
