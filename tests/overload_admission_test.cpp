#include <endivestage/overload.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace endivestage;

namespace
{

const delay_cost_order by_cost;

pending_request make_request(std::uint64_t number)
{
    pending_request request;
    request.number = number;
    request.route = "r";
    request.objective = {1000};
    request.deadline = {6000};
    return request;
}

service_admission make_full(service_load load)
{
    overload_config config;
    config.enabled = true;
    service_admission admission(config, by_cost);
    admission.update_load(load, {0});
    return admission;
}

} // namespace

// Guards against waits or refusals without contention.
TEST_CASE("requests go on while the open requests of all routers are below the bound")
{
    service_admission admission = make_full({100.0, 124.0, 20, true});
    REQUIRE(admission.offer(make_request(1), {0}).step == admission_step::go_on);
    service_admission without_endpoints = make_full({0.0, 0.0, 20, true});
    REQUIRE(without_endpoints.offer(make_request(1), {0}).step == admission_step::go_on);
}

// Guards against all routers filling the same room when the load falls.
TEST_CASE("a router releases its share of the room only")
{
    service_admission admission = make_full({100.0, 140.0, 20, true});
    for (std::uint64_t n = 1; n <= 10; ++n)
    {
        REQUIRE(admission.offer(make_request(n), {0}).step == admission_step::wait);
        if (n == 1)
        {
            REQUIRE(admission.release({0}).empty());
        }
    }
    admission.update_load({100.0, 115.0, 20, true}, {10});
    REQUIRE(admission.release({260}).size() <= 2);
    REQUIRE(admission.waiting() >= 8);
    admission.update_load({100.0, 20.0, 20, true}, {300});
    const std::size_t waiting = admission.waiting();
    REQUIRE(admission.release({300}).size() == waiting);
}

// Guards against a router that waits for, or refuses by, totals that no longer arrive.
TEST_CASE("without current totals a router keeps to a share of its own and refuses nothing")
{
    service_admission admission = make_full({100.0, 0.0, 25, false});
    std::uint64_t sent = 0;
    while (admission.offer(make_request(sent + 1), {0}).step == admission_step::go_on)
    {
        ++sent;
        REQUIRE(sent < 20);
        admission.begin(1.0);
    }
    // Twice its part of the bound of 125 requests.
    REQUIRE(sent >= 8);
    REQUIRE(sent <= 12);
    REQUIRE(admission.end_wait(sent + 1, {500}).step == admission_step::go_on);
}

// Guards against refusals near the deadline and against times to return that callers cannot use.
TEST_CASE("what cannot end in time is refused at once with a staggered time to return")
{
    service_admission admission = make_full({10.0, 9.0, 1, true});
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        admission.begin(1.0);
    }
    REQUIRE(admission.offer(make_request(1), {0}).step == admission_step::wait);
    pending_request late = make_request(2);
    late.expected_completion = {13000};
    const admission_decision refused = admission.offer(late, {0});
    REQUIRE(refused.step == admission_step::refuse);
    REQUIRE(refused.reason == "no_time");
    REQUIRE(refused.retry_after > millis{0});
    REQUIRE(refused.retry_after <= millis{2000});
    admission.end(1.0, {100});
    admission.end(1.0, {100});
    REQUIRE(admission.release({100}).size() == 1);
    admission.update_load({10.0, 20.0, 1, true}, {120});
    std::vector<millis> delays;
    for (std::uint64_t spread = 0; spread < 1024; spread += 256)
    {
        delays.push_back(admission.retry_after(spread, {60000}, {120}).value_or(millis{-1}));
        REQUIRE(delays.back() > millis{0});
        REQUIRE(delays.back() <= millis{20000});
    }
    REQUIRE(std::is_sorted(delays.begin(), delays.end()));
    REQUIRE(delays.front() < delays.back());
}

// Guards against a chat that is refused whenever it asks.
TEST_CASE("a chat has one turn in 8 s")
{
    for (std::uint64_t chat = 100; chat < 108; ++chat)
    {
        int turns = 0;
        for (std::int64_t s = 0; s < 8; s += 2)
        {
            turns += has_turn(chat, {1700000000000 + s * 1000}) ? 1 : 0;
        }
        REQUIRE(turns == 1);
    }
}
