#include <endivestage/replication.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

replicated_row make_row(const std::string& key, std::uint64_t revision, bool deleted = false)
{
    return {key, deleted ? "" : "data-" + std::to_string(revision), revision, deleted};
}

} // namespace

TEST_CASE("a complete batch yields changed and deleted rows")
{
    table_replica replica;
    REQUIRE(replica.apply({{make_row("a", 1), make_row("b", 2)}, 2, true}).size() == 2);
    const std::vector<replicated_row> changed = replica.apply({{make_row("b", 5)}, 6, true});
    REQUIRE(changed.size() == 2);
    REQUIRE(changed[0] == make_row("b", 5));
    REQUIRE(changed[1].deleted);
    REQUIRE(replica.find("a") == nullptr);
}

// Guards against returning to an older state, which a relay or a late answer may contain.
TEST_CASE("an older batch changes nothing")
{
    table_replica replica;
    replica.apply({{make_row("a", 7)}, 9, true});
    REQUIRE(replica.apply({{make_row("a", 3)}, 4, true}).empty());
    REQUIRE(replica.apply({{}, 8, true}).empty());
    REQUIRE(replica.find("a")->revision == 7);
    REQUIRE(replica.revision() == 9U);
}

// Guards against a follower that misses a deletion made before its relay started.
TEST_CASE("a follower behind the history gets all rows")
{
    table_replica relay;
    relay.apply({{make_row("a", 1), make_row("b", 2)}, 5, true});
    table_replica follower;
    follower.apply({{make_row("a", 1), make_row("c", 3)}, 3, true});
    const change_batch batch = relay.changes_since(3);
    REQUIRE(batch.complete);
    follower.apply(batch);
    REQUIRE(follower.find("c") == nullptr);
    REQUIRE(follower.rows() == relay.rows());
}

// Guards against relays that send, and routers that parse, every version of a configuration that is
// written many times between two polls.
TEST_CASE("only the newest version of a row is passed on")
{
    table_replica relay;
    relay.apply({{make_row("config", 1), make_row("a", 2)}, 2, true});
    for (std::uint64_t revision = 3; revision <= 9; ++revision)
    {
        relay.apply({{make_row("config", revision)}, revision, false});
    }
    REQUIRE(relay.changes_since(2).rows == std::vector<replicated_row>{make_row("config", 9)});

    table_replica follower;
    follower.apply({{make_row("config", 1)}, 2, true});
    const std::vector<replicated_row> changed = follower.apply(
        {{make_row("config", 3), make_row("b", 4), make_row("config", 5)}, 5, false});
    REQUIRE(changed == std::vector<replicated_row>{make_row("b", 4), make_row("config", 5)});
}

// Guards against state of a removed row that stays with the row written under its key afterwards.
TEST_CASE("a deletion is passed on before the row that follows it")
{
    table_replica relay;
    relay.apply({{make_row("a", 1)}, 1, true});
    relay.apply({{make_row("a", 2, true)}, 2, false});
    relay.apply({{make_row("a", 3)}, 3, false});
    REQUIRE(relay.changes_since(1).rows ==
            std::vector<replicated_row>{make_row("a", 2, true), make_row("a", 3)});
}

// Property: guards against followers that wait although there are changes, and against a generation
// that stays the same when the changes differ.
TEST_CASE("the presence of changes and the generation match the changes")
{
    rc::check("presence and generation",
              []
              {
                  table_replica relay(4);
                  std::uint64_t revision = 3;
                  relay.apply({{make_row("a", 2)}, revision, true});
                  const int steps = *rc::gen::inRange(1, 20);
                  for (int n = 0; n < steps; ++n)
                  {
                      std::vector<change_batch> before;
                      for (std::uint64_t since = 0; since <= revision; ++since)
                      {
                          before.push_back(relay.changes_since(since));
                          RC_ASSERT(relay.has_changes_since(since) ==
                                    (before.back().complete || !before.back().rows.empty()));
                      }
                      const std::uint64_t generation = relay.generation();
                      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
                      revision += *rc::gen::inRange<std::uint64_t>(0, 2);
                      change_batch batch{{}, revision, *rc::gen::inRange(0, 4) == 0};
                      if (*rc::gen::arbitrary<bool>())
                      {
                          batch.rows.push_back(
                              make_row(key, revision, *rc::gen::arbitrary<bool>()));
                      }
                      relay.apply(batch);
                      for (std::uint64_t since = 0;
                           since < before.size() && relay.generation() == generation; ++since)
                      {
                          const change_batch after = relay.changes_since(since);
                          RC_ASSERT(after.rows == before[since].rows);
                          RC_ASSERT(after.revision == before[since].revision);
                          RC_ASSERT(after.complete == before[since].complete);
                      }
                  }
              });
    SUCCEED();
}

// Property: for every sequence of changes, and with arbitrary gaps between its polls, a follower
// ends with the rows of its relay.
TEST_CASE("followers converge to their relay")
{
    rc::check("followers converge",
              []
              {
                  table_replica relay(4);
                  table_replica follower(4);
                  std::uint64_t revision = 1;
                  relay.apply({{}, revision, true});
                  const int steps = *rc::gen::inRange(1, 40);
                  for (int n = 0; n < steps; ++n)
                  {
                      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                      const bool deleted = *rc::gen::arbitrary<bool>();
                      ++revision;
                      relay.apply({{make_row(key, revision, deleted)}, revision, false});
                      if (*rc::gen::inRange(0, 5) == 0)
                      {
                          follower.apply(relay.changes_since(follower.revision().value_or(0)));
                      }
                  }
                  follower.apply(relay.changes_since(follower.revision().value_or(0)));
                  RC_ASSERT(follower.rows() == relay.rows());
                  RC_ASSERT(follower.revision() == relay.revision());
              });
    SUCCEED();
}

// Guards against copies that keep their rows because the revisions of a restored table service are
// lower, and against feeds of a later era that are taken for all that has changed.
TEST_CASE("a copy enters a later era with a complete batch only")
{
    table_replica replica;
    replica.apply({{make_row("a", 7), make_row("b", 8)}, 9, true, 1});
    REQUIRE(replica.apply({{make_row("c", 12)}, 12, false, 2}).empty());
    REQUIRE(replica.position() == table_position{9, 1});
    const std::vector<replicated_row> changed =
        replica.apply({{make_row("a", 3), make_row("c", 5)}, 5, true, 2});
    REQUIRE(changed ==
            std::vector<replicated_row>{make_row("a", 3), make_row("c", 5), {"b", {}, 5, true}});
    REQUIRE(replica.position() == table_position{5, 2});
    REQUIRE(replica.find("a")->revision == 3);
}

// Guards against a late answer, or a relay, of an earlier era that takes a copy back.
TEST_CASE("a batch of an earlier era changes nothing")
{
    table_replica replica;
    replica.apply({{make_row("a", 3)}, 5, true, 2});
    REQUIRE(replica.apply({{make_row("a", 8)}, 9, true, 1}).empty());
    REQUIRE(replica.apply({{make_row("a", 8)}, 9, false, 1}).empty());
    REQUIRE(replica.find("a")->revision == 3);
}

// Guards against followers that a relay of another era sends changes since a revision that means
// something else there.
TEST_CASE("a relay sends all rows to a follower of an earlier era and none to one of a later era")
{
    table_replica relay;
    relay.apply({{make_row("a", 7)}, 9, true, 1});
    REQUIRE_FALSE(relay.has_changes_since({5, 2}));
    REQUIRE(relay.changes_since({5, 2}).rows.empty());
    REQUIRE_FALSE(relay.changes_since({5, 2}).complete);
    relay.apply({{make_row("a", 3)}, 5, true, 2});
    // Revision 9 was given out in both eras.
    relay.apply({{make_row("a", 9)}, 9, false, 2});
    REQUIRE(relay.has_changes_since({9, 1}));
    REQUIRE(relay.changes_since({9, 1}).complete);
    REQUIRE(relay.changes_since({9, 1}).era == 2);
    REQUIRE_FALSE(relay.has_changes_since({9, 2}));
}

namespace
{

/// A table service that can be restored from a copy.
struct restorable_table
{
    std::map<std::string, replicated_row> rows; ///< Deleted ones included.
    std::uint64_t revision = 1;
    std::uint64_t era = 1;

    change_batch answer(std::uint64_t since, bool complete) const
    {
        change_batch batch{{}, revision, complete, era};
        for (const auto& [key, row] : rows)
        {
            if (row.revision > since && !(complete && row.deleted))
            {
                batch.rows.push_back(row);
            }
        }
        return batch;
    }

    /// What a router does for each poll.
    void poll(table_replica& replica) const
    {
        const std::optional<table_position> known = replica.position();
        const bool feeds = known && known->revision <= revision;
        const change_batch feed = answer(feeds ? known->revision : 0, !feeds);
        replica.apply(feeds && feed.era > known->era ? answer(0, true) : feed);
    }

    std::vector<replicated_row> present() const { return answer(0, true).rows; }
};

} // namespace

// Property: for every sequence of writes, restores and polls, the copies of a relay and of its
// follower end with the rows of the table service.
TEST_CASE("copies converge across restores of the table service")
{
    rc::check("copies converge across restores",
              []
              {
                  restorable_table service;
                  restorable_table copy = service;
                  table_replica relay(4);
                  table_replica follower(4);
                  const int steps = *rc::gen::inRange(1, 60);
                  for (int n = 0; n < steps; ++n)
                  {
                      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                      switch (*rc::gen::inRange(0, 8))
                      {
                      case 0:
                          copy = service;
                          break;
                      case 1:
                          copy.era = service.era + 1;
                          service = copy;
                          break;
                      case 2:
                          service.poll(relay);
                          break;
                      case 3:
                          service.poll(follower);
                          break;
                      case 4:
                          follower.apply(
                              relay.changes_since(follower.position().value_or(table_position{})));
                          break;
                      default:
                          ++service.revision;
                          service.rows[key] =
                              make_row(key, service.revision, *rc::gen::arbitrary<bool>());
                          service.rows[key].data += " " + std::to_string(service.era);
                      }
                  }
                  service.poll(relay);
                  follower.apply(
                      relay.changes_since(follower.position().value_or(table_position{})));
                  RC_ASSERT(relay.rows() == service.present());
                  RC_ASSERT(follower.rows() == service.present());
              });
    SUCCEED();
}
