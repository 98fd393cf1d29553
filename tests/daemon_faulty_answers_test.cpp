// Engines whose answers are no answers: statuses that HTTP does not define, and bodies that are not
// the engine's.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

using namespace endivestage;
using namespace endivestage::test;

namespace
{

constexpr const char* routes[] = {"/o/", "/i/", "/s/", "/r/"};

/// \returns An answer with this status line whose body has a length, comes in chunks or ends with
/// the connection.
engine_reply make_framed(const http_request& request, const std::string& status,
                         const std::string& framing, const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + status +
                        " Odd\r\nX-Attempt-Id: " + standin::request_id(request) +
                        "\r\nX-Origin-Seal: seal\r\n";
    if (request.target.starts_with("/s/") || request.target.starts_with("/r/"))
    {
        bytes += "Content-Type: text/event-stream\r\n";
    }
    if (framing == "length")
    {
        return keep_open(bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                         body);
    }
    if (framing == "chunked")
    {
        return keep_open(bytes + "Transfer-Encoding: chunked\r\n\r\n" + standin::make_chunk(body) +
                         standin::last_chunk);
    }
    return {{bytes + "\r\n" + body}, millis{0}, engine_reply::connection_action::close};
}

} // namespace

// Guards against callers that get an answer whose status HTTP does not define: they take it for
// the engine's, or cannot read it.
TEST_CASE("an answer with an undefined status does not reach the caller")
{
    const std::string status = GENERATE("000", "007", "099", "101", "600", "999");
    const std::string framing = GENERATE("length", "chunked", "close");
    const bool kept = GENERATE(false, true);
    CAPTURE(status, framing, kept);
    fleet f;
    bool faulty = false;
    f.add_engine("e1",
                 [&](const http_request& request)
                 {
                     return faulty ? make_framed(request, status, framing, "id: 1\ndata: x\n\n")
                                   : make_framed(request, "200", "length", "id: 1\ndata: x\n\n");
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (const char* target : routes)
            {
                CAPTURE(target);
                faulty = false;
                if (kept)
                {
                    const http_response sound = co_await f.send_request("POST", target);
                    REQUIRE(sound.status == 200);
                }
                faulty = true;
                const std::size_t before = f.engines.front()->received().size();
                const http_response response = co_await f.send_request("POST", target);
                REQUIRE(response.status == 502);
                REQUIRE(f.engines.front()->received().size() == before + 1);
            }
        });
}

// Guards against an idempotent request that fails although another engine is sound.
TEST_CASE("an idempotent request goes on at another engine after an undefined status")
{
    fleet f;
    f.add_engine("e1", [](const http_request& request)
                 { return make_framed(request, "007", "length", "odd"); });
    f.add_engine("e2", [](const http_request& request)
                 { return make_framed(request, "007", "length", "odd"); });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            f.engines.back()->respond = respond_ok("sound");
            for (int n = 0; n < 4; ++n)
            {
                const http_response response = co_await f.send_request("GET", "/i/");
                REQUIRE(response.status == 200);
                REQUIRE(response.body == "sound");
            }
        });
}

namespace
{

struct marked_answer
{
    std::string fields;
    bool stream = false;
};

engine_reply make_marked(const http_request& request, const marked_answer& answer)
{
    return keep_open("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + standin::request_id(request) + "\r\n" +
                     answer.fields + (answer.stream ? "Content-Type: text/event-stream\r\n" : "") +
                     "Content-Length: 19\r\n\r\nid: 1\ndata: token\n\n");
}

} // namespace

// Guards against a success that is not the engine's: without its mark, or with a body that
// something on the way has encoded.
TEST_CASE("a success without the engine's mark or with an encoded body is not delivered")
{
    const std::string fields =
        GENERATE("", "X-Origin-Seal: seal\r\nContent-Encoding: gzip\r\n",
                 "Content-Encoding: deflate\r\nX-Origin-Seal: seal\r\n", "X-Origin-Seal:\r\n");
    CAPTURE(fields);
    fleet f;
    f.add_engine("e1",
                 [&](const http_request& request)
                 {
                     const bool stream =
                         request.target.starts_with("/s/") || request.target.starts_with("/r/");
                     return make_marked(request, {fields, stream});
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (const char* target : routes)
            {
                CAPTURE(target);
                const http_response response = co_await f.send_request("POST", target);
                REQUIRE(response.status == 502);
            }
        });
}

// Guards against bodies that are refused although nothing has encoded them.
TEST_CASE("a body with the identity encoding is delivered")
{
    fleet f;
    f.add_engine("e1",
                 [&](const http_request& request)
                 {
                     return make_marked(request,
                                        {"X-Origin-Seal: seal\r\nContent-Encoding: identity\r\n",
                                         request.target.starts_with("/s/")});
                 });
    f.start_router();
    f.run(
        [&]() -> awaitable<void>
        {
            for (const char* target : {"/o/", "/s/"})
            {
                const http_response response = co_await f.send_request("POST", target);
                REQUIRE(response.status == 200);
            }
        });
}
