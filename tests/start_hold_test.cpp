#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <map>

using namespace endivestage;

namespace
{

constexpr time_point started{50000};

unrouted_request arriving_at(millis after_start, std::optional<millis> timeout,
                             std::size_t bytes = 500)
{
    return {bytes, started + after_start, timeout};
}

} // namespace

// Load: 100 requests wait, with four priorities and five deadlines. Guards against an order of
// arrival: less urgent requests would take the first places at engines.
TEST_CASE("held requests go on by priority, then by deadline, then by arrival")
{
    start_hold hold({}, started);
    std::map<start_hold::request_number, std::pair<std::uint32_t, std::int64_t>> requests;
    for (std::int64_t n = 0; n < 100; ++n)
    {
        const std::uint32_t priority = static_cast<std::uint32_t>(n * 7 % 4);
        const std::int64_t timeout = 3000 + n * 3 % 5 * 1000;
        const auto number = hold.add(arriving_at(millis{0}, millis{timeout}), started);
        requests[number.value()] = {priority, timeout};
    }
    const std::vector<start_hold::request_number> released =
        hold.release([&](start_hold::request_number number) { return requests[number].first; });
    REQUIRE(released.size() == 100);
    for (std::size_t n = 1; n < released.size(); ++n)
    {
        const auto before = std::make_pair(requests[released[n - 1]], released[n - 1]);
        REQUIRE(before < std::make_pair(requests[released[n]], released[n]));
    }
    REQUIRE(hold.size() == 0);
    REQUIRE(hold.bytes() == 0);
}

// Guards against requests that wait until their callers have no time left for another router.
TEST_CASE("a request waits for half of its time and not longer than a start takes")
{
    start_hold hold({}, started);
    const time_point tables_due = started + hold.limits().longest_start;
    const auto until = [&](millis arrival, std::optional<millis> timeout) -> std::optional<millis>
    {
        const auto number = hold.add(arriving_at(arrival, timeout), started + arrival);
        return number ? std::optional(hold.latest_release(*number) - started) : std::nullopt;
    };
    REQUIRE(until(millis{100}, millis{600}) == millis{400});
    REQUIRE(until(millis{100}, millis{10000}) == tables_due - started);
    REQUIRE(until(millis{100}, std::nullopt) == tables_due - started);
    REQUIRE_FALSE(until(millis{100}, millis{1}));
    REQUIRE_FALSE(until(tables_due - started, millis{10000}));
}

// Load: the store refuses the call of a starting router, which asks again 300 ms later. Guards
// against requests that wait although nothing can come in their time.
TEST_CASE("requests are refused at once when the tables cannot come in time")
{
    start_hold hold({}, started);
    const auto short_one = hold.add(arriving_at(millis{0}, millis{600}), started);
    const auto long_one = hold.add(arriving_at(millis{0}, millis{4000}), started);
    REQUIRE(hold.postpone(started + millis{320}) == std::vector{short_one.value()});
    REQUIRE(hold.size() == 1);
    REQUIRE(hold.latest_release(long_one.value()) > started + millis{320});
    REQUIRE_FALSE(hold.add(arriving_at(millis{30}, millis{500}), started + millis{30}));
    REQUIRE(hold.add(arriving_at(millis{30}, millis{800}), started + millis{30}));
    REQUIRE(hold.postpone(started + millis{5000}).size() == 2);
    REQUIRE(hold.bytes() == 0);
}

// Load: more callers, or larger bodies, than the host has descriptors or memory for.
TEST_CASE("held requests are bounded in number and bytes")
{
    start_hold_limits limits;
    limits.requests = 10;
    limits.bytes = 4000;
    start_hold many(limits, started);
    start_hold large(limits, started);
    std::vector<start_hold::request_number> held;
    for (int n = 0; n < 30; ++n)
    {
        const auto number = many.add(arriving_at(millis{0}, std::nullopt, 10), started);
        if (number)
        {
            held.push_back(*number);
        }
        large.add(arriving_at(millis{0}, std::nullopt, 900), started);
    }
    REQUIRE(many.size() == 10);
    REQUIRE(large.bytes() == 3600);
    REQUIRE_FALSE(large.add(arriving_at(millis{0}, std::nullopt, SIZE_MAX), started));
    many.remove(held.front());
    many.remove(held.front());
    REQUIRE(many.add(arriving_at(millis{0}, std::nullopt, 10), started));
    REQUIRE(many.bytes() == 100);
}

// Guards against callers that are asked back too late, and against all of them returning at once.
TEST_CASE("refused callers return within a third of their time, at different times")
{
    const start_hold hold({}, started);
    std::map<std::int64_t, int> times;
    for (std::uint64_t spread = 0; spread < 1000; ++spread)
    {
        const time_point now = started + millis{200};
        const unrouted_request brief = arriving_at(millis{0}, millis{600});
        REQUIRE(hold.retry_after(brief, spread, now) <= millis{133});
        ++times[hold.retry_after(arriving_at(millis{0}, millis{4000}), spread, now).count / 50];
    }
    REQUIRE(times.size() >= 5);
    REQUIRE(hold.retry_after(arriving_at(millis{0}, millis{100}), 7, started + millis{500}) ==
            millis{0});
}
