// A table service that is restored from an older copy: rows are gone, revisions are given out again
// and the era rises.

#include "platform_fleet.hpp"

#include <platform/store_client.hpp>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

/// Longer than the pause after a change and a poll.
constexpr std::int64_t change_ms = 1500;

/// \returns The configuration of the fixture in a version, without the key or with it.
std::string make_configuration(int version, bool with_key)
{
    std::string text = configuration;
    text.replace(text.find("\"version\":3"), 11, "\"version\":" + std::to_string(version));
    if (!with_key)
    {
        text.replace(text.find("[\"key-1\"]"), 9, "[]");
    }
    return text;
}

/// Changes rows of an endpoint that is no target, which uses up revisions of the store.
void use_revisions(fleet& f, int count)
{
    for (int n = 0; n < count; ++n)
    {
        f.store.put("servers", "beat", std::to_string(n));
    }
}

/// How the revisions of a restored store compare with that of the routers' copies.
enum class revisions
{
    behind,      ///< Not yet given out again: feeds get 410.
    given_again, ///< Given out again to other rows: feeds get 200.
};

} // namespace

// Guards against routers that go on from a revision of an earlier era and never read what was
// written under the numbers before it: a withdrawn key is served without end (review/11).
TEST_CASE("a key that is withdrawn after a restore of the store is refused")
{
    const revisions compared = GENERATE(revisions::behind, revisions::given_again);
    CAPTURE(static_cast<int>(compared));
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    use_revisions(f, 10);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(change_ms);
            const std::uint64_t calls_before = f.store.calls();
            f.store.restore();
            f.store.put("op", "config", make_configuration(4, false));
            if (compared == revisions::given_again)
            {
                use_revisions(f, 20);
            }
            co_await f.pause(change_ms);
            const http_response refused = co_await f.send_request("GET", "/o/x");
            REQUIRE(refused.status == 401);
            // Guards against calls without a pause to a store that does not have what is asked for.
            REQUIRE(f.store.calls() - calls_before < 20);
        });
}

// Guards against a copy that takes the row of another era for its own, because both have the same
// revision.
TEST_CASE("a revision that was given out twice does not hide the later row")
{
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    f.store.put("op", "config", make_configuration(4, true));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.store.restore();
            f.store.put("op", "config", make_configuration(5, false));
            co_await f.pause(change_ms);
            const http_response refused = co_await f.send_request("GET", "/o/x");
            REQUIRE(refused.status == 401);
        });
}

// Guards against keys that are served again after a restore, until the operator has written its
// configuration again.
TEST_CASE("the configuration in force is not replaced by an older one of the restored store")
{
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    f.store.put("op", "config", make_configuration(4, false));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response before = co_await f.send_request("GET", "/o/x");
            REQUIRE(before.status == 401);
            f.store.restore();
            for (int n = 0; n < 6; ++n)
            {
                co_await f.pause(change_ms / 6);
                const http_response after = co_await f.send_request("GET", "/o/x");
                REQUIRE(after.status == 401);
            }
        });
}

// Guards against followers that keep the rows of an earlier era because their relay's revisions are
// lower, and against followers that read the store in its place.
TEST_CASE("a router that follows a relay takes the rows of a later era")
{
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            second = f.start_second_router(name_below(f.settings.name), other);
            co_await f.pause(4000);
            f.store.keep_copy();
            use_revisions(f, 10);
            co_await f.pause(change_ms);
            const std::uint64_t calls_before = f.store.calls();
            f.store.restore();
            f.store.put("op", "config", make_configuration(4, false));
            co_await f.pause(change_ms);
            REQUIRE(f.store.calls() - calls_before < 20);
            for (const daemon::network_address& callers : {f.settings.callers, other.callers})
            {
                f.settings.callers = callers;
                const http_response refused = co_await f.send_request("GET", "/o/x");
                REQUIRE(refused.status == 401);
            }
        });
}

// Guards against the loss of routers from the others' lists: a router writes its row once, and a
// restored store may have lost it.
TEST_CASE("a router writes its row again when a restored store has lost it")
{
    fleet f;
    f.store.era = 1;
    f.store.keep_copy();
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(change_ms);
            REQUIRE_FALSE(f.store.get("endivestage-routers", "r1").empty());
            f.store.restore();
            REQUIRE(f.store.get("endivestage-routers", "r1").empty());
            co_await f.pause(change_ms);
            REQUIRE_FALSE(f.store.get("endivestage-routers", "r1").empty());
        });
}

namespace
{

constexpr const char* zone_key = "evacuate/zone-a";

/// Restores the store in a fleet with one endpoint, and answers whether a request was served then.
awaitable<bool> is_served(fleet& f)
{
    const http_response response = co_await f.send_request("GET", "/o/x");
    co_return response.status == 200;
}

} // namespace

// Guards against requests to a zone that was taken out of service, because a restored store has
// lost the order and the operator has not written it again yet.
TEST_CASE("a zone stays out of service when a restored store has lost the order")
{
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    f.store.put("op", zone_key, "{}");
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(change_ms);
            bool served = co_await is_served(f);
            REQUIRE_FALSE(served);
            f.store.restore();
            co_await f.pause(change_ms / 2);
            served = co_await is_served(f);
            REQUIRE_FALSE(served);
            f.store.put("op", zone_key, "{}");
            co_await f.pause(2 * change_ms);
            served = co_await is_served(f);
            REQUIRE_FALSE(served);
            // Taken back within the era.
            f.store.erase("op", zone_key);
            co_await f.pause(change_ms);
            served = co_await is_served(f);
            REQUIRE(served);
        });
}

// Guards against zones that stay out of service for good when the order is not written again.
TEST_CASE("a zone whose order is not written again after a restore returns to service")
{
    fleet f;
    f.store.era = 1;
    f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    f.store.put("op", zone_key, "{}");
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(change_ms);
            f.store.restore();
            co_await f.pause(3 * change_ms);
            const bool served = co_await is_served(f);
            REQUIRE(served);
        });
}

// Guards against requests to an endpoint that has left or is leaving, because a restored store
// lists it as it was before.
TEST_CASE("an endpoint that was leaving or gone gets no requests after a restore of the store")
{
    const bool gone = GENERATE(true, false);
    CAPTURE(gone);
    fleet f;
    f.store.era = 1;
    standin::platform_engine& leaving = f.add_engine("e1", respond_ok());
    f.store.keep_copy();
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(change_ms);
            if (gone)
            {
                f.store.erase("servers", "e1");
            }
            else
            {
                f.put_engine_record("e1", leaving.port(), "draining");
            }
            co_await f.pause(change_ms);
            bool served = co_await is_served(f);
            REQUIRE_FALSE(served);
            f.store.restore();
            for (int n = 0; n < 4; ++n)
            {
                co_await f.pause(change_ms / 2);
                served = co_await is_served(f);
                REQUIRE_FALSE(served);
            }
            // It was not leaving after all: it goes on renewing its record.
            co_await f.pause(4 * change_ms);
            served = co_await is_served(f);
            REQUIRE(served);
        });
}

// Guards against a deadly part of prompts that is free again, and against versions of a service
// that are forgotten: routers write these rows, and a restored store has lost them.
TEST_CASE("routers write quarantines and versions again that a restored store has lost")
{
    fleet f;
    f.store.era = 1;
    f.store.keep_copy();
    f.add_engine("e1", respond_ok());
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const std::string key = "quarantine/77";
            f.store.put("endivestage-routers", key,
                        R"({"crashes":[{"crash":7,"age_ms":50},{"crash":6,"age_ms":70},
                                       {"crash":5,"age_ms":90}]})");
            co_await f.pause(2 * change_ms);
            REQUIRE_FALSE(f.store.get("endivestage-routers", "versions/pool").empty());
            f.store.restore();
            REQUIRE(f.store.get("endivestage-routers", "versions/pool").empty());
            f.put_engine_record("e1", f.engines.front()->port(), "ready");
            co_await f.pause(3 * change_ms);
            REQUIRE_FALSE(f.store.get("endivestage-routers", "versions/pool").empty());
            REQUIRE(f.store.get("endivestage-routers", key).find("\"crash\":7") !=
                    std::string::npos);
        });
}

namespace
{

using batch_result = result<serving::timestamped_batch>;

batch_result call(asio::io_context& context, daemon::awaitable<batch_result> pending)
{
    batch_result outcome = std::make_error_code(std::errc::timed_out);
    asio::co_spawn(context, std::move(pending),
                   [&](const std::exception_ptr&, batch_result batch)
                   {
                       outcome = std::move(batch);
                       context.stop();
                   });
    context.restart();
    context.run_for(test_timeout);
    return outcome;
}

} // namespace

// Guards against a late response of an earlier era that is taken for the latest rows, and against a
// store without eras that is refused.
TEST_CASE("a response of an earlier era counts as failed, one without an era does not")
{
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    store.put("op", "config", "{}");
    platform::store_client client(context.get_executor(), {"127.0.0.1", store.port()});
    store.era = 2;
    const batch_result latest = call(context, client.list(serving::shared_table::operations));
    REQUIRE(latest.has_value());
    REQUIRE(latest->batch.era == 2);
    store.era = 1;
    const batch_result earlier = call(context, client.list(serving::shared_table::operations));
    REQUIRE(earlier.has_error());
    REQUIRE(earlier.error() == errc::store_unavailable);
    store.era = 0;
    const batch_result unstated = call(context, client.list(serving::shared_table::operations));
    REQUIRE(unstated.has_value());
    REQUIRE(unstated->batch.era == 2);
}
