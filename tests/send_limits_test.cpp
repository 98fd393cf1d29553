#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivestage;

namespace
{

std::vector<router_id> make_routers(std::size_t count)
{
    std::vector<router_id> routers;
    for (std::size_t n = 0; n < count; ++n)
    {
        routers.emplace_back("router-" + std::to_string(n));
    }
    return routers;
}

} // namespace

// Load: callers retry immediately and often while answers are lost. The repeats of all routers
// together must stay within the fleet's limit in every window.
TEST_CASE("repeats of all routers stay within the fleet's limit in every window")
{
    constexpr std::size_t fleet = 9;
    const repeat_limit limit{0.2, millis{10000}, 58};
    std::vector<repeat_budget> budgets(fleet, repeat_budget(limit, time_point{0}));
    std::vector<time_point> first_sends;
    std::vector<time_point> repeats;
    for (std::int64_t t = 20000; t < 60000; t += 10)
    {
        repeat_budget& budget = budgets[static_cast<std::size_t>(t / 10) % fleet];
        budget.record_first_send({t});
        first_sends.push_back({t});
        for (int n = 0; n < 3; ++n)
        {
            if (budget.try_acquire({t}, fleet))
            {
                repeats.push_back({t});
            }
        }
    }
    for (std::int64_t start = 30000; start < 50000; start += 500)
    {
        const auto inside = [&](time_point t)
        {
            return t >= time_point{start} && t < time_point{start + 10000};
        };
        const auto first_count = std::count_if(first_sends.begin(), first_sends.end(), inside);
        const auto repeat_count = std::count_if(repeats.begin(), repeats.end(), inside);
        REQUIRE(static_cast<double>(repeat_count) <=
                limit.ratio * static_cast<double>(first_count) + limit.allowance);
    }
    REQUIRE_FALSE(repeats.empty());
}

// Guards against a restart that uses the allowance a second time.
TEST_CASE("a process gets none of the allowance in the first window after its start")
{
    repeat_budget budget({0.0, millis{10000}, 100}, time_point{0});
    REQUIRE_FALSE(budget.try_acquire({5000}, 1));
    REQUIRE(budget.try_acquire({10001}, 1));
}

TEST_CASE("a sliding window counter drops events that have left the window")
{
    sliding_window_counter count(millis{1000}, 10);
    count.add({0});
    count.add({500});
    REQUIRE(count.total({900}) == 2);
    REQUIRE(count.total({1400}) == 1);
    REQUIRE(count.total({3000}) == 0);
}

// Property: for every fleet size, all routers together send no more requests to a cold endpoint in
// a second than its limit allows, without any communication among them.
TEST_CASE("sends of all routers to a cold endpoint stay within its limit")
{
    rc::check("cold send limit",
              []
              {
                  const std::size_t fleet = static_cast<std::size_t>(*rc::gen::inRange(1, 120));
                  const double rate = *rc::gen::inRange(20, 300) / 10.0;
                  const cold_send_limit limit{rate, rate * 1.5 + 5.0};
                  const std::vector<router_id> routers = make_routers(fleet);
                  const endpoint_id endpoint("engine-" + std::to_string(*rc::gen::inRange(0, 50)));
                  double sent = 0.0;
                  for (const router_id& self : routers)
                  {
                      cold_send_share share(self);
                      for (std::int64_t t = 0; t < 1000; t += 50)
                      {
                          sent += share.try_acquire(endpoint, limit, routers, {t}) ? 1.0 : 0.0;
                      }
                  }
                  RC_ASSERT(sent <= limit.max_per_s);
              });
    SUCCEED();
}

// Guards against a cold endpoint that never gets a request and is therefore never found usable.
TEST_CASE("at least one router may send to a cold endpoint")
{
    const std::vector<router_id> routers = make_routers(80);
    const cold_send_limit limit{7.4, 16.1};
    for (int n = 0; n < 20; ++n)
    {
        const endpoint_id endpoint("engine-" + std::to_string(n));
        std::uint32_t total = 0;
        for (const router_id& self : routers)
        {
            total += cold_send_share(self).requests_per_s(endpoint, limit, routers);
        }
        REQUIRE(total >= 1);
    }
}
