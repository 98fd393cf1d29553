#include <endivestage/serving/event_framer.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

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

// Fault: the engine that resumes a stream skips an event. The caller must not get a stream with a
// gap.
TEST_CASE("a gap after a restart breaks the stream")
{
    event_framer framer;
    framer.add(make_events(1, 3));
    framer.restart();
    REQUIRE(framer.add(make_events(5, 6)).empty());
    REQUIRE(framer.is_broken());
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
