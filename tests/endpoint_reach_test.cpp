// Whether a router reaches the endpoints, decided from the outcomes of connections and requests.

#include <endivestage/reachability.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>
#include <set>
#include <vector>

using namespace endivestage;

namespace
{

constexpr millis check_time{250};
constexpr millis step{10};

std::vector<endpoint_id> make_endpoints(std::size_t n)
{
    std::vector<endpoint_id> endpoints;
    for (std::size_t k = 0; k < n; ++k)
    {
        endpoints.emplace_back("e" + std::to_string(k));
    }
    return endpoints;
}

/// How the links of the router behave.
enum class link_state
{
    sound,
    silent,   ///< New connections time out, open ones do not answer.
    refused,  ///< New connections are refused, open ones do not answer.
    lives_on, ///< New connections are refused, open ones answer.
    reset,    ///< New connections are accepted and reset, open ones answer.
    accepted, ///< Connections are accepted on the way, and nothing answers.
};

/// One router with its endpoints, of which some may be down for everybody.
class simulated_router
{
public:
    simulated_router(std::size_t endpoints, std::uint64_t seed)
        : endpoints_(make_endpoints(endpoints)),
          random_(seed)
    {
    }

    /// A request to an endpoint; its outcome comes later.
    void send_request()
    {
        const endpoint_id& endpoint = endpoints_[random_.below(endpoints_.size())];
        const bool reused = random_.below(2) == 0;
        begin(endpoint, reused, false);
    }

    void advance()
    {
        now = now + step;
        while (!pending_.empty())
        {
            const auto due =
                std::min_element(pending_.begin(), pending_.end(),
                                 [](const attempt& a, const attempt& b) { return a.due < b.due; });
            if (due->due > now)
            {
                break;
            }
            const attempt done = *due;
            pending_.erase(due);
            finish(done);
        }
        std::vector<endpoint_id> candidates;
        std::copy_if(endpoints_.begin(), endpoints_.end(), std::back_inserter(candidates),
                     [&](const endpoint_id& id) { return !known_down.contains(id); });
        for (const endpoint_id& id : reach.choose_checks(candidates, random_, now))
        {
            ++checks;
            begin(id, false, true);
        }
    }

    const std::vector<endpoint_id>& endpoints() const { return endpoints_; }
    std::uint64_t below(std::uint64_t n) { return random_.below(n); }

    endpoint_reach reach;
    time_point now{1000};
    link_state state = link_state::sound;
    std::set<endpoint_id> down;       ///< Endpoints that are down for everybody.
    std::set<endpoint_id> known_down; ///< Those of them that other routers report.
    std::size_t checks = 0;

private:
    struct attempt
    {
        endpoint_id endpoint;
        time_point sent_at;
        time_point due;
        bool reused = false;
        bool check = false;
    };

    void begin(const endpoint_id& endpoint, bool reused, bool check)
    {
        const bool fails_at_once = state == link_state::refused || state == link_state::lives_on ||
                                   state == link_state::reset;
        const millis wait = state == link_state::sound || fails_at_once ? millis{5} : check_time;
        pending_.push_back({endpoint, now, now + wait, reused, check});
    }

    void finish(const attempt& done)
    {
        const bool is_down = down.contains(done.endpoint);
        const bool connects =
            !is_down && (state == link_state::sound || state == link_state::accepted ||
                         state == link_state::reset);
        const bool lives_on = state == link_state::lives_on || state == link_state::reset;
        const bool answers = !is_down && (state == link_state::sound || (lives_on && done.reused));
        const bool ignored = known_down.contains(done.endpoint);
        const bool accepted_only = done.check && connects && !reach.checks_need_response(now);
        if (answers && !accepted_only)
        {
            reach.record_response(now);
        }
        if (!done.reused && (accepted_only || answers))
        {
            reach.record_connection(done.endpoint, now);
        }
        else if (!answers && !ignored && !done.reused && !connects)
        {
            reach.record_failed_connection(done.endpoint, now);
        }
        else if (!answers && !ignored && !done.reused && state == link_state::reset)
        {
            reach.record_reset_connection(done.endpoint, now);
        }
        else if (!answers && !ignored)
        {
            reach.record_lost_response(done.endpoint, done.sent_at, now);
        }
        if (done.check)
        {
            reach.end_check(done.endpoint);
        }
    }

    std::vector<endpoint_id> endpoints_;
    seeded_random random_;
    std::vector<attempt> pending_;
};

/// Sends requests at a rate for some time.
void run(simulated_router& router, millis time, std::uint64_t requests_per_s)
{
    const time_point end = router.now + time;
    while (router.now < end)
    {
        if (router.below(1000) < requests_per_s * static_cast<std::uint64_t>(step.count))
        {
            router.send_request();
        }
        router.advance();
    }
}

} // namespace

// Guards against routers that answer 503 to all callers without noticing that the fault is their
// own: every form of a cut must be noticed well within contact_ms (3 s), at the traffic of a router
// in a large fleet.
TEST_CASE("a router that loses all endpoints counts as cut off within two seconds")
{
    const link_state state = GENERATE(link_state::silent, link_state::refused, link_state::lives_on,
                                      link_state::accepted);
    rc::check(
        [state](std::uint64_t seed)
        {
            const std::size_t endpoints = *rc::gen::inRange<std::size_t>(2, 60);
            simulated_router router(endpoints, seed);
            run(router, millis{3000}, 20);
            router.state = state;
            run(router, millis{2000}, 20);
            RC_ASSERT(router.reach.state(router.now) == reach_state::cut_off);
            RC_ASSERT(router.reach.is_announced(router.now));
            run(router, millis{5000}, 20);
            RC_ASSERT(router.reach.state(router.now) == reach_state::cut_off);
            // Guards against callers that stay away after the links are back.
            router.state = link_state::sound;
            run(router, millis{1200}, 20);
            RC_ASSERT(router.reach.state(router.now) == reach_state::reached);
        });
}

// Guards against routers that stay out of the directory for as long as the records of dead
// endpoints last: one endpoint that works is enough to end a cut.
TEST_CASE("a cut ends although one endpoint only is left")
{
    const std::size_t endpoints = GENERATE(2, 8);
    rc::check(
        [endpoints](std::uint64_t seed)
        {
            simulated_router router(endpoints, seed);
            run(router, millis{1000}, 40);
            router.state = link_state::refused;
            run(router, millis{2500}, 40);
            RC_ASSERT(router.reach.state(router.now) == reach_state::cut_off);
            for (std::size_t n = 1; n < endpoints; ++n)
            {
                router.down.insert(router.endpoints()[n]);
            }
            router.state = link_state::sound;
            bool ended = false;
            for (int n = 0; n < 1000 && !ended; ++n)
            {
                run(router, step, 40);
                ended = !router.reach.cut_off_since();
            }
            RC_ASSERT(ended);
        });
}

// Guards against engines that crash one after the other and are replaced, which passed for a cut:
// those whose records are gone are no evidence.
TEST_CASE("endpoints that have left are no evidence of a cut")
{
    endpoint_reach reach;
    seeded_random random(5);
    const std::vector<endpoint_id> left = make_endpoints(3);
    const std::vector<endpoint_id> present{endpoint_id("x"), endpoint_id("y"), endpoint_id("z")};
    for (const endpoint_id& id : left)
    {
        reach.record_failed_connection(id, time_point{1000});
        reach.choose_checks(present, random, time_point{1010});
    }
    REQUIRE(reach.state(time_point{1020}) == reach_state::reached);
    REQUIRE_FALSE(reach.cut_off_since());
}

// Guards against a cut that is concluded from the number of endpoints at the last doubt.
TEST_CASE("two lost endpoints of many are no cut, whatever was known before")
{
    endpoint_reach reach;
    seeded_random random(5);
    const std::vector<endpoint_id> few = make_endpoints(2);
    reach.record_failed_connection(few[0], time_point{1000});
    reach.record_failed_connection(few[1], time_point{1000});
    reach.choose_checks(few, random, time_point{1010});
    reach.record_connection(few[0], time_point{1020});
    reach.choose_checks(few, random, time_point{1030});
    reach.record_failed_connection(endpoint_id("x"), time_point{20000});
    reach.record_failed_connection(endpoint_id("y"), time_point{20000});
    REQUIRE_FALSE(reach.cut_off_since());
}

// Guards against requests that take a detour because endpoints are down for everybody.
TEST_CASE("a router that reaches half of the endpoints is not cut off for long")
{
    rc::check(
        [](std::uint64_t seed)
        {
            const std::size_t endpoints = *rc::gen::inRange<std::size_t>(8, 60);
            simulated_router router(endpoints, seed);
            millis cut_off{0};
            for (int round = 0; round < 20; ++round)
            {
                router.down.clear();
                const std::size_t lost = router.below(endpoints / 2 + 1);
                for (std::size_t n = 0; n < lost; ++n)
                {
                    router.down.insert(router.endpoints()[router.below(endpoints)]);
                }
                for (int n = 0; n < 100; ++n)
                {
                    run(router, step, 20);
                    cut_off = router.reach.cut_off_since() ? cut_off + step : millis{0};
                    RC_ASSERT(cut_off <= millis{1500});
                }
            }
        });
}

// Guards against a router that takes an outage of all endpoints, which the others see as well, for
// a cut of its own.
TEST_CASE("endpoints that other routers report are no evidence of a cut")
{
    simulated_router router(12, 7);
    run(router, millis{1000}, 20);
    for (const endpoint_id& id : router.endpoints())
    {
        router.down.insert(id);
        router.known_down.insert(id);
    }
    for (int n = 0; n < 500; ++n)
    {
        run(router, step, 20);
        REQUIRE_FALSE(router.reach.cut_off_since());
    }
}

// Guards against probes that a calm fleet pays for.
TEST_CASE("nothing is checked while endpoints are lost one at a time")
{
    rc::check(
        [](std::uint64_t seed)
        {
            simulated_router router(12, seed);
            run(router, millis{10000}, 40);
            RC_ASSERT(router.checks == 0U);
            router.down.insert(router.endpoints()[router.below(12)]);
            run(router, millis{10000}, 40);
            RC_ASSERT(router.checks == 0U);
        });
}

// Guards against health checks in calm: slow requests that are given up together are no evidence
// while other requests are answered.
TEST_CASE("a response after a request was sent outweighs that it was given up")
{
    endpoint_reach reach;
    seeded_random random(5);
    const std::vector<endpoint_id> endpoints = make_endpoints(8);
    reach.record_response(time_point{1100});
    reach.record_lost_response(endpoints[0], time_point{1000}, time_point{1333});
    reach.record_lost_response(endpoints[1], time_point{1070}, time_point{1403});
    REQUIRE(reach.state(time_point{1403}) == reach_state::reached);
    REQUIRE(reach.choose_checks(endpoints, random, time_point{1403}).empty());
    reach.record_lost_response(endpoints[2], time_point{1200}, time_point{1533});
    reach.record_lost_response(endpoints[3], time_point{1270}, time_point{1603});
    REQUIRE(reach.state(time_point{1603}) == reach_state::doubted);
}

// Guards against a fleet with one endpoint whose router refuses requests without trying it.
TEST_CASE("a router with one endpoint never counts as cut off")
{
    simulated_router router(1, 3);
    router.state = link_state::refused;
    run(router, millis{5000}, 40);
    REQUIRE_FALSE(router.reach.cut_off_since());
}

// Guards against callers that are moved to and fro by a link that comes and goes.
TEST_CASE("the announcement of a cut outlasts short returns")
{
    simulated_router router(12, 11);
    run(router, millis{1000}, 40);
    int changes = 0;
    bool announced = false;
    for (int n = 0; n < 12; ++n)
    {
        for (const link_state state : {link_state::refused, link_state::sound})
        {
            router.state = state;
            for (int k = 0; k < 150; ++k)
            {
                run(router, step, 40);
                const bool now_announced = router.reach.is_announced(router.now);
                changes += now_announced != announced ? 1 : 0;
                announced = now_announced;
            }
        }
    }
    // 36 s of 1.5 s without and 1.5 s with links.
    REQUIRE(changes <= 5);
    run(router, millis{9000}, 40);
    REQUIRE_FALSE(router.reach.is_announced(router.now));
}

// Guards against routers that hand requests to a router that is cut off itself, or never again to
// one that was.
TEST_CASE("a statement counts for one run of a router and for a limited time")
{
    fleet_reach fleet;
    const router_id router("r1");
    const time_point now{5000};
    REQUIRE_FALSE(fleet.is_cut_off(router, 7, now));
    REQUIRE(fleet.record(router, {7, true}, now));
    REQUIRE_FALSE(fleet.record(router, {7, true}, now + millis{2000}));
    REQUIRE(fleet.is_cut_off(router, 7, now + millis{2000}));
    REQUIRE_FALSE(fleet.is_cut_off(router, 8, now + millis{2000}));
    REQUIRE_FALSE(fleet.is_cut_off(router, 7, now + millis{2000} + fleet_reach::ttl));
    REQUIRE(fleet.record(router, {7, false}, now + millis{2500}));
    REQUIRE_FALSE(fleet.is_cut_off(router, 7, now + millis{2500}));
    const std::optional<reach_statement> decoded = decode_reach(encode_reach({7, true}));
    REQUIRE(decoded);
    REQUIRE(decoded->incarnation == 7);
    REQUIRE(decoded->cut_off);
    for (const char* text : {"", "7", "7 ", "x cut_off", "7 cut_of", "7 cut_off "})
    {
        REQUIRE_FALSE(decode_reach(text));
    }
}

// Guards against a cut zone that overloads one of the routers that are left.
TEST_CASE("requests are handed over in proportion to the processor shares")
{
    rc::check(
        [](std::uint64_t seed)
        {
            seeded_random random(seed);
            handover_choice choice(zone_id("a"));
            std::vector<handover_candidate> candidates;
            const std::size_t routers = *rc::gen::inRange<std::size_t>(1, 30);
            double weights = 0.0;
            for (std::size_t n = 0; n < routers; ++n)
            {
                const double weight = n % 2 == 0 ? 0.25 : 0.5;
                weights += weight;
                candidates.push_back(
                    {router_id("r" + std::to_string(n)), zone_id(n % 3 == 0 ? "a" : "b"), weight});
            }
            std::map<router_id, std::size_t> open;
            const std::size_t requests = 40 * routers;
            for (std::size_t n = 0; n < requests; ++n)
            {
                const std::optional<router_id> chosen =
                    choice.choose(candidates, {}, random, time_point{0});
                RC_ASSERT(chosen);
                choice.begin(*chosen);
                ++open[*chosen];
            }
            for (const handover_candidate& candidate : candidates)
            {
                const double share = static_cast<double>(requests) * candidate.weight / weights;
                RC_ASSERT(static_cast<double>(open[candidate.id]) <= share * 1.6 + 2.0);
            }
        });
}

// Guards against requests that are offered again to routers that cannot take them.
TEST_CASE("routers that were tried, are paused or full get no request")
{
    seeded_random random(1);
    handover_choice_config config;
    config.max_open_per_router = 2;
    handover_choice choice(zone_id("a"), config);
    const std::vector<handover_candidate> candidates{{router_id("r1"), zone_id("a"), 1.0},
                                                     {router_id("r2"), zone_id("b"), 1.0}};
    const time_point now{1000};
    const std::vector<router_id> tried{router_id("r1")};
    REQUIRE(choice.choose(candidates, tried, random, now) == router_id("r2"));
    choice.record_refusal(router_id("r2"), now);
    REQUIRE_FALSE(choice.choose(candidates, tried, random, now));
    REQUIRE(choice.choose(candidates, tried, random, now + config.refusal_pause) ==
            router_id("r2"));
    choice.record_unreachable(router_id("r1"), now);
    REQUIRE_FALSE(choice.choose(candidates, {}, random, now));
    const time_point later = now + config.unreachable_pause;
    choice.begin(router_id("r1"));
    choice.begin(router_id("r1"));
    choice.begin(router_id("r2"));
    choice.begin(router_id("r2"));
    REQUIRE_FALSE(choice.choose(candidates, {}, random, later));
    choice.end(router_id("r2"));
    REQUIRE(choice.choose(candidates, {}, random, later) == router_id("r2"));
}
