// Fault: one part of a prompt crashes every engine that begins to write an answer on it.

#include "platform_fleet.hpp"

#include <endivestage/serving/quarantine_rows.hpp>
#include <endivestage/serving/server.hpp>
#include <standin/platform_engine.hpp>

#include <catch2/catch.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

using namespace endivestage;
using namespace endivestage::test;
namespace asio = boost::asio;

namespace
{

constexpr int engine_count = 3;
constexpr std::string_view deadly_part = "dead:165";
/// Crashes after which the part has to be known.
constexpr int crashes_until_known = 5;
/// Within this time all routers have to know what one of them has seen.
constexpr std::int64_t contact_ms = 3000;

bool has_deadly_part(std::string_view prompt)
{
    return prompt.find(deadly_part) != std::string_view::npos;
}

/// Engines that crash before they answer prompts that \p crashes_on selects. A crashed engine is
/// replaced by one with another id.
class crashing_pool
{
public:
    /// \param last_words Makes what an engine sends before it crashes; nothing without it.
    explicit crashing_pool(fleet& f,
                           std::function<bool(std::string_view)> crashes_on = has_deadly_part,
                           std::function<std::string(const http_request&)> last_words = {})
        : fleet_(f),
          crashes_on_(std::move(crashes_on)),
          last_words_(std::move(last_words))
    {
        for (int n = 0; n < engine_count; ++n)
        {
            add_engine();
        }
    }

    /// \returns Number of requests that reached an engine and crashed it.
    int crashes() const { return crashes_; }

private:
    void add_engine()
    {
        const std::string id = "e" + std::to_string(++added_);
        const std::size_t index = fleet_.engines.size();
        fleet_.add_engine(id, [this, id, index](const http_request& request)
                          { return respond(request, id, index); });
    }

    engine_reply respond(const http_request& request, const std::string& id, std::size_t index)
    {
        const std::string_view prompt = daemon::find_field(request.fields, "X-Prefix-Hash");
        if (!crashes_on_(prompt))
        {
            return keep_open(standin::make_stream_head(request) + standin::make_event_chunk(1) +
                             standin::last_chunk);
        }
        ++crashes_;
        engine_reply reply{{}, millis{0}, engine_reply::connection_action::close};
        if (last_words_)
        {
            fleet_.engines[index]->stop();
            reply.pieces.push_back(last_words_(request));
        }
        else
        {
            fleet_.engines[index]->crash();
        }
        fleet_.store.erase("servers", id);
        add_engine();
        return reply;
    }

    fleet& fleet_;
    std::function<bool(std::string_view)> crashes_on_;
    std::function<std::string(const http_request&)> last_words_;
    int added_ = 0;
    int crashes_ = 0;
};

/// \returns A response with status 0 when its connection ended before the response was complete.
awaitable<http_response> send_prompt(fleet& f, daemon::network_address router, std::string target,
                                     std::string prompt)
{
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.fields = {{"Host", "t.example"},
                      {"X-Attempt-Id", "prompt-" + std::to_string(++f.attempts)},
                      {"X-Deadline-Ms", "5000"},
                      {"Authorization", "Bearer key-1"},
                      {"X-Prefix-Hash", std::move(prompt)}};
    co_return co_await f.exchange(std::move(router), std::move(request));
}

/// \returns A prompt of two shared parts and one of its own; \p middle is put before the last part.
std::string make_prompt(int n, const std::string& middle = {})
{
    return "aa:2600,bb:2850," + (middle.empty() ? middle : middle + ",") + "c" + std::to_string(n) +
           ":200";
}

std::string make_deadly_prompt(int n)
{
    return make_prompt(n, std::string(deadly_part));
}

/// Gives the routers time to see the records of new engines.
constexpr std::int64_t replacement_ms = 200;

} // namespace

// Guards against one prompt part crashing engine after engine: once it is known, requests with it
// are refused without reaching an engine, and requests with the other parts are served.
TEST_CASE("a prompt part that crashed five engines reaches no other engine")
{
    const std::string target = GENERATE("/s/", "/r/");
    fleet f;
    crashing_pool pool(f);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            int n = 0;
            const http_response before =
                co_await send_prompt(f, f.settings.callers, target, make_prompt(++n));
            REQUIRE(before.status == 200);
            for (int sent = 0; sent < crashes_until_known && pool.crashes() < crashes_until_known;
                 ++sent)
            {
                co_await send_prompt(f, f.settings.callers, target, make_deadly_prompt(++n));
                co_await f.pause(replacement_ms);
            }
            const int crashes = pool.crashes();
            REQUIRE(crashes >= 1);
            for (int round = 0; round < 4; ++round)
            {
                const http_response refused =
                    co_await send_prompt(f, f.settings.callers, target, make_deadly_prompt(++n));
                REQUIRE(pool.crashes() == crashes);
                REQUIRE(refused.status >= 400);
                REQUIRE(refused.body.find("not_run") != std::string::npos);
                const http_response sound =
                    co_await send_prompt(f, f.settings.callers, target, make_prompt(++n));
                REQUIRE(sound.status == 200);
            }
        });
}

// Guards against a deadly part that escapes because its engines crash after they have sent the head
// or the first event of the answer, or because a continued stream got events from its first engine.
TEST_CASE("a prompt part that crashes engines after their first event is found as well")
{
    const std::string target = GENERATE("/s/", "/r/");
    const std::string events =
        GENERATE(std::string(), standin::make_event_chunk(1), std::string("a\r\nid: 1\ndata"),
                 standin::make_event_chunk(1) + "a\r\nid: 2\ndata");
    CAPTURE(target, events);
    fleet f;
    crashing_pool pool(f, has_deadly_part,
                       [&](const http_request& request)
                       { return standin::make_stream_head(request) + events; });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            int n = 0;
            for (int sent = 0; sent < crashes_until_known && pool.crashes() < crashes_until_known;
                 ++sent)
            {
                co_await send_prompt(f, f.settings.callers, target, make_deadly_prompt(++n));
                co_await f.pause(replacement_ms);
            }
            const int crashes = pool.crashes();
            const http_response refused =
                co_await send_prompt(f, f.settings.callers, target, make_deadly_prompt(++n));
            REQUIRE(pool.crashes() == crashes);
            REQUIRE(refused.body.find("not_run") != std::string::npos);
            const http_response sound =
                co_await send_prompt(f, f.settings.callers, target, make_prompt(++n));
            REQUIRE(sound.status == 200);
        });
}

// Guards against refusing sound requests of the same caller: until the engines crash, no request
// has shown that the parts beside the deadly one are harmless.
TEST_CASE("parts that only came beside a deadly part are not refused without it")
{
    fleet f;
    crashing_pool pool(f);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            int n = 0;
            for (int sent = 0; sent < crashes_until_known; ++sent)
            {
                co_await send_prompt(f, f.settings.callers, "/s/", make_deadly_prompt(++n));
                co_await f.pause(replacement_ms);
            }
            const int crashes = pool.crashes();
            for (int round = 0; round < 4; ++round)
            {
                const http_response sound =
                    co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
                REQUIRE(sound.status == 200);
                co_await send_prompt(f, f.settings.callers, "/s/", make_deadly_prompt(++n));
                REQUIRE(pool.crashes() == crashes);
            }
        });
}

// Guards against each router learning a deadly part by crashes of its own.
TEST_CASE("routers refuse a prompt part after crashes that other routers saw")
{
    fleet f;
    crashing_pool pool(f);
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            second = f.start_second_router(router_id("r2"), other);
            http_response ready;
            ready.status = 0;
            while (ready.status != 200)
            {
                co_await f.pause(10);
                ready = co_await f.get(other.readiness, "/v1/readyz");
            }
            co_await f.pause(replacement_ms);
            int n = 0;
            for (int sent = 0; sent < crashes_until_known; ++sent)
            {
                co_await send_prompt(f, f.settings.callers, "/s/", make_deadly_prompt(++n));
                co_await f.pause(replacement_ms);
            }
            co_await f.pause(contact_ms);
            const int crashes = pool.crashes();
            REQUIRE(crashes >= 1);
            const http_response refused =
                co_await send_prompt(f, other.callers, "/s/", make_deadly_prompt(++n));
            REQUIRE(pool.crashes() == crashes);
            REQUIRE(refused.body.find("not_run") != std::string::npos);
            const http_response sound =
                co_await send_prompt(f, other.callers, "/s/", make_prompt(++n));
            REQUIRE(sound.status == 200);
        });
}

// Guards against refusing a chat because engines crashed under it for another reason: an engine has
// begun to answer on all of its parts, so none of them is deadly.
TEST_CASE("a prompt that engines have answered is not refused after crashes")
{
    fleet f;
    bool crash = false;
    crashing_pool pool(f, [&](std::string_view) { return crash; });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            int n = 0;
            const http_response before =
                co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
            REQUIRE(before.status == 200);
            crash = true;
            for (int sent = 0; sent < crashes_until_known; ++sent)
            {
                const http_response failed =
                    co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
                REQUIRE(failed.status == 502);
                co_await f.pause(replacement_ms);
            }
            REQUIRE(pool.crashes() == crashes_until_known);
            crash = false;
            const http_response after =
                co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
            REQUIRE(after.status == 200);
        });
}

namespace
{

const std::string deadly_row = serving::quarantine_row_key(hash64("dead"));

} // namespace

// Guards against a deadly part that crashes several engines anew whenever all routers restart
// together: what they know must be in the store.
TEST_CASE("a prompt part stays quarantined when all routers restart")
{
    std::string stored;
    {
        fleet f;
        crashing_pool pool(f);
        f.start_router();
        f.run(
            [&]() -> awaitable<void>
            {
                int n = 0;
                const http_response before =
                    co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
                REQUIRE(before.status == 200);
                for (int sent = 0; sent < crashes_until_known; ++sent)
                {
                    co_await send_prompt(f, f.settings.callers, "/s/", make_deadly_prompt(++n));
                    co_await f.pause(replacement_ms);
                }
                co_await f.pause(contact_ms);
                stored = f.store.get("endivestage-routers", deadly_row);
            });
    }
    REQUIRE_FALSE(stored.empty());
    fleet f;
    crashing_pool pool(f);
    f.store.put("endivestage-routers", deadly_row, stored);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            int n = 100;
            const http_response sound =
                co_await send_prompt(f, f.settings.callers, "/s/", make_prompt(++n));
            REQUIRE(sound.status == 200);
            co_await f.pause(replacement_ms * 2);
            const http_response refused =
                co_await send_prompt(f, f.settings.callers, "/s/", make_deadly_prompt(++n));
            REQUIRE(pool.crashes() == 0);
            REQUIRE(refused.body.find("not_run") != std::string::npos);
        });
}

// Guards against a row that cannot be read ending a router, or being taken for a router.
TEST_CASE("unreadable records of quarantines are ignored")
{
    const std::string data =
        GENERATE("", "{", "{}", R"({"crashes":[1]})", R"({"crashes":[{"crash":1,"age_ms":-5}]})");
    fleet f;
    f.add_engine("e1", respond_ok());
    f.store.put("endivestage-routers", deadly_row, data);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response served = co_await f.send_request("POST", "/o/");
            REQUIRE(served.status == 200);
        });
}
