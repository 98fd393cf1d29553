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

int count_of(const std::vector<relay_candidate>& fleet, kind expected)
{
    return static_cast<int>(
        std::count_if(fleet.begin(), fleet.end(),
                      [&](const relay_candidate& self)
                      { return make_choice(self).choose(fleet, fresh, start).type == expected; }));
}

} // namespace

// Load: calls to the table service are expensive. In a fleet of any size only a few routers make
// them.
TEST_CASE("only the relays poll the table service")
{
    for (const int size : {2, 6, 9, 80, 400})
    {
        const std::vector<relay_candidate> fleet = make_fleet(size);
        const int relays = count_of(fleet, kind::service);
        // Three relays cannot serve 400 routers: each of the four zones has one per 32 routers.
        const int expected = size >= 400 ? 16 : size >= 30 ? 3 : 2;
        REQUIRE(relays == expected);
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
        const change_source first = choice.choose(fleet, fresh, start);
        if (first.type != kind::relay)
        {
            continue;
        }
        choice.record_failure(first.relay, start);
        const change_source second = choice.choose(fleet, fresh, start);
        REQUIRE((second.type == kind::service || second.relay != first.relay));
        REQUIRE(choice.choose(fleet, fresh, {60000}).relay == first.relay);
    }
}

// Fault: the table service rejects this router. It must read changes from a relay immediately.
TEST_CASE("a router that the table service rejects asks a relay even if its copy is stale")
{
    const std::vector<relay_candidate> fleet = make_fleet(9);
    for (const relay_candidate& self : fleet)
    {
        source_choice choice = make_choice(self);
        choice.record_failure(self.id, start);
        const change_source source = choice.choose(fleet, millis{9000}, start);
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
        const change_source source = make_choice(self).choose(fleet, millis{2500}, start);
        REQUIRE(source.type != kind::relay);
    }
    REQUIRE(make_choice(fleet[0]).choose({}, fresh, start).type == kind::refresh);
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
        const change_source source = make_choice(self).choose(fleet, fresh, start);
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
