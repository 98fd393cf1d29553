// Pauses between polls whose answers tell nothing new.

#include <endivestage/replication/poll_progress.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

constexpr millis feed_wait{2000};

poll_answer make_feed(std::uint64_t known, std::uint64_t revision, millis took = feed_wait)
{
    return {known, revision, false, took, feed_wait, revision > known};
}

poll_answer make_list(std::uint64_t known, std::uint64_t revision)
{
    return {known, revision, true, millis{5}, feed_wait};
}

} // namespace

// Guards against routers whose copies age because they pause although the table service answers as
// it should.
TEST_CASE("answers that make progress are followed by no pause")
{
    poll_progress progress;
    const poll_answer first{std::nullopt, 7, true, millis{5}, feed_wait};
    REQUIRE(progress.record(first) == poll_stall::none);
    REQUIRE(progress.record(make_feed(7, 7)) == poll_stall::none);
    REQUIRE(progress.record(make_feed(7, 8, millis{1})) == poll_stall::none);
    // The service has dropped its history once.
    REQUIRE(progress.record(make_list(8, 9)) == poll_stall::none);
    REQUIRE(progress.record(make_feed(9, 9)) == poll_stall::none);
    REQUIRE(progress.record(make_list(9, 9)) == poll_stall::none);
    // A poll that was not to wait.
    const poll_answer probe{9, 9, false, millis{2}, millis{0}};
    REQUIRE(progress.record(probe) == poll_stall::none);
    REQUIRE(progress.pause(1) == millis{0});
}

// Guards against calls without a pause to a service from whose answers a router cannot go on.
TEST_CASE("each answer without progress has its reason and makes the pause longer")
{
    poll_progress progress;
    REQUIRE(progress.record(make_list(7, 7)) == poll_stall::none);
    REQUIRE(progress.record(make_list(7, 7)) == poll_stall::listed_again);
    REQUIRE(progress.pause(0) == millis{120});
    REQUIRE(progress.record(make_list(7, 8)) == poll_stall::listed_again);
    REQUIRE(progress.pause(0) == millis{240});
    REQUIRE(progress.record(make_list(8, 5)) == poll_stall::older);
    REQUIRE(progress.record(make_feed(8, 5)) == poll_stall::older);
    REQUIRE(progress.record(make_feed(8, 8, millis{1})) == poll_stall::early);
    REQUIRE(progress.pause(0) == millis{500});
    REQUIRE(progress.record(make_feed(8, 9, millis{1})) == poll_stall::none);
    REQUIRE(progress.pause(0) == millis{0});
}

// Guards against calls without a pause to a feed that answers at once, time after time, with rows
// that the copy has.
TEST_CASE("a feed that answers early with nothing new makes no progress")
{
    poll_progress progress;
    for (std::uint64_t revision = 7; revision < 12; ++revision)
    {
        const poll_answer answer{revision, revision + 1, false, millis{1}, feed_wait, false};
        REQUIRE(progress.record(answer) == poll_stall::early);
    }
    REQUIRE(progress.pause(0) == millis{500});
}

// Property: however a service answers, a poller that gets nothing new asks at most about ten times
// a second at first and four times a second later.
TEST_CASE("the pause after answers without progress stays within its bounds")
{
    rc::check("pauses",
              []
              {
                  poll_progress progress;
                  const int answers = *rc::gen::inRange(1, 40);
                  for (int n = 0; n < answers; ++n)
                  {
                      const std::uint64_t revision = *rc::gen::inRange<std::uint64_t>(1, 6);
                      const bool listed = *rc::gen::arbitrary<bool>();
                      const poll_stall stall = progress.record(
                          listed ? make_list(5, revision) : make_feed(5, revision, millis{1}));
                      const millis pause = progress.pause(*rc::gen::arbitrary<std::uint64_t>());
                      RC_ASSERT((stall == poll_stall::none) == (pause == millis{0}));
                      RC_ASSERT(pause <= millis{500});
                      RC_ASSERT(stall == poll_stall::none || pause >= millis{60});
                      RC_ASSERT(progress.stalls() < 5 || pause >= millis{250});
                  }
              });
    SUCCEED();
}
