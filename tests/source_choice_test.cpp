#include <endivestage/replication.hpp>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

using kind = change_source::kind;

std::vector<relay_candidate> make_fleet(int routers)
{
    std::vector<relay_candidate> fleet;
    for (int n = 0; n < routers; ++n)
    {
        relay_candidate candidate;
        candidate.id = router_id("router-" + std::to_string(n));
        candidate.zone = zone_id("zone-" + std::to_string(n % 4));
        fleet.push_back(candidate);
    }
    return fleet;
}

source_choice make_choice(const relay_candidate& self)
{
    return source_choice({}, self.id, self.zone);
}

constexpr millis fresh{300};
constexpr time_point start{0};

/// Records that a primary relay does not reach the table service, at itself or at another router.
void record_lost_primary(source_choice& choice, const std::vector<relay_candidate>& fleet,
                         const relay_candidate& self, const router_id& primary)
{
    if (self.id == primary)
    {
        choice.record_failed_read(start);
    }
    else
    {
        choice.record_failure(primary, relay_failure::cut_off, fleet, start);
    }
}

int count_relays(const std::vector<relay_candidate>& fleet)
{
    return static_cast<int>(
        std::count_if(fleet.begin(), fleet.end(),
                      [&](const relay_candidate& self)
                      { return make_choice(self).choose(fleet, start).is_relay; }));
}

int count_of(const std::vector<relay_candidate>& fleet, kind expected)
{
    return static_cast<int>(
        std::count_if(fleet.begin(), fleet.end(),
                      [&](const relay_candidate& self)
                      { return make_choice(self).choose(fleet, start).type == expected; }));
}

} // namespace

// Load: calls to the table service are expensive. With 295 routers twelve relays made 8,400 calls
// in a minute. In a fleet of any size one router polls; the relays follow it.
TEST_CASE("one router polls the table service and the other relays follow it")
{
    for (const int size : {2, 6, 9, 80, 400})
    {
        const std::vector<relay_candidate> fleet = make_fleet(size);
        const int relays = count_relays(fleet);
        // Three relays cannot serve 400 routers: each of the four zones has one per 32 routers.
        const int expected = size >= 400 ? 16 : size >= 30 ? 3 : 2;
        REQUIRE(relays == expected);
        REQUIRE(count_of(fleet, kind::service) == 1);
        REQUIRE(count_of(fleet, kind::refresh) == 0);
    }
}

// Fault: relays are disconnected from the table service (scenario node_cut, or platform_down of
// some hosts).
TEST_CASE("a failed relay is skipped and the next in rank is asked")
{
    const std::vector<relay_candidate> fleet = make_fleet(9);
    for (const relay_candidate& self : fleet)
    {
        source_choice choice = make_choice(self);
        const change_source first = choice.choose(fleet, start);
        if (first.type != kind::relay)
        {
            continue;
        }
        choice.record_failure(first.relay, relay_failure::unreachable, fleet, start);
        const change_source second = choice.choose(fleet, start);
        REQUIRE((second.type == kind::service || second.relay != first.relay));
        REQUIRE(choice.choose(fleet, {60000}).relay == first.relay);
    }
}

// Fault: the primary relay is killed, frozen or cut off. Every router that notices it chooses the
// same successor, and only the successor turns to the table service.
TEST_CASE("all routers agree on the successor of a failed primary relay")
{
    for (const int size : {9, 80, 295})
    {
        const std::vector<relay_candidate> fleet = make_fleet(size);
        const router_id primary = source_choice::choose_primary(
            fleet, make_choice(fleet.front()).choose_relays(fleet, start));
        int successors = 0;
        router_id successor;
        for (const relay_candidate& self : fleet)
        {
            source_choice choice = make_choice(self);
            record_lost_primary(choice, fleet, self, primary);
            if (self.id == primary)
            {
                // The table service did not answer the primary itself, which now follows a relay.
                REQUIRE(choice.choose(fleet, start).type == kind::relay);
                continue;
            }
            const change_source source = choice.choose(fleet, start);
            successors += source.type == kind::service ? 1 : 0;
            successor = source.type == kind::service ? self.id : successor;
        }
        REQUIRE(successors == 1);
        for (const relay_candidate& self : fleet)
        {
            source_choice choice = make_choice(self);
            record_lost_primary(choice, fleet, self, primary);
            const change_source source = choice.choose(fleet, start);
            const bool follows_successor = source.relay == successor || self.id == successor;
            REQUIRE((!source.is_relay || self.id == primary || follows_successor));
        }
    }
}

// Guards against configurations that are not in force in time: even when the primary fails just
// before it would have answered, a copy gets no older than the time within which changes must be in
// force, and no healthy router turns to the table service by itself.
TEST_CASE("age limits leave time for the failure of the primary relay")
{
    constexpr millis relay_wait{250};
    constexpr millis relay_timeout{600};
    for (const millis bound : {millis{2000}, millis{3000}, millis{3200}})
    {
        const replication_timing timing = replication_timing::for_change_delay(bound);
        const millis relay_age = timing.poll_wait + relay_wait;
        REQUIRE(relay_age < timing.relay_stale_after);
        REQUIRE(relay_age + relay_timeout <= timing.relay_stale_after);
        REQUIRE(relay_age + relay_timeout + relay_wait < timing.stale_after);
        REQUIRE(timing.stale_after < bound);
        REQUIRE(timing.change_pause + relay_timeout + relay_wait * 2 < bound);
    }
}

// Fault: the table service rejects this router. It must read changes from a relay immediately.
TEST_CASE("a router that the table service rejects asks a relay even if its copy is stale")
{
    const std::vector<relay_candidate> fleet = make_fleet(9);
    for (const relay_candidate& self : fleet)
    {
        source_choice choice = make_choice(self);
        choice.record_failed_read(start);
        const change_source source = choice.choose(fleet, start);
        REQUIRE(choice.time_until_read(fleet, millis{9000}, start) > millis{0});
        REQUIRE(source.type == kind::relay);
        REQUIRE(source.relay != self.id);
    }
}

// Guards against serving withdrawn keys because all relays are stale.
TEST_CASE("a stale copy is refreshed from the table service")
{
    const std::vector<relay_candidate> fleet = make_fleet(9);
    for (const relay_candidate& self : fleet)
    {
        const source_choice choice = make_choice(self);
        const bool polls = choice.choose(fleet, start).type == kind::service;
        const millis wait = choice.time_until_read(fleet, millis{2500}, start);
        REQUIRE((polls || wait == millis{0}));
        REQUIRE(choice.time_until_read(fleet, fresh, start) > millis{0});
    }
    REQUIRE(make_choice(fleet[0]).choose({}, start).type == kind::refresh);
}

TEST_CASE("a relay counts as stale at a lower age than other routers")
{
    const source_choice choice = make_choice(make_fleet(1).front());
    REQUIRE_FALSE(choice.is_relay_stale(millis{900}));
    REQUIRE(choice.is_relay_stale(millis{1600}));
}

// Load: with 300 routers and three relays, the busiest relay used 53% of a core and 914 KB/s. In a
// large fleet no relay may serve much more than its share of the routers.
TEST_CASE("relays of a large fleet share the load")
{
    const std::vector<relay_candidate> fleet = make_fleet(400);
    std::map<router_id, std::size_t> asked;
    for (const relay_candidate& self : fleet)
    {
        const change_source source = make_choice(self).choose(fleet, start);
        if (source.type == kind::relay)
        {
            ++asked[source.relay];
        }
    }
    const std::size_t relays = make_choice(fleet.front()).choose_relays(fleet, start).size();
    REQUIRE(asked.size() == relays);
    REQUIRE(relays >= fleet.size() / source_choice_config{}.max_followers);
    REQUIRE(relays <= 2 * fleet.size() / source_choice_config{}.max_followers);
    for (const std::pair<const router_id, std::size_t>& entry : asked)
    {
        REQUIRE(entry.second < 2 * source_choice_config{}.max_followers);
    }
}

// Guards against more calls to the table service in fleets of common size.
TEST_CASE("fleets of up to 96 routers have at most three relays")
{
    const std::vector<relay_candidate> fleet = make_fleet(96);
    REQUIRE(make_choice(fleet.front()).choose_relays(fleet, start).size() == 3);
    REQUIRE(make_choice(fleet.front()).choose_relays(std::span(fleet).first(9), start).size() == 2);
}

// Guards against relays on hosts whose link and processor share are too small to pass a large
// configuration to tens of followers in time, while larger hosts are alive.
TEST_CASE("the largest hosts are relays")
{
    std::vector<relay_candidate> fleet = make_fleet(71);
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        fleet[n].weight = n % 15 == 0 ? 0.5 : 0.12;
    }
    source_choice choice = make_choice(fleet[1]);
    const std::vector<router_id> relays = choice.choose_relays(fleet, start);
    REQUIRE(relays.size() == 3);
    for (const router_id& relay : relays)
    {
        const auto it =
            std::find_if(fleet.begin(), fleet.end(),
                         [&](const relay_candidate& candidate) { return candidate.id == relay; });
        REQUIRE(it->weight == 0.5);
        choice.record_failure(relay, relay_failure::unreachable, fleet, start);
    }
    // Two large hosts are left; a small one is the third relay.
    const std::vector<router_id> next = choice.choose_relays(fleet, start);
    REQUIRE(next.size() == 3);
    for (const router_id& relay : next)
    {
        REQUIRE(std::find(relays.begin(), relays.end(), relay) == relays.end());
    }
    const auto last =
        std::find_if(fleet.begin(), fleet.end(),
                     [&](const relay_candidate& candidate) { return candidate.id == next.back(); });
    REQUIRE(last->weight == 0.12);
}
