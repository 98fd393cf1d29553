// Endpoints in trouble: bytes that are no answer and come without end, in heads and bodies. The
// router must end such an answer within the caller's deadline, with bounded memory, and go on
// serving other requests.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

#include <boost/asio/detached.hpp>
#include <fstream>

using namespace endivestage;
using namespace endivestage::test;
using standin::make_chunk;
using standin::make_event_chunk;
using standin::make_stream_head;

namespace
{

constexpr std::int64_t deadline_ms = 400;

using piece_function = std::function<std::vector<std::string>(const http_request&)>;

/// The last piece is repeated until the router closes the connection.
standin::platform_engine::response_function respond_endlessly(piece_function make_pieces,
                                                              millis delay)
{
    return [make_pieces = std::move(make_pieces), delay](const http_request& request)
    {
        return engine_reply{make_pieces(request), delay, engine_reply::connection_action::repeat};
    };
}

/// Runs one request at an engine whose answer never ends.
/// \returns The status that the caller got, 0 for a cut answer.
int run_endless(const std::string& target, piece_function make_pieces, millis delay)
{
    fleet f;
    standin::platform_engine& engine =
        f.add_engine("e1", respond_endlessly(std::move(make_pieces), delay));
    f.start_router();
    int status = -1;
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response response =
                co_await f.send_request("POST", target, "key-1", {}, deadline_ms);
            status = response.status;
            while (engine.abandoned() == 0)
            {
                co_await f.pause(5);
            }
            engine.respond = respond_ok();
            const http_response next = co_await f.send_request("POST", "/o/");
            REQUIRE(next.status == 200);
        });
    REQUIRE(engine.received().size() == 2);
    return status;
}

std::string long_body_head(const http_request& request)
{
    std::string head = make_response(request, 200, std::string(1, 'x'));
    head.pop_back();
    const std::string length = "Content-Length: 1\r\n";
    return head.replace(head.find(length), length.size(), "Content-Length: 60000000\r\n");
}

/// \returns The most memory that this process has had so far, in bytes.
std::size_t peak_memory()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmHWM:"))
        {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

} // namespace

// Guards against a router that runs out of memory, and ends the requests of all its callers,
// because a faulty engine answers many requests at once with bytes that never end.
TEST_CASE("many bodies that flood without end take bounded memory")
{
    constexpr int requests = 24;
    constexpr std::size_t host_memory = 64UL * 1024 * 1024;
    fleet f;
    f.settings.memory = host_memory;
    f.add_engine(
        "e1",
        respond_endlessly(
            [](const http_request& request) {
                return std::vector<std::string>{long_body_head(request), std::string(65536, 'x')};
            },
            millis{0}));
    f.start_router();
    const std::size_t before = peak_memory();
    REQUIRE(before > 0);
    int ended = 0;
    int unknown = 0;
    f.run(
        [&]() -> awaitable<void>
        {
            for (int n = 0; n < requests; ++n)
            {
                asio::co_spawn(
                    f.context,
                    [&]() -> awaitable<void>
                    {
                        const http_response response = co_await f.send_request("POST", "/o/");
                        unknown += response.status == 502 || response.status == 504 ? 1 : 0;
                        ++ended;
                    },
                    asio::detached);
            }
            while (ended < requests)
            {
                co_await f.pause(5);
            }
            f.engines.front()->respond = respond_ok();
            const http_response next = co_await f.send_request("POST", "/o/");
            REQUIRE(next.status == 200);
        });
    REQUIRE(unknown == requests);
    REQUIRE(peak_memory() - before < host_memory);
}

// Guards against a request that waits for a body of which one byte comes now and then.
TEST_CASE("a body that trickles without end is given up at the deadline")
{
    const int status = run_endless(
        "/o/",
        [](const http_request& request) {
            return std::vector<std::string>{long_body_head(request), "x"};
        },
        millis{20});
    REQUIRE(status == 504);
}

// Guards against memory that grows with a body, and against a wait that its bytes prolong.
TEST_CASE("a body that floods without end is given up")
{
    const int status = run_endless(
        "/o/",
        [](const http_request& request) {
            return std::vector<std::string>{long_body_head(request), std::string(65536, 'x')};
        },
        millis{0});
    REQUIRE((status == 502 || status == 504));
}

// Guards against a stalled stream that comments keep alive: callers wait for events.
TEST_CASE("a stream of comments without end is cut at the deadline")
{
    const int status = run_endless(
        "/s/",
        [](const http_request& request)
        {
            return std::vector<std::string>{make_stream_head(request) + make_event_chunk(1),
                                            make_chunk(":\n\n")};
        },
        millis{0});
    REQUIRE(status == 0);
}

TEST_CASE("a stream of bytes without any event is given up")
{
    const int status = run_endless(
        "/s/",
        [](const http_request& request) {
            return std::vector<std::string>{make_stream_head(request),
                                            make_chunk(std::string(4096, 'x'))};
        },
        millis{0});
    REQUIRE((status == 502 || status == 504));
}

TEST_CASE("a head without end is given up")
{
    for (const millis delay : {millis{0}, millis{10}})
    {
        const int status = run_endless(
            "/o/",
            [](const http_request&) {
                return std::vector<std::string>{"HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"};
            },
            delay);
        REQUIRE((status == 502 || status == 504));
    }
}

// Guards against memory that grows with the extension of one chunk, which has no limit in HTTP.
TEST_CASE("a chunk header without end is given up")
{
    const int status = run_endless(
        "/s/",
        [](const http_request& request) {
            return std::vector<std::string>{make_stream_head(request) + "1;",
                                            std::string(65536, 'a')};
        },
        millis{0});
    REQUIRE((status == 502 || status == 504));
}

// Guards against a request that waits while the answer to another request is skipped.
TEST_CASE("an answer to another request that never ends is not skipped without end")
{
    const int status = run_endless(
        "/o/",
        [](const http_request& request)
        {
            http_request other = request;
            for (std::pair<std::string, std::string>& field : other.fields)
            {
                field.second = field.first == "X-Attempt-Id" ? "another" : field.second;
            }
            return std::vector<std::string>{long_body_head(other), "x"};
        },
        millis{20});
    REQUIRE((status == 502 || status == 504));
}

// Guards against a promise that the router cannot make: callers repeat a request after these
// statuses, and only an endpoint's own statement tells that it has not run.
TEST_CASE("an endpoint's refusal without a statement does not say that a request has not run")
{
    const int status = GENERATE(408, 421, 429, 503);
    fleet f;
    f.add_engine("e1", [status](const http_request& request)
                 { return keep_open(standin::make_response(request, status, "ran")); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            const http_response got = co_await f.send_request("POST", "/o/");
            REQUIRE(got.status == (status == 421 ? 503 : 502));
        });
}
