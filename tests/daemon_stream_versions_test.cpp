// Streams of a service whose endpoints run two versions: a stream goes on only at the version that
// began it, within one response and when its caller takes it up at any router.

#include "platform_fleet.hpp"

#include <set>

using namespace endivestage;
using namespace endivestage::test;
using standin::make_chunk;

namespace
{

constexpr int last_event = 6;

std::string make_events(const std::string& version, int from, int to)
{
    std::string events;
    for (int id = from; id <= to; ++id)
    {
        events += "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
    }
    return events;
}

/// A new stream ends after two events; one that is taken up is completed.
/// \param end_of_new What follows the two events.
standin::platform_engine::response_function respond_in_parts(
    const std::string& version,
    engine_reply::connection_action end_of_new = engine_reply::connection_action::close)
{
    return [version, end_of_new](const http_request& request)
    {
        const int last = standin::last_event_id(request);
        engine_reply reply;
        reply.pieces = {standin::make_stream_head(request)};
        if (last == 0)
        {
            reply.pieces.push_back(make_chunk(make_events(version, 1, 2)));
            reply.final_action = end_of_new;
            reply.delay = millis{5};
            return reply;
        }
        reply.pieces.push_back(make_chunk(make_events(version, last + 1, last_event)));
        reply.pieces.emplace_back(standin::last_chunk);
        return reply;
    };
}

/// A new stream stays open after two events, so that its caller leaves.
standin::platform_engine::response_function respond_and_hang(const std::string& version)
{
    return respond_in_parts(version, engine_reply::connection_action::hang);
}

/// \returns The versions in the events of a stream, without repetition.
std::set<std::string> versions_in(const std::string& events)
{
    std::set<std::string> found;
    constexpr std::string_view prefix = "data: ";
    for (std::size_t at = events.find(prefix); at != std::string::npos;
         at = events.find(prefix, at + 1))
    {
        const std::size_t from = at + prefix.size();
        found.insert(events.substr(from, events.find('\n', from) - from));
    }
    return found;
}

struct versioned_fleet : fleet
{
    standin::platform_engine& add(const std::string& id, const std::string& version,
                                  standin::platform_engine::response_function respond)
    {
        standin::platform_engine& engine = add_engine(id, std::move(respond));
        put_record(id, engine.port(), version);
        return engine;
    }

    /// \param version Not stated in the record if it is empty.
    void put_record(const std::string& id, std::uint16_t port, const std::string& version,
                    std::int64_t born = 1000, const std::string& service = "pool")
    {
        const std::string stated = version.empty() ? "" : R"("version":")" + version + R"(",)";
        store.put("servers", id,
                  R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
                      std::to_string(port) + R"(","zone":"zone-a",)" + stated +
                      R"("slots":64,"state":"ready",)" + R"("born":)" + std::to_string(born) +
                      R"(,"cold_left_ms":0,"sequence":1})");
    }

    /// \returns The position of the engine that received an attempt.
    std::size_t find_engine(const std::string& attempt) const
    {
        for (std::size_t n = 0; n < engines.size(); ++n)
        {
            for (const http_request& request : engines[n]->received())
            {
                if (standin::request_id(request) == attempt)
                {
                    return n;
                }
            }
        }
        FAIL("no engine received the attempt");
        return 0;
    }

    std::size_t received() const
    {
        std::size_t sum = 0;
        for (const std::unique_ptr<standin::platform_engine>& engine : engines)
        {
            sum += engine->received().size();
        }
        return sum;
    }
};

/// What a caller sends along to take a stream up.
struct take_up
{
    // Not an aggregate, which g++ 12 destroys twice in a co_await expression.
    // NOLINTNEXTLINE(google-explicit-constructor)
    take_up(std::string first, daemon::http_fields others = {})
        : first_attempt(std::move(first)),
          more(std::move(others))
    {
    }

    std::string first_attempt; ///< Empty to leave it out.
    int last_event_id = 2;
    daemon::http_fields more;
};

http_request make_stream_request(const std::string& attempt, const std::string& chat)
{
    http_request request;
    request.method = "POST";
    request.target = "/r/x";
    request.fields = {{"Host", "t.example"},
                      {"X-Attempt-Id", attempt},
                      {"Authorization", "Bearer key-1"},
                      {"X-Prefix-Hash", "aa:800," + chat + ":400," + attempt + ":20"}};
    return request;
}

/// Receives events until there are two, and closes the connection then.
awaitable<std::string> begin_stream(fleet& f, http_request request)
{
    daemon::http_connection caller(f.context.get_executor());
    const std::error_code ec =
        co_await caller.connect(f.settings.callers, millis{1000}, millis{1000});
    REQUIRE_FALSE(ec);
    caller.send(std::move(request));
    result<http_response> head = co_await caller.read_head(millis{5000});
    REQUIRE(head.has_value());
    REQUIRE(head->status == 200);
    std::string events;
    while (events.find("id: 2") == std::string::npos)
    {
        result<std::string> bytes = co_await caller.read_some(millis{5000});
        REQUIRE(bytes.has_value());
        events += *bytes;
    }
    caller.close();
    co_return events;
}

awaitable<http_response> take_up_at(fleet& f, daemon::network_address router, std::string attempt,
                                    std::string chat, take_up taken)
{
    http_request request = make_stream_request(attempt, chat);
    request.fields.emplace_back("Last-Event-Id", std::to_string(taken.last_event_id));
    if (!taken.first_attempt.empty())
    {
        request.fields.emplace_back("Resumes", taken.first_attempt);
    }
    for (const std::pair<std::string, std::string>& field : taken.more)
    {
        request.fields.push_back(field);
    }
    co_return co_await f.exchange(std::move(router), std::move(request));
}

} // namespace

// Guards against streams joined from two versions: after an endpoint broke off in the middle of a
// stream, the router went on at another endpoint, whatever its version.
TEST_CASE("a stream does not go on at another version within one response")
{
    versioned_fleet f;
    f.add("e1", "v1", respond_in_parts("v1"));
    f.add("e2", "v2", respond_in_parts("v2"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const received_stream received = co_await receive_stream(f, "/r/x");
            REQUIRE(received.status == 200);
            REQUIRE_FALSE(received.complete);
            REQUIRE(versions_in(received.events).size() == 1);
            REQUIRE(f.received() == 1);
        });
}

// Guards against streams that are cut although another endpoint of their version serves.
TEST_CASE("a stream goes on at another endpoint of its version within one response")
{
    versioned_fleet f;
    for (const std::string version : {"v1", "v2"})
    {
        f.add("a-" + version, version, respond_in_parts(version));
        f.add("b-" + version, version, respond_in_parts(version));
    }
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 8; ++n)
            {
                const received_stream received = co_await receive_stream(f, "/r/x");
                REQUIRE(received.complete);
                REQUIRE(versions_in(received.events).size() == 1);
            }
        });
}

// Guards against streams joined from two versions: a caller took a stream up at another router,
// which placed it at an endpoint of any version.
TEST_CASE("a stream is taken up at the version that began it, at any router")
{
    versioned_fleet f;
    const std::vector<std::pair<std::string, std::string>> ids{
        {"a-v1", "v1"}, {"b-v1", "v1"}, {"a-v2", "v2"}, {"b-v2", "v2"}};
    for (const std::pair<std::string, std::string>& entry : ids)
    {
        f.add(entry.first, entry.second, respond_and_hang(entry.second));
    }
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            second = f.start_second_router(name_below(f.settings.name), other);
            co_await f.pause(1500);
            std::set<std::string> versions;
            for (int n = 0; n < 6; ++n)
            {
                const std::string attempt = "first-" + std::to_string(n);
                const std::string chat = "c" + std::to_string(n);
                const std::string began =
                    co_await begin_stream(f, make_stream_request(attempt, chat));
                const std::size_t used = f.find_engine(attempt);
                f.store.erase("servers", ids[used].first);
                co_await f.pause(800);
                const http_response taken =
                    co_await take_up_at(f, n % 2 == 0 ? other.callers : f.settings.callers,
                                        "next-" + std::to_string(n), chat, take_up(attempt));
                REQUIRE(taken.status == 200);
                REQUIRE(versions_in(began) == versions_in(taken.body));
                versions.merge(versions_in(began));
                f.put_record(ids[used].first, f.engines[used]->port(), ids[used].second);
                co_await f.pause(500);
            }
            REQUIRE(versions.size() == 2);
        });
}

// Guards against a guess where the version is unknown and several serve: the name of the first
// attempt is missing, malformed, said twice, or of a stream that no router knows.
TEST_CASE("a stream of unknown origin is refused at once while two versions serve")
{
    versioned_fleet f;
    f.add("e1", "v1", respond_in_parts("v1"));
    f.add("e2", "v2", respond_in_parts("v2"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const std::vector<take_up> unknown{
                take_up(""),
                take_up("never-seen"),
                take_up("two words"),
                take_up("first", {{"Resumes", "second"}}),
                take_up(std::string(600, 'x')),
                take_up("never-seen", {{"Last-Event-Id", "3"}}),
            };
            int n = 0;
            for (const take_up& taken : unknown)
            {
                CAPTURE(n);
                const http_response refused = co_await take_up_at(
                    f, f.settings.callers, "next-" + std::to_string(++n), "c1", taken);
                REQUIRE(refused.status == 503);
                REQUIRE(refused.body.find("not_run") != std::string::npos);
            }
            REQUIRE(f.received() == 0);
        });
}

// Guards against a version of another service: the first attempt that the caller names ran there.
// The stream itself must still go on afterwards.
TEST_CASE("a stream of another service is unknown")
{
    versioned_fleet f;
    std::string changed = configuration;
    const std::string route =
        R"({"name":"other","host":"t.example","path_prefix":"/other/","route_type":"streaming",)"
        R"("timeout_ms":6000,"slo_ms":800,"priority":0,"service":"second","max_attempts":2,)"
        R"("anonymous":false,"sticky":true,"resumable":true},)";
    changed.insert(changed.find(R"({"name":"once")"), route);
    f.store.put("op", "config", changed);
    f.add("a-v1", "v1", respond_and_hang("v1"));
    f.add("a-v2", "v2", respond_and_hang("v2"));
    const std::uint16_t one = f.add("b-v1", "v1", respond_in_parts("v1")).port();
    const std::uint16_t two = f.add("b-v2", "v2", respond_in_parts("v2")).port();
    f.put_record("b-v1", one, "v1", 1000, "second");
    f.put_record("b-v2", two, "v2", 1000, "second");
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const std::string began = co_await begin_stream(f, make_stream_request("first", "c1"));
            http_request foreign = make_stream_request("next-1", "c1");
            foreign.target = "/other/x";
            foreign.fields.emplace_back("Last-Event-Id", "2");
            foreign.fields.emplace_back("Resumes", "first");
            const http_response refused =
                co_await f.exchange(f.settings.callers, std::move(foreign));
            REQUIRE(refused.status == 503);
            const http_response taken =
                co_await take_up_at(f, f.settings.callers, "next-2", "c1", take_up("first"));
            REQUIRE(taken.status == 200);
            REQUIRE(versions_in(began) == versions_in(taken.body));
        });
}

// Guards against refusing what cannot go wrong: with one version every stream can be taken up.
TEST_CASE("a stream of unknown origin goes on while one version serves")
{
    versioned_fleet f;
    f.add("e1", "v1", respond_in_parts("v1"));
    f.add("e2", "v1", respond_in_parts("v1"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response taken =
                co_await take_up_at(f, f.settings.callers, "next", "c1", take_up("never-seen"));
            REQUIRE(taken.status == 200);
            REQUIRE(taken.body.find("id: 6") != std::string::npos);
        });
}

// Guards against take-ups at the new version after all routers were killed: the old version's
// endpoints left meanwhile, so the tables of the started routers show the new version only.
TEST_CASE("a started router knows of a version whose endpoints left before its start")
{
    versioned_fleet f;
    f.add("e1", "v1", respond_in_parts("v1"));
    f.start_router();
    serving::server_settings other;
    std::unique_ptr<serving::server> second;
    f.run(
        [&]() -> awaitable<void>
        {
            co_await f.pause(1500);
            f.store.erase("servers", "e1");
            f.add("e2", "v2", respond_in_parts("v2"));
            co_await f.pause(1000);
            second = f.start_second_router(name_below(f.settings.name), other);
            co_await f.pause(2000);
            const http_response refused =
                co_await take_up_at(f, other.callers, "next", "c1", take_up("never-seen"));
            REQUIRE(refused.status == 503);
            REQUIRE(f.received() == 0);
        });
}

// Guards against a stream that goes on at an endpoint which may run any version, and against one of
// unknown version that goes on elsewhere.
TEST_CASE("an endpoint whose record has no version goes on with no stream of another")
{
    versioned_fleet f;
    f.add("e1", "", respond_in_parts("v1"));
    f.add("e2", "v2", respond_in_parts("v2"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 6; ++n)
            {
                const received_stream received = co_await receive_stream(f, "/r/x");
                REQUIRE_FALSE(received.complete);
                REQUIRE(versions_in(received.events).size() == 1);
            }
        });
}

// Guards against a version taken from an old record: an endpoint returned under its id and its
// address with another version while the stream was open.
TEST_CASE("a stream does not go on at an endpoint that returned with another version")
{
    versioned_fleet f;
    standin::platform_engine& engine = f.add("e1", "v1", respond_and_hang("v1"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            co_await begin_stream(f, make_stream_request("first", "c1"));
            engine.respond = respond_in_parts("v2");
            f.put_record("e1", engine.port(), "v2", 2000);
            co_await f.pause(1500);
            const std::size_t before = f.received();
            const http_response refused =
                co_await take_up_at(f, f.settings.callers, "next", "c1", take_up("first"));
            REQUIRE(refused.status == 503);
            REQUIRE(f.received() == before);
        });
}

// Guards against moved memory that carries a stream to another version, past the choice of the
// router: orders of a caller to go on from a copy, or to make one.
TEST_CASE("a caller cannot move the memory of its stream")
{
    versioned_fleet f;
    f.add("e1", "v1", respond_in_parts("v1"));
    f.add("e2", "v2", respond_in_parts("v2"));
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < 6; ++n)
            {
                http_request request =
                    make_stream_request("first-" + std::to_string(n), "c" + std::to_string(n));
                request.fields.emplace_back("Kv-From", "127.0.0.1:9/first");
                request.fields.emplace_back("X-Kv-Backup", "127.0.0.1:9");
                co_await begin_stream(f, std::move(request));
            }
            for (const std::unique_ptr<standin::platform_engine>& engine : f.engines)
            {
                for (const http_request& request : engine->received())
                {
                    REQUIRE(daemon::find_field(request.fields, "Kv-From").empty());
                    REQUIRE(daemon::find_field(request.fields, "X-Kv-Backup").empty());
                }
            }
        });
}
