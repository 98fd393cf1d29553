#include <endivestage/serving/event_framer.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

using namespace endivestage::serving;

namespace
{

std::string make_event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

std::string make_events(std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t id = from; id <= to; ++id)
    {
        text += make_event(id);
    }
    return text;
}

} // namespace

// Fault: an engine fails in the middle of an event. The partial event must not reach the caller.
TEST_CASE("a partial event is buffered and dropped on restart")
{
    event_framer framer;
    REQUIRE(framer.add(make_event(1) + "id: 2\nda") == make_event(1));
    REQUIRE(framer.has_partial_event());
    framer.restart();
    REQUIRE(framer.add(make_event(2)) == make_event(2));
    REQUIRE(framer.last_event_id() == 2U);
}

// Fault: the engine that resumes a stream repeats events that the caller has received.
TEST_CASE("events that were delivered before are dropped after a restart")
{
    event_framer framer;
    framer.add(make_events(1, 3));
    framer.restart();
    REQUIRE(framer.add(make_events(2, 5)) == make_events(4, 5));
    REQUIRE_FALSE(framer.is_broken());
}

// Fault: the engine that resumes a stream repeats it from an earlier event, with other events, so
// that none ends where the caller's last one does. The caller must not get a stream with a gap, or
// with text that comes twice.
TEST_CASE("a response that repeats events but not the last one breaks the stream")
{
    event_framer framer;
    framer.add(make_events(1, 3));
    framer.restart();
    REQUIRE(framer.add(make_event(2) + make_events(4, 6)).empty());
    REQUIRE(framer.is_broken());
    REQUIRE(framer.last_event_id() == 3U);
    framer.restart();
    REQUIRE(framer.add(make_events(4, 6)) == make_events(4, 6));
    REQUIRE_FALSE(framer.is_broken());
}

// Guards against streams that are cut because their ids are not consecutive: in the first response,
// after a cut, and where the next response repeats events (review/13).
TEST_CASE("ids increase by any steps")
{
    rc::check("steps",
              []
              {
                  std::vector<std::string> events;
                  std::vector<std::uint64_t> ids;
                  std::uint64_t id = 0;
                  const int count = *rc::gen::inRange(1, 20);
                  for (int n = 0; n < count; ++n)
                  {
                      id += *rc::gen::inRange<std::uint64_t>(1, 9);
                      events.push_back(make_event(id));
                      ids.push_back(id);
                  }
                  event_framer framer;
                  framer.restart();
                  std::string out;
                  std::size_t delivered = 0;
                  const auto send = [&](std::size_t from, std::size_t to)
                  {
                      for (std::size_t n = from; n < to; ++n)
                      {
                          out += framer.add(events[n]);
                      }
                      delivered = std::max(delivered, to);
                      RC_ASSERT(!framer.is_broken());
                  };
                  while (delivered < events.size())
                  {
                      const std::size_t from = *rc::gen::inRange<std::size_t>(0, delivered + 1);
                      send(from, *rc::gen::inRange(delivered + 1, events.size() + 1));
                      framer.restart();
                  }
                  std::string all;
                  for (const std::string& event : events)
                  {
                      all += event;
                  }
                  RC_ASSERT(out == all);
                  RC_ASSERT(framer.last_event_id() == ids.back());
              });
    SUCCEED();
}

// Guards against events that a caller gets a second time when it takes a stream up: the engine
// repeats them.
TEST_CASE("events up to the one that a take-up names are dropped")
{
    event_framer framer;
    framer.resume_after(6);
    framer.restart();
    REQUIRE(framer.add(make_event(3) + make_event(6) + make_event(9)) == make_event(9));
    REQUIRE_FALSE(framer.is_broken());
}

// Guards against first responses that are cut because an event in their middle has no id.
TEST_CASE("an event without an id in the first response is passed on")
{
    event_framer framer;
    framer.restart();
    const std::string events = make_event(3) + "data: token\n\n" + make_event(6);
    REQUIRE(framer.add(events) == events);
    REQUIRE_FALSE(framer.is_broken());
}

// Property: the events are unchanged wherever the bytes are split.
TEST_CASE("the split of the bytes does not change the events")
{
    rc::check("cuts",
              []
              {
                  const std::string text =
                      make_events(1, static_cast<std::uint64_t>(*rc::gen::inRange(1, 20)));
                  event_framer framer;
                  std::string out;
                  std::size_t position = 0;
                  while (position < text.size())
                  {
                      const std::size_t n = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
                      out += framer.add(std::string_view(text).substr(position, n));
                      position += n;
                  }
                  RC_ASSERT(out == text);
                  RC_ASSERT(!framer.has_partial_event());
              });
    SUCCEED();
}

// Fault: an engine ends its response in an orderly way but inside an event, at any byte. SSE
// clients discard an event without its final blank line, so the stream is not complete.
TEST_CASE("a stream that ends inside an event is incomplete")
{
    const std::string line_end = GENERATE("\n", "\r\n");
    std::string text;
    std::vector<std::size_t> event_ends{0};
    for (int id = 1; id <= 3; ++id)
    {
        for (const std::string& line :
             {"id: " + std::to_string(id), std::string("data: token"), std::string()})
        {
            text += line;
            text += line_end;
        }
        event_ends.push_back(text.size());
    }
    for (std::size_t length = 0; length <= text.size(); ++length)
    {
        event_framer framer;
        framer.add(std::string_view(text).substr(0, length));
        const bool at_event_end =
            std::find(event_ends.begin(), event_ends.end(), length) != event_ends.end();
        // A CR already ends the blank line; the LF after it belongs to the same line end.
        const bool before_last_lf =
            length > 0 && text[length - 1] == '\r' &&
            std::find(event_ends.begin(), event_ends.end(), length + 1) != event_ends.end();
        CAPTURE(line_end, length);
        REQUIRE(framer.ends_inside_event() == !(at_event_end || before_last_lf));
    }
}

// Fault: a line that is no comment, or that has no end, is taken for the regular end of a stream.
TEST_CASE("fields without a blank line and lines without an end make a stream incomplete")
{
    const std::string rest =
        GENERATE("id: 2", "id: 2\n", "data: token\n", "data: token\r", "data\n", "retry: 100\n",
                 "x-weight-versions: 4\n", ": comment", "data: token\n: comment\n",
                 ": comment\ndata: token\n", "\n\ndata: token\n");
    event_framer framer;
    framer.add(make_event(1) + rest);
    CAPTURE(rest);
    REQUIRE(framer.ends_inside_event());
}

// Guards against cutting complete streams: comments and blank lines after the last event are no
// event, and a line may end with CR, LF or both.
TEST_CASE("comments and blank lines after the last event leave a stream complete")
{
    const std::string rest =
        GENERATE("", "\n", "\r\n", "\r", "\n\n\n", ": comment\n", ": comment\r\n", ":\r",
                 "\n: comment\n", ": comment\n: another\n", "data: token\n\r\n", "data: token\r\r",
                 "data: token\r\n\r\n: comment\n");
    event_framer framer;
    const std::string delivered = framer.add(make_event(1) + rest);
    CAPTURE(rest);
    REQUIRE_FALSE(framer.ends_inside_event());
    REQUIRE(delivered + framer.take_remainder() == make_event(1) + rest);
}
