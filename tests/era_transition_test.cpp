// Which rows a router believes after a restore of the table service from an older copy.

#include <endivestage/replication.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

constexpr time_point start{100000};
constexpr time_point rewritten{102000};
constexpr era_policy policy{true, millis{5000}};

replicated_row make_row(const std::string& key, std::uint64_t revision, bool deleted = false)
{
    return {key, deleted ? "" : "data", revision, deleted};
}

using rows = std::vector<replicated_row>;

} // namespace

// Guards against acting on the loss of a row that its writer is about to write again.
TEST_CASE("a row that the restored service lacks counts as present until it should be back")
{
    era_transition era(policy);
    REQUIRE(era.enter(rows{make_row("a", 3), make_row("b", 3, true)}, start, rewritten) ==
            rows{make_row("a", 3)});
    REQUIRE(era.take_due(rewritten - millis{1}).empty());
    REQUIRE(era.take_due(rewritten) == rows{make_row("b", 3, true)});
    REQUIRE(era.take_due(rewritten + millis{5000}).empty());
}

// Guards against deletions that follow a row which was written again.
TEST_CASE("a row that is written within the era ends what was believed against the service")
{
    era_transition era(policy);
    era.enter(rows{make_row("b", 3, true)}, start, rewritten);
    era.record_changes(rows{make_row("b", 4)}, start + millis{500});
    REQUIRE(era.take_due(rewritten).empty());
}

// Guards against rows that were deleted and that only the older copy has: a zone is emptied again,
// an endpoint that has left gets requests.
TEST_CASE("a row that was deleted lately and is back counts as deleted for a while")
{
    era_transition era(policy);
    era.record_changes(rows{make_row("a", 9, true)}, start - millis{2000});
    REQUIRE(era.enter(rows{make_row("a", 3)}, start, rewritten).empty());
    REQUIRE(era.take_due(start + millis{4999}).empty());
    REQUIRE(era.take_due(start + millis{5000}) == rows{make_row("a", 3)});
    // Deleted too long ago for a copy of that time.
    era.record_changes(rows{make_row("c", 9, true)}, start - millis{60000});
    REQUIRE(era.enter(rows{make_row("c", 3)}, start, rewritten) == rows{make_row("c", 3)});
}

// Guards against a row that is believed for ever, or dropped too soon, when a second restore
// follows.
TEST_CASE("a second restore begins the wait anew")
{
    era_transition era(policy);
    era.enter(rows{make_row("b", 3, true)}, start, rewritten);
    const time_point later = start + millis{1000};
    REQUIRE(era.enter(rows{make_row("b", 2)}, later, rewritten + millis{1000}) ==
            rows{make_row("b", 2)});
    REQUIRE(era.enter(rows{make_row("b", 2, true)}, later, rewritten + millis{1000}).empty());
    REQUIRE(era.take_due(rewritten).empty());
    REQUIRE(era.take_due(rewritten + millis{1000}) == rows{make_row("b", 2, true)});
}
