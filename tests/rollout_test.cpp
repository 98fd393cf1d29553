// Guards against roll-outs that complete a bad version, revert a good one, or expose too many
// requests.

#include <endivestage/rollout.hpp>

#include <catch2/catch.hpp>
#include <functional>

using namespace endivestage;

namespace
{

constexpr millis step{200};
constexpr std::uint64_t routes = 3;

/// A response of the simulated service.
struct response
{
    bool failed = false;
    double slowness = 1.0; ///< Factor of the usual time to the first event.
};

/// One roll-out of 12 s: load, and what the responses of the new version are like.
struct scenario
{
    double rate = 100.0; ///< Requests per second.
    millis duration{12000};
    double old_failures = 0.002;
    /// \returns The new version's response on a route after the order.
    std::function<response(std::uint64_t route, millis elapsed, seeded_random&)> fresh;
    millis delay{400}; ///< Until counts reach the writer and a record reaches all routers.
};

struct outcome
{
    rollout_phase phase = rollout_phase::serving;
    millis decided{0};
    std::uint64_t total = 0;
    std::uint64_t exposed = 0;
    std::uint64_t bad = 0;
    millis fiftieth_bad{1000000};
    millis last_sent{0};
    millis switched{0};
};

outcome play(const scenario& played, std::uint64_t seed)
{
    seeded_random random(seed);
    rollout_controller controller({});
    rollout_order order{service_id("pool"), "v2", played.duration, 7};
    rollout_record current = begin_rollout(order, nullptr, {});
    std::deque<std::pair<millis, rollout_record>> written; ///< By when all routers have it.
    std::deque<evidence_counts> counted{{}};
    rollout_record followed = current;
    followed.share = 0.0;
    outcome seen;
    for (millis elapsed{0}; elapsed < played.duration + millis{3000}; elapsed = elapsed + step)
    {
        while (!written.empty() && written.front().first <= elapsed)
        {
            followed = written.front().second;
            written.pop_front();
        }
        evidence_counts counts = counted.back();
        const double share = followed.phase == rollout_phase::reverted  ? 0.0
                             : followed.phase == rollout_phase::serving ? followed.share
                                                                        : 1.0;
        const double requests = played.rate * static_cast<double>(step.count) / 1000.0;
        const std::uint64_t n = static_cast<std::uint64_t>(requests + random.unit());
        for (std::uint64_t request = 0; request < n; ++request)
        {
            evidence_key key{random.unit() < share, random.below(routes), false};
            response got{random.unit() < played.old_failures, 1.0};
            // Hosts are slow for a moment now and then, whatever they run.
            got.slowness = random.unit() < 0.15 ? 2.5 : 1.0;
            if (key.is_new)
            {
                const response fresh = played.fresh(key.route, elapsed, random);
                got.failed = got.failed || fresh.failed;
                got.slowness *= fresh.slowness;
                const bool bad = fresh.failed || fresh.slowness > 2.0;
                seen.last_sent = elapsed;
                seen.bad += bad ? 1 : 0;
                if (seen.bad == 50 && bad)
                {
                    seen.fiftieth_bad = elapsed;
                }
            }
            response_counts& sum = counts[key];
            ++sum.requests;
            sum.failures += got.failed ? 1 : 0;
            const double time = got.slowness * (60.0 + random.unit() * 60.0);
            ++sum.first_event.at(latency_bucket(millis{static_cast<std::int64_t>(time)}));
            seen.exposed += key.is_new && elapsed < played.duration ? 1 : 0;
        }
        seen.total += elapsed < played.duration ? n : 0;
        counted.push_back(counts);
        rollout_observation observed;
        observed.counts = counted.size() > 2 ? counted[counted.size() - 3] : evidence_counts{};
        observed.elapsed = elapsed;
        observed.longest_request = millis{15000};
        observed.old_endpoints = 4;
        observed.new_endpoints = 2;
        const std::optional<rollout_record> next =
            controller.decide(order, current, observed, time_point{elapsed.count});
        if (next)
        {
            REQUIRE(may_replace(*next, current));
            current = *next;
            current.row_revision = 8;
            written.emplace_back(elapsed + played.delay, current);
            seen.decided = elapsed;
            seen.switched = current.phase == rollout_phase::switching ? elapsed : seen.switched;
        }
    }
    seen.phase = current.phase;
    return seen;
}

constexpr std::uint64_t seeds = 200;

/// \returns Number of seeds in which the version was reverted; checks both bounds for these.
std::uint64_t count_reverted(const scenario& played)
{
    std::uint64_t reverted = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const outcome seen = play(played, seed);
        reverted += seen.phase == rollout_phase::reverted ? 1 : 0;
        if (seen.phase == rollout_phase::reverted)
        {
            INFO("seed " << seed);
            CHECK(seen.last_sent <= seen.fiftieth_bad + millis{5000});
            CHECK(seen.decided < played.duration);
        }
        else
        {
            CHECK(seen.phase == rollout_phase::completed);
            CHECK(seen.decided < played.duration);
        }
    }
    return reverted;
}

std::uint64_t count_overexposed(const scenario& played)
{
    std::uint64_t overexposed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const outcome seen = play(played, seed);
        overexposed +=
            static_cast<double>(seen.exposed) > 0.1 * static_cast<double>(seen.total) + 50.0;
    }
    return overexposed;
}

response always(double failures, double slow_part, double slowness, seeded_random& random)
{
    return {random.unit() < failures, random.unit() < slow_part ? slowness : 1.0};
}

endpoint_state make_endpoint(const std::string& id, const std::string& version)
{
    endpoint_state endpoint;
    endpoint.record.id = endpoint_id(id);
    endpoint.record.version = version;
    endpoint.hash = hash64(id);
    return endpoint;
}

} // namespace

// Load: 20, 100 and 400 requests a second over three routes; slow hosts 15% of the time.
TEST_CASE("a version that is as good as the old one is completed before the deadline")
{
    for (const double rate : {20.0, 100.0, 400.0})
    {
        scenario good;
        good.rate = rate;
        good.old_failures = 0.02;
        good.fresh = [](std::uint64_t, millis, seeded_random&)
        {
            return response{};
        };
        INFO("rate " << rate);
        CHECK(count_reverted(good) <= seeds / 100);
        CHECK(play(good, 1).switched < millis{7000});
    }
}

TEST_CASE("versions that are bad from the start are reverted within both bounds")
{
    for (const double rate : {100.0, 400.0})
    {
        scenario failing;
        failing.rate = rate;
        failing.fresh = [](std::uint64_t, millis, seeded_random& random)
        {
            return always(0.3, 0.0, 1.0, random);
        };
        scenario slow = failing;
        slow.fresh = [](std::uint64_t, millis, seeded_random& random)
        {
            return always(0.0, 0.5, 5.0, random);
        };
        scenario one_route = failing;
        one_route.fresh = [](std::uint64_t route, millis, seeded_random& random)
        {
            return always(route == 1 ? 0.6 : 0.0, 0.0, 1.0, random);
        };
        for (const scenario& bad : {failing, slow, one_route})
        {
            INFO("rate " << rate);
            CHECK(count_reverted(bad) >= seeds * 99 / 100);
            CHECK(count_overexposed(bad) <= seeds / 100);
        }
    }
}

TEST_CASE("a version that turns bad during the roll-out is reverted")
{
    scenario late;
    late.fresh = [](std::uint64_t, millis elapsed, seeded_random& random)
    {
        return always(elapsed > millis{4000} ? 0.4 : 0.0, 0.0, 1.0, random);
    };
    CHECK(count_reverted(late) >= seeds * 99 / 100);
    // Also after the switch, while the old endpoints still run.
    scenario later = late;
    later.fresh = [](std::uint64_t, millis elapsed, seeded_random& random)
    {
        return always(elapsed > millis{7000} ? 0.4 : 0.0, 0.0, 1.0, random);
    };
    CHECK(count_reverted(later) >= seeds * 99 / 100);
}

// A new writer without counts of its own must not complete what it has not watched.
TEST_CASE("a writer without recent copies or observations does not complete a roll-out")
{
    const rollout_order order{service_id("pool"), "v2", millis{12000}, 7};
    rollout_record current = begin_rollout(order, nullptr, {});
    current.share = 0.07;
    current.row_revision = 8;
    rollout_observation observed;
    observed.elapsed = millis{9000};
    observed.new_endpoints = 2;
    observed.longest_request = millis{15000};
    rollout_controller controller({});
    REQUIRE_FALSE(controller.decide(order, current, observed, {0}));
    observed.current = false;
    REQUIRE_FALSE(controller.decide(order, current, observed, {3000}));
    current.phase = rollout_phase::switching;
    observed.elapsed = millis{11000};
    REQUIRE_FALSE(controller.decide(order, current, observed, {3200}));
    observed.current = true;
    const std::optional<rollout_record> next = controller.decide(order, current, observed, {3400});
    REQUIRE(next);
    REQUIRE(next->phase == rollout_phase::completed);
}

// A record that arrives late or from an earlier order must not bring a version back.
TEST_CASE("phases only move forward, also over two orders")
{
    const rollout_order first{service_id("pool"), "v2", millis{12000}, 7};
    const rollout_order second{service_id("pool"), "v3", millis{12000}, 9};
    rollout_book book;
    REQUIRE(book.rule(service_id("pool")) == nullptr);
    book.set_order(first);
    REQUIRE_FALSE(allows(*book.rule(first.service), "v2"));
    REQUIRE(allows(*book.rule(first.service), "v1"));
    rollout_record record = begin_rollout(first, nullptr, {});
    record.share = 0.05;
    REQUIRE(book.set_record(record));
    REQUIRE(allows(*book.rule(first.service), "v2"));
    rollout_record reverted = record;
    reverted.phase = rollout_phase::reverted;
    REQUIRE(book.set_record(reverted));
    // Routers act on the decision before the operator is told.
    REQUIRE(book.is_active(first.service));
    REQUIRE_FALSE(allows(*book.rule(first.service), "v2"));
    reverted.announced = true;
    REQUIRE(book.set_record(reverted));
    REQUIRE_FALSE(book.set_record(record));
    REQUIRE_FALSE(book.is_active(first.service));
    book.set_order(second);
    // v2 stays excluded and v3 waits for its first phase.
    REQUIRE_FALSE(allows(*book.rule(first.service), "v2"));
    REQUIRE_FALSE(allows(*book.rule(first.service), "v3"));
    rollout_record next = begin_rollout(second, &reverted, {});
    next.phase = rollout_phase::completed;
    REQUIRE(book.set_record(next));
    REQUIRE_FALSE(allows(*book.rule(first.service), "v1"));
    REQUIRE_FALSE(allows(*book.rule(first.service), "v2"));
    REQUIRE(allows(*book.rule(first.service), "v3"));
    // The same version again: it keeps its requests, and the writer answers the order.
    const rollout_order again{service_id("pool"), "v3", millis{12000}, 11};
    book.set_order(again);
    REQUIRE(allows(*book.rule(first.service), "v3"));
    next.row_revision = 12;
    const rollout_record kept = begin_rollout(again, &next, {});
    rollout_controller controller({});
    REQUIRE_FALSE(controller.decide(again, kept, {}, {0}));
    const std::optional<rollout_record> answer = controller.decide(again, kept, {}, {1000});
    REQUIRE(answer);
    REQUIRE(answer->announced);
    REQUIRE(book.set_record(*answer));
}

// A chat that changes its version with each request loses its cached history.
TEST_CASE(
    "a chat keeps its version while the share grows, and canaries have an old endpoint's load")
{
    std::vector<endpoint_state> states;
    for (int n = 0; n < 20; ++n)
    {
        states.push_back(make_endpoint("old" + std::to_string(n), "v1"));
        states.push_back(make_endpoint("new" + std::to_string(n), "v2"));
    }
    std::vector<const endpoint_state*> endpoints;
    endpoints.reserve(states.size());
    for (const endpoint_state& state : states)
    {
        endpoints.push_back(&state);
    }
    traffic_rule rule;
    rule.to = "v2";
    std::vector<std::uint64_t> before;
    for (const double share : {0.05, 0.1, 1.0})
    {
        rule.new_share = share;
        std::vector<std::uint64_t> moved;
        std::set<const endpoint_state*> canaries;
        for (std::uint64_t chat = 0; chat < 2000; ++chat)
        {
            const version_choice choice = choose_version(rule, endpoints, {}, chat, std::nullopt);
            if (choice.preferred.front()->record.version == "v2")
            {
                moved.push_back(chat);
                canaries.insert(choice.preferred.begin(), choice.preferred.end());
            }
        }
        REQUIRE(static_cast<double>(moved.size()) == Approx(share * 2000).margin(60));
        REQUIRE(canaries.size() == static_cast<std::size_t>(share * 20));
        REQUIRE(std::includes(moved.begin(), moved.end(), before.begin(), before.end()));
        before = moved;
    }
    // A response that has begun goes on with its version only.
    const version_choice pinned =
        choose_version(rule, endpoints, {}, 1, std::optional<std::string>("v1"));
    REQUIRE(pinned.preferred.front()->record.version == "v1");
    REQUIRE(pinned.fallback.empty());
}

// Guards against a stream that goes on at a version which was given up, or at another one instead,
// after a roll-out has ended or was reverted.
TEST_CASE("a stream goes on neither at a version that may not run nor at another one")
{
    endpoint_directory directory;
    for (const std::string version : {"v1", "v2"})
    {
        endpoint_record record;
        record.id = endpoint_id("e-" + version);
        record.service = service_id("pool");
        record.version = version;
        directory.update(record, {0});
    }
    const std::vector<const endpoint_state*> endpoints =
        directory.available(service_id("pool"), {1});
    REQUIRE(endpoints.size() == 2);
    traffic_rule completed;
    completed.to = "v2";
    completed.new_share = 1.0;
    completed.old_allowed = false;
    traffic_rule reverted;
    reverted.to = "v2";
    const std::vector<std::pair<traffic_rule, std::string>> gone{{completed, "v1"},
                                                                 {reverted, "v2"}};
    for (const std::pair<traffic_rule, std::string>& entry : gone)
    {
        const version_choice choice =
            choose_version(entry.first, endpoints, {}, 1, std::optional<std::string>(entry.second));
        REQUIRE(choice.preferred.empty());
        REQUIRE(choice.fallback.empty());
    }
}
