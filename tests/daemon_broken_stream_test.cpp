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
TEST_CASE("events before a gap are delivered before another engine goes on")
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
            return make_stream(request, framed, {make_events(3, 4) + make_events(6, 7)});
        default:
            return make_stream(request, framed, {make_events(5, 7)});
        }
    };
    const received_stream received = run_stream("/r/", respond, 3);
    REQUIRE(received.status == 200);
    REQUIRE(received.events == make_events(1, 7));
    REQUIRE(received.complete);
}
