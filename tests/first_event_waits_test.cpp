// Waits for first events. The load is one request every 50 ms, in turn at 3 or 90 endpoints; first
// events take 60 to 100 ms.

#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

constexpr std::uint64_t key = 1;
constexpr millis objective{3000};
constexpr time_budget ample_time{millis{10000}, objective};

route make_route(std::uint32_t max_attempts)
{
    route created;
    created.semantics = execution_semantics::resumable;
    created.streaming = true;
    created.max_attempts = max_attempts;
    created.timeout = millis{15000};
    created.latency_objective = objective;
    return created;
}

/// Sends requests; endpoint 0 takes \p slow, and hangs if that is longer than the wait.
struct service_run
{
    std::uint64_t endpoints = 3;
    millis slow{80};
    millis usual{60};
    first_event_waits waits = first_event_waits();
    time_point now{100000};
    int given_up = 0;
    millis longest_in_vain{0};

    millis wait_for(std::uint64_t endpoint) const
    {
        const route matched = make_route(2);
        const std::optional<millis> expected = waits.wait(key, endpoint, now);
        return expected ? first_response_timeout(matched, {}, ample_time, *expected)
                        : first_response_timeout(matched, {}, ample_time);
    }

    void send(int requests)
    {
        for (int n = 0; n < requests; ++n)
        {
            now = now + millis{50};
            const std::uint64_t endpoint = static_cast<std::uint64_t>(n) % endpoints;
            const millis took = endpoint == 0 ? slow : usual + millis{n * 7 % 40};
            const millis wait = wait_for(endpoint);
            if (took > wait)
            {
                ++given_up;
                longest_in_vain = std::max(longest_in_vain, wait);
                waits.record_timeout(key, endpoint, wait, now);
            }
            else
            {
                waits.record_first_event(key, endpoint, took, now);
            }
        }
    }
};

} // namespace

// Guards against a wait for the whole objective at an endpoint that hangs, and against waits for
// its peers that grow because of it.
TEST_CASE("the wait for an endpoint that hangs follows what its peers take")
{
    for (const std::uint64_t endpoints : {3, 90})
    {
        service_run run{endpoints};
        run.send(180);
        REQUIRE(run.given_up == 0);
        REQUIRE(run.wait_for(0) == objective / 4);
        run.slow = millis{1000000};
        run.send(1);
        REQUIRE(run.given_up == 1);
        REQUIRE(run.longest_in_vain == objective / 4);
        run.send(60);
        REQUIRE(run.wait_for(1) == objective / 4);
    }
}

// Guards against giving up one healthy endpoint again and again because it is slower than the
// others.
TEST_CASE("a slow but healthy endpoint soon gets enough time")
{
    service_run run{3};
    run.slow = millis{600};
    run.send(180);
    REQUIRE(run.given_up == 0);
    run.slow = millis{2000};
    run.send(180);
    REQUIRE(run.given_up <= 2);
}

// Guards against giving up everything when the whole service gets slower at once.
TEST_CASE("waits follow when all endpoints become slow")
{
    service_run run{90};
    run.send(180);
    run.usual = millis{1500};
    run.slow = millis{1500};
    run.send(400);
    const int before = run.given_up;
    run.send(400);
    REQUIRE(run.given_up == before);
}

// Guards against waits from few or old answers.
TEST_CASE("without enough recent first events the wait is the objective")
{
    service_run run{3};
    run.send(19);
    REQUIRE(run.wait_for(0) == objective);
    run.send(1);
    REQUIRE(run.wait_for(0) < objective);
    run.now = run.now + millis{30001};
    REQUIRE(run.wait_for(0) == objective);
}

// Guards against giving up a request that cannot be sent elsewhere, and against a wait beyond
// today's.
TEST_CASE("the observed wait is bounded on both sides")
{
    REQUIRE(first_response_timeout(make_route(1), {}, ample_time, millis{10}) ==
            ample_time.remaining);
    REQUIRE(first_response_timeout(make_route(2), {}, ample_time, millis{10}) == objective / 4);
    REQUIRE(first_response_timeout(make_route(2), {}, ample_time, millis{1000}) == millis{1000});
    REQUIRE(first_response_timeout(make_route(2), {}, ample_time, millis{5000}) == objective);
    const time_budget short_objective{millis{500}, millis{60}};
    REQUIRE(first_response_timeout(make_route(2), {}, short_objective, millis{10}) == millis{50});
}
