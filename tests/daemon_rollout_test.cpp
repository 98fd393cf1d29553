// Roll-outs with real routers, the store's stand-in and engines of two versions. Guards against
// orders that have no effect, bad versions that stay, and requests that run on a version which no
// order allows.

#include "platform_fleet.hpp"

#include <endivestage/daemon/process_clock.hpp>

#include <boost/asio/detached.hpp>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

using standin::platform_engine;

/// A fleet whose service has engines of two versions, and callers that send without a pause.
struct versioned_fleet : fleet
{
    versioned_fleet()
    {
        add_version("old-1", "v1", respond_ok());
        add_version("old-2", "v1", respond_ok());
    }

    platform_engine& add_version(const std::string& id, const std::string& version,
                                 platform_engine::response_function respond)
    {
        platform_engine& engine = add_engine(id, std::move(respond));
        store.put("servers", id,
                  R"({"service":"pool","address":"127.0.0.1:)" + std::to_string(engine.port()) +
                      R"(","zone":"zone-a","version":")" + version +
                      R"(","slots":64,"state":"ready","cold_left_ms":0,"sequence":1})");
        return engine;
    }

    void order(const std::string& to, int seconds)
    {
        store.put("op", "rollout/pool",
                  R"({"service":"pool","to":")" + to + R"(","duration_s":)" +
                      std::to_string(seconds) + "}");
    }

    std::string status() const { return store.get("status", "rollout/pool"); }

    awaitable<void> send_all(std::string path)
    {
        while (sending)
        {
            // No chat: each request is assigned to a version by its own id.
            http_request request;
            request.target = path;
            request.fields.emplace_back("Host", "t.example");
            request.fields.emplace_back("X-Attempt-Id", "id-" + std::to_string(++attempts));
            request.fields.emplace_back("X-Deadline-Ms", "1400");
            request.fields.emplace_back("Authorization", "Bearer key-1");
            co_await exchange(settings.callers, std::move(request));
            co_await pause(10);
        }
        --senders;
    }

    void start_callers()
    {
        for (const char* path : {"/i/a", "/i/b", "/o/a", "/o/b"})
        {
            ++senders;
            asio::co_spawn(context, send_all(path), asio::detached);
        }
    }

    awaitable<void> stop_callers()
    {
        sending = false;
        while (senders > 0)
        {
            co_await pause(10);
        }
    }

    /// Waits until the status row has a final state.
    awaitable<void> wait_decided()
    {
        while (status().find("completed") == std::string::npos &&
               status().find("reverted") == std::string::npos)
        {
            co_await pause(20);
        }
    }

    bool sending = true;
    int senders = 0;
};

engine_reply fail(const http_request& request)
{
    return keep_open(make_response(request, 500, "fault"));
}

/// Plays an order of 5 s for a version and returns its last status.
std::string play(versioned_fleet& f, platform_engine::response_function respond)
{
    const platform_engine& fresh = f.add_version("new-1", "v2", std::move(respond));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.order("v2", 5);
            co_await f.pause(200);
            f.start_callers();
            co_await f.wait_decided();
            const std::size_t olds =
                f.engines[0]->received().size() + f.engines[1]->received().size();
            const std::size_t news = fresh.received().size();
            co_await f.pause(300);
            const bool completed = f.status().find("completed") != std::string::npos;
            // Nothing goes to the version that was given up.
            CHECK((completed ? f.engines[0]->received().size() + f.engines[1]->received().size()
                             : fresh.received().size()) == (completed ? olds : news));
            co_await f.stop_callers();
            // What the command rollouts prints.
            daemon::network_address peer{f.settings.host, f.settings.peer_port};
            const http_response shown = co_await f.get(std::move(peer), "/v1/rollouts");
            const bool told =
                shown.body.find(completed ? R"("state":"completed")" : R"("state":"reverted")") !=
                std::string::npos;
            CHECK(told);
        });
    return f.status();
}

} // namespace

TEST_CASE("a good version gets all requests and the status row says completed")
{
    versioned_fleet f;
    REQUIRE(play(f, respond_ok()) == R"({"to":"v2","state":"completed"})");
}

TEST_CASE("bad versions are reverted")
{
    versioned_fleet f;
    const std::string reverted = R"({"to":"v2","state":"reverted"})";
    const daemon::process_clock clock;
    const time_point begin = clock.now();
    SECTION("failures")
    {
        REQUIRE(play(f, fail) == reverted);
    }
    SECTION("failures on one route only")
    {
        REQUIRE(play(f,
                     [](const http_request& request)
                     {
                         return request.target.starts_with("/o/")
                                    ? fail(request)
                                    : keep_open(make_response(request, 200, "done"));
                     }) == reverted);
    }
    SECTION("failures that begin after the switch")
    {
        REQUIRE(play(f,
                     [&](const http_request& request)
                     {
                         return clock.now() - begin > millis{4000}
                                    ? fail(request)
                                    : keep_open(make_response(request, 200, "done"));
                     }) == reverted);
    }
    SECTION("slow responses")
    {
        REQUIRE(play(f,
                     [](const http_request& request)
                     {
                         engine_reply reply = keep_open(make_response(request, 200, "done"));
                         reply.delay = millis{80};
                         return reply;
                     }) == reverted);
    }
    SECTION("connections that end without a response")
    {
        REQUIRE(play(f,
                     [](const http_request&) {
                         return engine_reply{{}, millis{0}, engine_reply::connection_action::close};
                     }) == reverted);
    }
}

// A deployment that never gets an order must neither change its choice nor pay for roll-outs.
TEST_CASE("without an order endpoints of all versions are used and nothing is written")
{
    versioned_fleet f;
    const platform_engine& fresh = f.add_version("new-1", "v2", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.start_callers();
            co_await f.pause(500);
            co_await f.stop_callers();
        });
    REQUIRE_FALSE(fresh.received().empty());
    REQUIRE(f.store.get("endivestage-routers", "rollout/pool").empty());
    REQUIRE(f.status().empty());
}

// A version must not come back when the routers that reverted it are gone.
TEST_CASE("a starting router reads the phase from the row")
{
    versioned_fleet f;
    REQUIRE(play(f, fail) == R"({"to":"v2","state":"reverted"})");
    const std::size_t before = f.engines[2]->received().size();
    serving::server_settings other;
    const std::unique_ptr<serving::server> second =
        f.start_second_router(name_below(f.settings.name), other);
    f.settings.callers = other.callers;
    f.settings.readiness = other.readiness;
    f.context.restart();
    f.run(
        [&]() -> awaitable<void>
        {
            f.sending = true;
            f.start_callers();
            co_await f.pause(500);
            co_await f.stop_callers();
        });
    REQUIRE(f.engines[2]->received().size() == before);
}

// Counts of routers that do not decide must reach the one that does: those of a relay by datagrams,
// those of a follower by its polls.
TEST_CASE("failures that only another router sees revert a version")
{
    versioned_fleet f;
    f.start_router();
    serving::server_settings other;
    serving::server_settings third;
    const router_id name = name_below(f.settings.name);
    const std::unique_ptr<serving::server> second = f.start_second_router(name, other);
    std::unique_ptr<serving::server> follower;
    bool relaying = true;
    SECTION("a relay") {}
    SECTION("a follower")
    {
        relaying = false;
        follower = f.start_second_router(router_id("r9"), third);
    }
    f.add_version("new-1", "v2", fail);
    const std::string wanted = relaying ? "endivestage_relaying 1" : "endivestage_relaying 0";
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(3000); // The routers find out which others live.
            std::vector<serving::server_settings> others{other};
            if (follower)
            {
                others = {f.settings, other, third};
            }
            bool found = false;
            for (const serving::server_settings& candidate : others)
            {
                const http_response metrics = co_await f.get(candidate.metrics, "/metrics");
                if (metrics.body.find(wanted) != std::string::npos)
                {
                    found = true;
                    f.settings.callers = candidate.callers;
                }
            }
            CHECK(found);
            f.order("v2", 5);
            f.start_callers();
            co_await f.wait_decided();
            co_await f.stop_callers();
        });
    REQUIRE(f.status() == R"({"to":"v2","state":"reverted"})");
}

// Guards against an order that is done twice, or forgotten, when the store comes back from an older
// copy: the record and the order are gone, and the operator writes the order again.
TEST_CASE("a roll-out that has ended stays ended after a restore of the store")
{
    versioned_fleet f;
    const platform_engine& fresh = f.add_version("new-1", "v2", fail);
    f.store.era = 1;
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(200);
            f.store.keep_copy();
            f.order("v2", 5);
            f.start_callers();
            co_await f.wait_decided();
            REQUIRE(f.status() == R"({"to":"v2","state":"reverted"})");
            const std::size_t before = fresh.received().size();
            f.store.restore();
            REQUIRE(f.status().empty());
            co_await f.pause(500);
            f.order("v2", 5);
            co_await f.wait_decided();
            REQUIRE(f.status() == R"({"to":"v2","state":"reverted"})");
            co_await f.pause(1500);
            REQUIRE(fresh.received().size() == before);
            // An order of the operator within the era is a new one.
            f.order("v3", 5);
            co_await f.pause(1500);
            REQUIRE(f.store.get("endivestage-routers", "rollout/pool").find("v3") !=
                    std::string::npos);
            co_await f.stop_callers();
        });
}

// Guards against a roll-out that never ends, because each of its writes has the condition of a row
// that a restored store does not have.
TEST_CASE("a roll-out goes on after a restore of the store")
{
    const bool order_lost = GENERATE(true, false);
    CAPTURE(order_lost);
    versioned_fleet f;
    f.add_version("new-1", "v2", respond_ok());
    f.store.era = 1;
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(200);
            if (order_lost)
            {
                f.store.keep_copy();
            }
            f.order("v2", 5);
            if (!order_lost)
            {
                f.store.keep_copy();
            }
            f.start_callers();
            co_await f.pause(1500);
            f.store.restore();
            co_await f.pause(300);
            if (order_lost)
            {
                f.order("v2", 5);
            }
            co_await f.wait_decided();
            REQUIRE(f.status() == R"({"to":"v2","state":"completed"})");
            co_await f.stop_callers();
        });
}
