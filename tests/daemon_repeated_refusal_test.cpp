// Engines that write a refusal once more, where the answer to the next request is expected.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

#include <map>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

/// What a repeated refusal says of the request that it belongs to.
enum class identity
{
    none,
    empty,
    earlier, ///< The id of the request that was refused.
    both,    ///< The ids of the present request and of that one.
};

/// A refusal as the engine writes it once more.
std::string make_refusal(int status, identity named, const std::string& framing,
                         const std::string& earlier, const std::string& present)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Refused\r\nX-Not-Executed: 1\r\n";
    if (named == identity::both)
    {
        bytes += "X-Attempt-Id: " + present + "\r\n";
    }
    if (named != identity::none)
    {
        bytes += "X-Attempt-Id: " + (named == identity::empty ? std::string() : earlier) + "\r\n";
    }
    if (framing == "length")
    {
        return bytes + "Content-Length: 4\r\n\r\nfull";
    }
    return bytes + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
}

/// Engines that put a refusal before the answer to a request that they run.
struct refusing_engines
{
    explicit refusing_engines(fleet& f, int count)
    {
        for (int n = 1; n <= count; ++n)
        {
            f.add_engine("e" + std::to_string(n),
                         [this](const http_request& request) { return respond(request); });
        }
    }

    engine_reply respond(const http_request& request)
    {
        const std::string id = standin::request_id(request);
        ++runs[id];
        const bool stream = request.target.starts_with("/s/") || request.target.starts_with("/r/");
        const std::string own = stream ? standin::make_stream_head(request) +
                                             standin::make_event_chunk(1) + standin::last_chunk
                                       : make_response(request, 200, "own");
        const std::string refusal = make_refusal(status, named, framing, "earlier", id);
        if (!faulty)
        {
            return keep_open(own);
        }
        return split ? engine_reply{{refusal, own}, millis{15}} : keep_open(refusal + own);
    }

    int status = 503;
    identity named = identity::none;
    std::string framing = "length";
    bool faulty = false;
    bool split = false; ///< The answer follows the refusal later.
    std::map<std::string, int> runs;
};

} // namespace

// Guards against an order that runs twice, or that callers may repeat although it has run: the
// router took a refusal of no or another request for the answer (review/6).
TEST_CASE("a refusal without the request's id does not answer it")
{
    const int status = GENERATE(400, 408, 421, 429, 503);
    const identity named =
        GENERATE(identity::none, identity::empty, identity::earlier, identity::both);
    const std::string framing = GENERATE("length", "chunked");
    const bool kept = GENERATE(true, false);
    const bool split = GENERATE(false, true);
    CAPTURE(status, static_cast<int>(named), framing, kept, split);
    fleet f;
    refusing_engines engines(f, 2);
    engines.status = status;
    engines.named = named;
    engines.framing = framing;
    engines.split = split;
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (const char* target : {"/o/", "/i/", "/s/", "/r/"})
            {
                CAPTURE(target);
                engines.faulty = false;
                // Each engine has a kept connection then.
                for (int n = 0; kept && n < 4; ++n)
                {
                    const http_response sound = co_await f.send_request("POST", target);
                    REQUIRE(sound.status == 200);
                }
                engines.faulty = true;
                const http_response response = co_await f.send_request("POST", target);
                REQUIRE(response.status == 200);
            }
        });
    for (const std::pair<const std::string, int>& run : engines.runs)
    {
        CAPTURE(run.first);
        REQUIRE(run.second == 1);
    }
}

// Guards against a caller that is told that its order has not run: the refusal that belongs to no
// request ends the connection, so the answer never comes.
TEST_CASE("an order whose answer a foreign refusal hides is not reported as not run")
{
    const int status = GENERATE(421, 429, 503);
    const engine_reply::connection_action end =
        GENERATE(engine_reply::connection_action::close, engine_reply::connection_action::reset);
    fleet f;
    int runs = 0;
    const auto respond = [&](const http_request&)
    {
        ++runs;
        return engine_reply{
            {make_refusal(status, identity::none, "length", {}, {})}, millis{0}, end};
    };
    f.add_engine("e1", respond);
    f.add_engine("e2", respond);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/");
            REQUIRE(response.status == 502);
        });
    REQUIRE(runs == 1);
}

// Guards against refusals that no longer count: the request goes to another engine.
TEST_CASE("a refusal with the request's id is followed by another engine")
{
    fleet f;
    int calls = 0;
    const auto refuse_first = [&](const http_request& request)
    {
        return keep_open(++calls == 1 ? standin::make_not_executed(request, 503)
                                      : make_response(request, 200, "own"));
    };
    f.add_engine("e1", refuse_first);
    f.add_engine("e2", refuse_first);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/");
            REQUIRE(response.status == 200);
        });
    REQUIRE(calls == 2);
}

// Guards against an order that runs twice: a success that says that the request has not run is no
// proof of it.
TEST_CASE("a success that claims not to have run is neither delivered nor followed by another run")
{
    fleet f;
    int runs = 0;
    const auto contradict = [&](const http_request& request)
    {
        ++runs;
        return keep_open(make_response(request, 200, "own", "X-Not-Executed: 1\r\n"));
    };
    f.add_engine("e1", contradict);
    f.add_engine("e2", contradict);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response order = co_await f.send_request("POST", "/o/");
            REQUIRE(order.status == 502);
            REQUIRE(runs == 1);
        });
}

// Guards against a wait without end, or a second run, at an engine that repeats itself.
TEST_CASE("an order is given up after many foreign refusals")
{
    fleet f;
    int runs = 0;
    const auto repeat = [&](const http_request& request)
    {
        ++runs;
        std::string bytes;
        for (int n = 0; n < 20; ++n)
        {
            bytes += make_refusal(503, n % 2 == 0 ? identity::none : identity::earlier, "length",
                                  "earlier", {});
        }
        return keep_open(bytes + make_response(request, 200, "own"));
    };
    f.add_engine("e1", repeat);
    f.add_engine("e2", repeat);
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response = co_await f.send_request("POST", "/o/");
            REQUIRE(response.status == 502);
        });
    REQUIRE(runs == 1);
}
