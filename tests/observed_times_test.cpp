// Estimates of answer times and the order of endpoints that follows from them. The load is that of
// a service with 90 engines of 16 slots and 23 routers, unless a test says otherwise.

#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <cmath>
#include <map>

using namespace endivestage;

namespace
{

const service_id pool("pool");
constexpr int engines = 90;
constexpr int routers = 23;

/// The information of one router.
struct view
{
    endpoint_directory endpoints;
    prefix_directory prefixes;
    observed_times times{endpoints, prefixes};

    explicit view(int count = engines)
    {
        for (int n = 0; n < count; ++n)
        {
            endpoint_record record;
            record.id = id(n);
            record.service = pool;
            record.zone = zone_id("zone-" + std::to_string(n % 3));
            record.slots = 16;
            endpoints.update(record, {0});
        }
    }

    static endpoint_id id(int n) { return endpoint_id("engine-" + std::to_string(n)); }
    const endpoint_state& at(int n) const { return *endpoints.find(id(n)); }

    void report(int n, std::uint32_t running, double pace, time_point now)
    {
        endpoints.record_load_report(id(n), load_report{running, 0, 16, pace}, now);
    }

    void report_all(std::uint32_t running, time_point now)
    {
        for (int n = 0; engines > n && endpoints.find(id(n)) != nullptr; ++n)
        {
            report(n, running, 1.0, now);
        }
    }

    /// Answers with 20 ms, 1 ms for each 100 tokens and up to 40 ms for occupied slots.
    void learn()
    {
        for (int n = 0; n < 200; ++n)
        {
            attempt_conditions sent = times.conditions(at(0), {"chat", 0, 0, {}}, {0});
            sent.uncached_tokens = 100.0 * (n % 20);
            sent.slot_share = static_cast<double>(n % 7) / 7.0;
            const double ms = 20.0 + sent.uncached_tokens / 100.0 + 40.0 * sent.slot_share;
            times.record_first_event(sent, 1.0, millis{std::llround(ms)});
            times.record_completion(sent, 1.0, millis{400});
        }
    }

    std::vector<const endpoint_state*> rank(time_point now, std::uint64_t tie_breaker,
                                            std::span<const prompt_part> chat = {},
                                            const zone_id& zone = {}) const
    {
        const std::vector<const endpoint_state*> available = endpoints.available(pool, now);
        endpoint_choice_input input;
        input.endpoints = available;
        input.now = now;
        input.tie_breaker = tie_breaker;
        input.prefixes = &prefixes;
        input.estimator = &times;
        input.work = {"chat", 0, 0, chat};
        input.zone = zone;
        if (!chat.empty())
        {
            input.chat_hash = chat.back().hash;
        }
        return rank_endpoints(endpoints, input, {});
    }

    std::int64_t first_event_at(int n, time_point now, std::uint32_t tokens = 0) const
    {
        const time_estimate estimate = times.estimate(at(n), {"chat", tokens, 0, {}}, now);
        REQUIRE(estimate.known);
        return estimate.first_event.count;
    }
};

} // namespace

// Guards against estimates from a few answers, which would move all requests to one endpoint.
TEST_CASE("times are unknown until enough answers of the route were observed")
{
    view v(1);
    const attempt_conditions sent = v.times.conditions(v.at(0), {"chat", 0, 0, {}}, {0});
    for (int n = 0; n < 19; ++n)
    {
        v.times.record_first_event(sent, 1.0, millis{50});
    }
    REQUIRE_FALSE(v.times.estimate(v.at(0), {"chat", 0, 0, {}}, {0}).known);
    v.times.record_first_event(sent, 1.0, millis{50});
    REQUIRE(v.first_event_at(0, {0}) == 50);
    REQUIRE_FALSE(v.times.estimate(v.at(0), {"other", 0, 0, {}}, {0}).known);
}

// Load: prompts of up to 2,000 tokens at engines with up to 16 of 16 slots taken. Guards against an
// estimate that takes the effect of one for that of the other.
TEST_CASE("tokens, occupied slots and the queue add to the time of the first event")
{
    view v(1);
    v.learn();
    REQUIRE(std::abs(v.first_event_at(0, {0}) - 20) <= 2);
    REQUIRE(std::abs(v.first_event_at(0, {0}, 4000) - 60) <= 4);
    v.report(0, 8, 1.0, {1});
    REQUIRE(std::abs(v.first_event_at(0, {1}) - 40) <= 3);
    v.report(0, 31, 1.0, {2});
    REQUIRE(v.first_event_at(0, {2}) > 400);
}

// Load: a host is 2.5 times slower for 600 ms. Guards against avoiding it long after that, and
// against an estimate that does not notice it.
TEST_CASE("a reported pace counts less with its age")
{
    view v(1);
    v.learn();
    v.report(0, 0, 2.5, {1000});
    const std::int64_t usual = 20;
    REQUIRE(std::abs(v.first_event_at(0, {1000}) - 50) <= 4);
    REQUIRE(v.first_event_at(0, {1300}) < usual * 2);
    REQUIRE(v.first_event_at(0, {3000}) <= usual + 2);
}

// Load: 15% of the hosts are 2.5 times slower. Guards against sending to them what others can
// serve.
TEST_CASE("requests avoid the hosts that are slow at this moment")
{
    view v;
    v.learn();
    v.report_all(4, {1000});
    for (int n = 0; n < engines * 15 / 100; ++n)
    {
        v.report(n * 6, 4, 2.5, {1000});
    }
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        const endpoint_state& first = *v.rank({1100}, n).front();
        REQUIRE(*first.pace < 2.0);
    }
}

// Load: 23 routers with the same information choose for 50 requests each before any of them learns
// of the others; one engine is idle and the others are half full. Guards against all routers
// sending to that engine.
TEST_CASE("routers with the same information spread their requests")
{
    view v;
    v.learn();
    v.report_all(8, {1000});
    v.report(5, 0, 1.0, {1000});
    std::map<endpoint_id, int> sent;
    seeded_random random(1);
    constexpr int requests = 50 * routers;
    for (int n = 0; n < requests; ++n)
    {
        const zone_id zone("zone-" + std::to_string(n % routers % 3));
        ++sent[v.rank({1000}, random.next(), {}, zone).front()->record.id];
    }
    for (const std::pair<const endpoint_id, int>& count : sent)
    {
        // Four times the share, and four times its standard deviation.
        const double share = static_cast<double>(requests) / engines;
        REQUIRE(count.second < 4.0 * share + 4.0 * std::sqrt(4.0 * share));
    }
}

// Guards against bytes between zones that gain nothing, and against one router's zone overloading
// the only endpoint of the zone that is as good as the others.
TEST_CASE("the router's own zone is preferred among equally good endpoints")
{
    view v;
    v.learn();
    v.report_all(4, {1000});
    const zone_id own("zone-1");
    for (std::uint64_t n = 0; n < 50; ++n)
    {
        REQUIRE(v.rank({1000}, n, {}, own).front()->record.zone == own);
    }
    for (int n = 4; n < engines; n += 3)
    {
        v.report(n, 4, 2.5, {1000});
    }
    int in_zone = 0;
    for (std::uint64_t n = 0; n < 100; ++n)
    {
        in_zone += v.rank({1000}, n, {}, own).front()->record.zone == own ? 1 : 0;
    }
    REQUIRE(in_zone < 20);
}

// Load: a chat of 6,000 tokens (60 ms to read) is cached at an engine that gets busy. Guards
// against reading the history again for a small gain, and against waiting for the cached engine
// longer than reading takes.
TEST_CASE("a chat stays at its history unless another engine is clearly sooner")
{
    view v;
    v.learn();
    v.report_all(4, {1000});
    const std::vector<prompt_part> chat{{hash64("chat"), 6000}};
    v.prefixes.record_served(chat, v.at(7).hash, {1000});
    REQUIRE(v.rank({1000}, 1, chat).front()->record.id == view::id(7));
    v.report(7, 8, 1.0, {1000});
    REQUIRE(v.rank({1000}, 1, chat).front()->record.id == view::id(7));
    // A busy warm engine is left once it is later than an idle one that reads the whole prompt.
    v.report_all(14, {1000});
    v.report(7, 20, 6.0, {1000});
    REQUIRE(v.rank({1000}, 1, chat).front()->record.id != view::id(7));
}

// Guards against a long prompt that makes a cold engine slower still, and against estimates of
// warm engines that cold answers distort.
TEST_CASE("a cold engine is estimated by the times of cold engines")
{
    view v(2);
    v.learn();
    const std::int64_t warm = v.first_event_at(0, {0}, 1000);
    v.endpoints.record_cold_report(view::id(1), millis{3000}, {0});
    REQUIRE(v.first_event_at(1, {0}, 1000) >= warm * 2 - 1);
    const attempt_conditions sent = v.times.conditions(v.at(1), {"chat", 1000, 0, {}}, {0});
    for (int n = 0; n < 100; ++n)
    {
        v.times.record_first_event(sent, 1.0, millis{warm * 4});
    }
    REQUIRE(v.first_event_at(1, {0}, 1000) > warm * 3);
    REQUIRE(v.first_event_at(0, {0}, 1000) == warm);
}

// Guards against an engine above the load bound getting requests because it is fast or caches them.
TEST_CASE("the load bound precedes the estimate")
{
    view v;
    v.learn();
    v.report_all(1, {1000});
    const std::vector<prompt_part> chat{{hash64("chat"), 60000}};
    v.prefixes.record_served(chat, v.at(7).hash, {1000});
    v.report(7, 5, 0.5, {1000});
    REQUIRE(v.rank({1000}, 1, chat).front()->record.id != view::id(7));
    REQUIRE(v.rank({1000}, 1).back()->record.id == view::id(7));
}

// Guards against a change of order at services whose endpoints report no pace.
TEST_CASE("without a reported pace the estimate does not count")
{
    view v(6);
    v.learn();
    for (int n = 0; n < 6; ++n)
    {
        v.endpoints.record_load_report(view::id(n), 4.0, {1000});
    }
    const std::vector<prompt_part> chat{{hash64("chat"), 100}};
    const std::vector<const endpoint_state*> ranked = v.rank({1000}, 1, chat, zone_id("zone-1"));
    const std::vector<const endpoint_state*> available = v.endpoints.available(pool, {1000});
    REQUIRE(ranked.front()->hash == find_rendezvous_pair(available, chat.back().hash).first);
}

// Guards against rare routes whose requests follow the fleet's sums, which arrive after such
// requests have ended.
TEST_CASE("a route with few answers is ranked by what the router sees itself")
{
    view v(3);
    v.report_all(4, {1000});
    load_changes sums{{}, 1, true};
    sums.loads.push_back({v.at(0).hash, 40});
    sums.loads.push_back({v.at(1).hash, 40});
    v.endpoints.apply_fleet_loads(sums, {1000});
    v.endpoints.begin_request(view::id(2));
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        REQUIRE(v.rank({1000}, n).back()->record.id == view::id(2));
    }
}
