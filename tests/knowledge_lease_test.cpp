#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

// Fault: a router cannot learn that a key was withdrawn (cut off, frozen, table service down).
TEST_CASE("knowledge may be used for a bounded time after it was current")
{
    freshness_lease lease(millis{3800});
    REQUIRE_FALSE(lease.is_valid({0}));
    lease.renew({1000});
    REQUIRE(lease.is_valid({4799}));
    REQUIRE_FALSE(lease.is_valid({4800}));
    REQUIRE(lease.age({1500}) == millis{500});
}

// Guards against answers that arrive out of order.
TEST_CASE("a late answer does not make knowledge older")
{
    freshness_lease lease(millis{1000});
    lease.renew({500});
    lease.renew({200});
    REQUIRE(lease.is_valid({1400}));
}

// Guards against a long poll that counts as current from when it was sent, or from when its answer
// was read: neither is when the service looked.
TEST_CASE("the time of an answer is bounded from below")
{
    remote_clock remote;
    REQUIRE_FALSE(remote.earliest_local({5000}));
    remote.observe({100}, {5001});
    REQUIRE(remote.earliest_local({5001}) == time_point{100});
    // A long poll: sent at 200, stamped 700 ms later.
    remote.observe({200}, {5801});
    REQUIRE(remote.earliest_local({5801}) == time_point{900});
    // A call with a shorter way narrows the bound.
    remote.observe({1000}, {5900});
    REQUIRE(remote.earliest_local({5900}) == time_point{1000});
}

TEST_CASE("a service that started anew gets a new difference")
{
    remote_clock remote;
    remote.observe({100000}, {90000});
    remote.observe({100500}, {10});
    REQUIRE(remote.earliest_local({10}) == time_point{100500});
}
