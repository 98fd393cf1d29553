#include <catch2/catch.hpp>
#include <endivestage/timeline.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

timeline_event event_at(hybrid_time at, const std::string& router, const std::string& request = "")
{
    return {at, router_id(router), zone_id("z"), event_kind::request_sent, request_id(request), {},
            {}};
}

/// Parses a line of render_text.
std::vector<std::pair<std::string, std::string>> parse_pairs(const std::string& line)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    std::size_t n = 0;
    while (n < line.size())
    {
        const std::size_t equals = line.find('=', n);
        const std::string key = line.substr(n, equals - n);
        std::string value;
        n = equals + 1;
        const bool quoted = n < line.size() && line[n] == '"';
        for (n += quoted ? 1 : 0; n < line.size() && line[n] != (quoted ? '"' : ' '); ++n)
        {
            if (line[n] == '\\')
            {
                const std::map<char, char> escapes{{'n', '\n'}, {'r', '\r'}, {'t', '\t'}};
                const char c = line.at(++n);
                value += c == 'x' ? static_cast<char>(std::stoi(line.substr(n + 1, 2), nullptr, 16))
                                  : (escapes.contains(c) ? escapes.at(c) : c);
                n += c == 'x' ? 2 : 0;
                continue;
            }
            value += line[n];
        }
        pairs.emplace_back(key, value);
        n += quoted ? 2 : 1;
    }
    return pairs;
}

} // namespace

// Guards against an effect that precedes its cause when the clocks of routers differ.
TEST_CASE("the merge keeps the order of cause and effect")
{
    REQUIRE(rc::check(
        "each message is received after it was sent",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::int64_t skews[] = {0, -900, 700};
            std::vector<hybrid_logical_clock> clocks(3);
            std::vector<std::vector<timeline_event>> timelines(3);
            std::vector<std::pair<std::string, std::string>> causes;
            std::int64_t now = 10000;
            for (const std::uint8_t step : steps)
            {
                now += step % 5;
                const std::size_t from = step % 3;
                const std::size_t to = (from + 1 + step / 128) % 3;
                const hybrid_time sent = clocks[from].next({now + skews[from]});
                const std::string name = std::to_string(causes.size());
                timelines[from].push_back(event_at(sent, std::to_string(from), "s" + name));
                RC_ASSERT(clocks[to].observe(sent, {now + skews[to]}) == errc::ok);
                const hybrid_time received = clocks[to].next({now + skews[to]});
                timelines[to].push_back(event_at(received, std::to_string(to), "r" + name));
                causes.emplace_back("s" + name, "r" + name);
            }
            timelines.push_back(timelines.front());
            const std::vector<timeline_event> merged = merge_timelines(timelines);
            RC_ASSERT(merged.size() == 2 * causes.size());
            const auto position = [&](const std::string& request)
            {
                return std::find_if(merged.begin(), merged.end(),
                                    [&](const timeline_event& it)
                                    { return it.request.view() == request; });
            };
            for (const auto& [cause, effect] : causes)
            {
                RC_ASSERT(position(cause) < position(effect));
            }
        }));
}

// Guards against one router with a wrong clock that advances the clocks of all others.
TEST_CASE("clock readings far in the future are ignored")
{
    hybrid_logical_clock clock(millis{1000});
    REQUIRE(clock.observe({5000, 0}, {3999}) == errc::invalid_request);
    REQUIRE(clock.next({3999}) == hybrid_time{3999, 0});
    REQUIRE(clock.observe({5000, 7}, {4000}) == errc::ok);
    REQUIRE(clock.next({4000}) == hybrid_time{5000, 8});
}

// Guards against a buffer that grows without bound, and against queries that miss events or return
// events that do not match.
TEST_CASE("the buffer keeps the newest events and filters them")
{
    timeline_buffer buffer(3);
    for (std::int64_t n = 0; n < 5; ++n)
    {
        buffer.add(event_at({n, 0}, n % 2 == 0 ? "a" : "b", "q" + std::to_string(n)));
    }
    REQUIRE(buffer.size() == 3);
    REQUIRE(buffer.dropped() == 2);
    REQUIRE(buffer.select({request_id("q1"), "", {}, {}}).empty());
    REQUIRE(buffer.select({request_id("q3"), "", {}, {}}).size() == 1);
    REQUIRE(buffer.select({{}, "a", zone_id("z"), {}}).size() == 2);
    REQUIRE(buffer.select({{}, "", zone_id("y"), {}}).empty());
    REQUIRE(buffer.select({{}, "", {}, hybrid_time{4, 0}}).size() == 1);
    REQUIRE(buffer.select({}, 2).front().at.wall_ms == 3);
}

// Guards against values that break a line or inject another key.
TEST_CASE("every value can be parsed back from a text line")
{
    REQUIRE(rc::check("read(render_text(event)) has the event's values",
                      [](const std::string& value, const std::string& zone)
                      {
                          timeline_event event = event_at({7, 1}, "r");
                          event.zone = zone_id(zone);
                          event.fields = {{"a b=", value}, {"", "x y"}};
                          const std::string line = render_text(event);
                          RC_ASSERT(line.find('\n') == std::string::npos);
                          const auto pairs = parse_pairs(line);
                          const auto expected = std::pair<std::string, std::string>("a_b_", value);
                          RC_ASSERT(pairs.at(pairs.size() - 2) == expected);
                          RC_ASSERT(pairs.back().second == "x y");
                          RC_ASSERT(zone.empty() || pairs.at(3).second == zone);
                      }));
    REQUIRE(render_text(event_at({7, 1}, "r 1", "q")) ==
            "at=7.1 kind=request_sent router=\"r 1\" zone=z request=q");
}

// Guards against events that change on the way to the process that merges them.
TEST_CASE("an event round-trips through JSON, also with bytes that are not UTF-8")
{
    REQUIRE(rc::check("parse(render(event)) == event",
                      [](std::int64_t wall, std::uint32_t counter, const std::string& value)
                      {
                          timeline_event event = event_at({wall, counter}, "r", "q");
                          event.fields = {{"k", value}};
                          const std::string text = render_json(event);
                          result<timeline_event> back = parse_json_event(text);
                          RC_ASSERT(back.has_value());
                          RC_ASSERT(back->fields.front().second.size() == value.size());
                          RC_ASSERT(render_json(*back) == text);
                          back->fields = event.fields;
                          RC_ASSERT(*back == event);
                      }));
    REQUIRE(parse_json_event("{}").error() == errc::invalid_request);
    for (std::size_t n = 0; n < event_kind_count; ++n)
    {
        const event_kind kind = static_cast<event_kind>(n);
        REQUIRE(parse_event_kind(to_string(kind)) == kind);
    }
}
