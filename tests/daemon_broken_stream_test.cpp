// Streams that break off, and engines that put something else than the next event into them.

#include "platform_fleet.hpp"

#include <standin/platform_engine.hpp>

using namespace endivestage;
using namespace endivestage::test;
using standin::make_chunk;

namespace
{

std::string make_events(int from, int to)
{
    std::string events;
    for (int id = from; id <= to; ++id)
    {
        events += "id: " + std::to_string(id) + "\ndata: token\n\n";
    }
    return events;
}

std::string make_head(const http_request& request, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + standin::request_id(request) +
           "\r\nX-Origin-Seal: seal\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n";
}

/// How the end of a stream is shown.
enum class framing
{
    length,
    chunked,
    close,
};

/// \returns A stream whose body comes in these parts, one after another.
engine_reply make_stream(const http_request& request, framing framed,
                         const std::vector<std::string>& parts)
{
    engine_reply reply;
    reply.delay = millis{5};
    std::size_t length = 0;
    for (const std::string& part : parts)
    {
        length += part.size();
        reply.pieces.push_back(framed == framing::chunked ? make_chunk(part) : part);
    }
    std::string fields;
    if (framed == framing::length)
    {
        fields = "Content-Length: " + std::to_string(length) + "\r\n";
    }
    if (framed == framing::chunked)
    {
        fields = "Transfer-Encoding: chunked\r\n";
        reply.pieces.emplace_back(standin::last_chunk);
    }
    if (framed == framing::close)
    {
        reply.final_action = engine_reply::connection_action::close;
    }
    reply.pieces.insert(reply.pieces.begin(), make_head(request, fields));
    return reply;
}

/// Runs one stream at engines that answer alike.
/// \param max_attempts Of the resumable route.
received_stream run_stream(const std::string& target,
                           const standin::platform_engine::response_function& respond,
                           int max_attempts = 2)
{
    fleet f;
    std::string changed = configuration;
    const std::string attempts = "\"max_attempts\":2,\"anonymous\":false,\"sticky\":true";
    changed.replace(changed.find(attempts) + 15, 1, std::to_string(max_attempts));
    f.store.put("op", "config", changed);
    for (int n = 1; n <= max_attempts; ++n)
    {
        f.add_engine("e" + std::to_string(n), respond);
    }
    f.start_router();
    received_stream received;
    f.run([&]() -> awaitable<void> { received = co_await receive_stream(f, target); });
    return received;
}

} // namespace

// Guards against a stream with a missing piece: events that came in the same read as one that ends
// the attempt were dropped, and the next engine went on after them.
TEST_CASE("events before the end of an attempt are delivered before another engine goes on")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    CAPTURE(static_cast<int>(framed));
    const auto respond = [&](const http_request& request)
    {
        switch (standin::last_event_id(request))
        {
        case 0:
            return engine_reply{
                {standin::make_stream_head(request) + make_chunk(make_events(1, 2))},
                millis{0},
                engine_reply::connection_action::reset};
        case 2:
            return make_stream(request, framed, {make_events(3, 4) + "internal error\n\n"});
        default:
            return make_stream(request, framed, {make_events(5, 7)});
        }
    };
    const received_stream received = run_stream("/r/", respond, 3);
    REQUIRE(received.status == 200);
    REQUIRE(received.events == make_events(1, 7));
    REQUIRE(received.complete);
}

// Guards against a stream with a missing piece, or with one that comes twice: the engine that goes
// on repeats events, and none of them ends where the last one that the caller has does.
TEST_CASE("an engine that goes on elsewhere than after the last event is not used")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    CAPTURE(static_cast<int>(framed));
    int runs = 0;
    const auto respond = [&](const http_request& request)
    {
        switch (++runs)
        {
        case 1:
            return engine_reply{
                {standin::make_stream_head(request) + make_chunk(make_events(1, 2))},
                millis{0},
                engine_reply::connection_action::reset};
        case 2:
            return make_stream(request, framed, {make_events(1, 1) + make_events(3, 7)});
        default:
            REQUIRE(standin::last_event_id(request) == 2);
            return make_stream(request, framed, {make_events(3, 7)});
        }
    };
    const received_stream received = run_stream("/r/", respond, 3);
    REQUIRE(received.status == 200);
    REQUIRE(received.events == make_events(1, 7));
    REQUIRE(received.complete);
    REQUIRE(runs == 3);
}

namespace
{

/// \returns Events whose ids count their tokens, from the first one after an id.
std::string make_token_events(int after, int last)
{
    std::string text;
    for (int id = after + 1; id <= last; ++id)
    {
        // 3, 4, 8, 9, 13 and so on: events hold one token or several.
        if (id % 5 >= 3)
        {
            text += make_events(id, id);
        }
    }
    return text;
}

} // namespace

// Guards against streams that are cut after their first event because the ids of their events are
// not consecutive (review/13), in a first run, in one that goes on after a cut, and in a take-up.
TEST_CASE("a stream whose ids count several tokens an event is delivered whole")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    const std::string target = GENERATE("/s/", "/r/");
    const bool cut = target == "/r/";
    CAPTURE(static_cast<int>(framed), target);
    const auto respond = [&](const http_request& request)
    {
        const int after = standin::last_event_id(request);
        if (cut && after == 0)
        {
            return engine_reply{
                {standin::make_stream_head(request) + make_chunk(make_token_events(0, 8))},
                millis{0},
                engine_reply::connection_action::reset};
        }
        return make_stream(request, framed, {make_token_events(after, 24)});
    };
    const received_stream received = run_stream(target, respond);
    REQUIRE(received.status == 200);
    REQUIRE(received.events == make_token_events(0, 24));
    REQUIRE(received.complete);
}

namespace
{

/// Bytes that are no event of a stream with ids.
const std::vector<std::string>& foreign_bytes()
{
    static const std::vector<std::string> all{
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "internal error\n\n",
        "error\n\n",
        "{\"error\":{\"code\":500}}\n\n",
        "<html><h1>502</h1></html>\r\n\r\n",
        "error: the engine failed\n\n"};
    return all;
}

} // namespace

// Guards against an error's text or head in the middle of a stream: an engine in trouble puts it
// where the next event is expected.
TEST_CASE("bytes that are no event do not reach the caller of a stream")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    for (const std::string& foreign : foreign_bytes())
    {
        CAPTURE(static_cast<int>(framed), foreign);
        const auto respond = [&](const http_request& request)
        {
            return standin::last_event_id(request) == 0
                       ? make_stream(request, framed, {make_events(1, 2) + foreign})
                       : make_stream(request, framed, {make_events(3, 4)});
        };
        const received_stream cut = run_stream("/s/", respond);
        REQUIRE(cut.status == 200);
        REQUIRE(cut.events == make_events(1, 2));
        REQUIRE_FALSE(cut.complete);
        const received_stream resumed = run_stream("/r/", respond);
        REQUIRE(resumed.status == 200);
        REQUIRE(resumed.events == make_events(1, 4));
        REQUIRE(resumed.complete);
    }
}

// Guards against an error that an engine puts into the format of events, and against events that a
// caller gets twice: without an id it is unknown whether the engine repeats them.
TEST_CASE("an event without an id does not go on with a stream of events that have one")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    const std::string event =
        GENERATE("data: token\n\n", "event: error\ndata: the engine failed\n\n");
    CAPTURE(static_cast<int>(framed), event);
    const auto respond = [&](const http_request& request)
    {
        switch (standin::last_event_id(request))
        {
        case 0:
            return engine_reply{
                {standin::make_stream_head(request) + make_chunk(make_events(1, 2))},
                millis{0},
                engine_reply::connection_action::reset};
        case 2:
            return make_stream(request, framed, {make_events(3, 3) + event});
        default:
            return make_stream(request, framed, {make_events(4, 5)});
        }
    };
    const received_stream cut = run_stream("/r/", respond);
    REQUIRE(cut.events == make_events(1, 3));
    REQUIRE_FALSE(cut.complete);
    const received_stream resumed = run_stream("/r/", respond, 3);
    REQUIRE(resumed.events == make_events(1, 5));
    REQUIRE(resumed.complete);
}

// Guards against an error's text that callers get as their whole stream.
TEST_CASE("bytes that are no event do not begin a stream")
{
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    for (const std::string& foreign :
         {std::string("internal error\n\n"), std::string("error\n\n"), std::string("{\"a\":1}\n\n"),
          std::string("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")})
    {
        CAPTURE(static_cast<int>(framed), foreign);
        for (const char* target : {"/s/", "/r/"})
        {
            const received_stream failed =
                run_stream(target, [&](const http_request& request)
                           { return make_stream(request, framed, {foreign}); });
            REQUIRE(failed.status == 502);
        }
    }
}

// Guards against the next engine's error in the middle of a stream that has begun, and against a
// stream that ends as if it were complete.
TEST_CASE("an error of the engine that should go on does not reach the caller of a stream")
{
    const engine_reply::connection_action end =
        GENERATE(engine_reply::connection_action::close, engine_reply::connection_action::reset);
    const int status = GENERATE(200, 204, 400, 404, 410, 429, 500, 502, 503, 504);
    const std::string type = GENERATE("application/json", "text/event-stream");
    const framing framed = GENERATE(framing::length, framing::chunked, framing::close);
    if (status == 200 && type == "text/event-stream")
    {
        return; // See the test of bytes that are no event.
    }
    CAPTURE(static_cast<int>(end), status, type, static_cast<int>(framed));
    const auto respond = [&](const http_request& request)
    {
        if (standin::last_event_id(request) == 0)
        {
            return engine_reply{{standin::make_stream_head(request) + make_chunk(make_events(1, 2)),
                                 make_chunk("id: 3\ndata: to")},
                                millis{1},
                                end};
        }
        engine_reply error = make_stream(request, framed, {"{\"error\":\"failed\"}"});
        std::string& head = error.pieces.front();
        head.replace(head.find("200 OK"), 6, std::to_string(status) + " Error");
        const std::string stream = "text/event-stream";
        head.replace(head.find(stream), stream.size(), type);
        return error;
    };
    const received_stream cut = run_stream("/r/", respond);
    REQUIRE(cut.status == 200);
    REQUIRE(cut.events == make_events(1, 2));
    REQUIRE_FALSE(cut.complete);
}

// Guards against streams that are cut because of lines that the stream format allows.
TEST_CASE("comments, retry times and further fields of events leave a stream complete")
{
    const std::string events = ": hello\n\n" + make_events(1, 1) +
                               ": keep-alive\n\nretry: 500\n\n" +
                               "x-weight-versions: 4\nid: 2\ndata: token\ndata\n\n" +
                               "event: token\r\nid:3\r\ndata: token\r\n\r\n\n" + make_events(4, 4);
    const std::string plain = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";
    for (const std::string& body : {events, plain})
    {
        const received_stream received =
            run_stream("/s/", [&](const http_request& request)
                       { return make_stream(request, framing::chunked, {body}); });
        REQUIRE(received.status == 200);
        REQUIRE(received.events == body);
        REQUIRE(received.complete);
    }
}
