#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

// Fault: a router cannot receive the withdrawal of a key, because it is partitioned or suspended or
// the table service is down.
TEST_CASE("a copy may be used for a bounded time after it was current")
{
    freshness_lease lease(millis{3800});
    REQUIRE_FALSE(lease.is_valid({0}));
    lease.renew({1000});
    REQUIRE(lease.is_valid({4799}));
    REQUIRE_FALSE(lease.is_valid({4800}));
    REQUIRE(lease.age({1500}) == millis{500});
}

// Guards against answers that arrive out of order.
TEST_CASE("a late answer does not make a copy older")
{
    freshness_lease lease(millis{1000});
    lease.renew({500});
    lease.renew({200});
    REQUIRE(lease.is_valid({1400}));
}

// Guards against wrong ages of long polls. The service read the table neither when the call was
// sent nor when its answer was received.
TEST_CASE("the local time of an answer is bounded from below")
{
    remote_clock remote;
    REQUIRE_FALSE(remote.earliest_local({5000}));
    remote.observe({100}, {5001});
    REQUIRE(remote.earliest_local({5001}) == time_point{100});
    // A long poll that is sent at 200 and answered 700 ms later.
    remote.observe({200}, {5801});
    REQUIRE(remote.earliest_local({5801}) == time_point{900});
    // A call with a shorter delay narrows the bound.
    remote.observe({1000}, {5900});
    REQUIRE(remote.earliest_local({5900}) == time_point{1000});
}

TEST_CASE("a restart of the service resets the clock difference")
{
    remote_clock remote;
    remote.observe({100000}, {90000});
    remote.observe({100500}, {10});
    REQUIRE(remote.earliest_local({10}) == time_point{100500});
}
