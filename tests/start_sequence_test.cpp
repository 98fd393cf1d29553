#include <endivestage/replication.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

constexpr time_point begin{100000};
constexpr millis store_time{10};
constexpr millis relay_time{3};
/// The slowest table service answers 2,000 reads a second.
constexpr std::size_t max_reads_in_spread = 400;

/// A router that starts, with instants of its own.
struct starting_router
{
    relay_candidate info;
    source_choice choice;
    start_sequence sequence;
    time_point joined;
    time_point busy_until;
    std::optional<time_point> complete;
    bool reads_service = false;
};

struct start_result
{
    std::size_t service_readers = 0;
    millis longest{0}; ///< From the last start to the last complete copy.
};

/// Starts \p count routers within \p spread; those with an index below \p dead never run.
start_result start_fleet(std::size_t count, millis spread, std::size_t dead, std::uint64_t seed)
{
    seeded_random random(seed);
    std::vector<starting_router> routers;
    std::vector<relay_candidate> registered;
    for (std::size_t n = 0; n < count; ++n)
    {
        const relay_candidate info{router_id("r" + std::to_string(n)),
                                   zone_id("z" + std::to_string(n % 3)),
                                   0.12 + 0.01 * static_cast<double>(random.below(5))};
        registered.push_back(info);
        const std::uint64_t delay = random.below(static_cast<std::uint64_t>(spread.count) + 1);
        const time_point joined = begin + millis{static_cast<std::int64_t>(delay)} + store_time;
        const millis period = start_sequence::relay_period(info.id, count);
        routers.push_back({info, source_choice({}, info.id, info.zone),
                           start_sequence(joined, period), joined, joined});
    }
    start_result result;
    std::size_t incomplete = count - dead;
    for (time_point now = begin; incomplete > 0; now = now + millis{1})
    {
        for (std::size_t n = dead; n < count; ++n)
        {
            starting_router& router = routers[n];
            if (router.complete || now < router.busy_until)
            {
                continue;
            }
            const change_source source = router.choice.choose(registered, now);
            if (router.sequence.reads_service(source, now))
            {
                ++result.service_readers;
                router.complete = now + store_time;
            }
            else
            {
                const std::size_t index = std::stoul(source.relay.str().substr(1));
                const starting_router& relay = routers[index];
                if (index < dead || now < relay.joined)
                {
                    // The host of a dead router does not answer; the others refuse at once.
                    router.choice.record_failure(source.relay, relay_failure::unreachable,
                                                 registered, now);
                    router.busy_until =
                        now + (index < dead ? start_sequence::connect_timeout : millis{1});
                }
                else if (relay.complete && *relay.complete <= now)
                {
                    router.complete = now + relay_time;
                }
                // Otherwise the relay keeps the poll open.
            }
            incomplete -= router.complete ? 1 : 0;
            if (router.complete)
            {
                result.longest = std::max(result.longest, *router.complete - begin - spread);
            }
        }
    }
    return result;
}

} // namespace

// Load: all 295 routers of a fleet are killed and start again within 200 ms. Guards against a
// thundering herd at the store, and against routers that wait for each other.
TEST_CASE("few of the routers that start at the same time read the table service")
{
    for (const std::size_t count : {6UL, 23UL, 75UL, 295UL})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            const start_result started = start_fleet(count, millis{200}, 0, seed);
            // Each router reads the routers' table, and some read the two other tables.
            REQUIRE(count + 2 * started.service_readers <= max_reads_in_spread);
            REQUIRE(started.longest <= millis{60});
        }
    }
}

// Load: the hosts of 27 of 30 routers stay down. Guards against a start that waits for all of them
// in turn, longer than callers are held.
TEST_CASE("a router reads the table service when the hosts of all relays are down")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const start_result started = start_fleet(30, millis{50}, 27, seed);
        REQUIRE(started.service_readers <= 3);
        REQUIRE(started.longest <= millis{800});
    }
}

// Guards against 300 reads in one millisecond when no relay answers anybody.
TEST_CASE("reads of routers that find no relay are spread")
{
    std::vector<int> reads(300);
    for (std::size_t n = 0; n < 300; ++n)
    {
        const millis period = start_sequence::relay_period(router_id("r" + std::to_string(n)), 300);
        ++reads.at(
            static_cast<std::size_t>((period - start_sequence::shortest_relay_period).count));
    }
    REQUIRE(*std::max_element(reads.begin(), reads.end()) <= 8);
    REQUIRE(start_sequence::pause_after(relay_answer::unreachable) == millis{0});
    REQUIRE(start_sequence::pause_after(relay_answer::not_ready) > millis{0});
}
