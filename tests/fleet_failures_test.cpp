// Endpoints that fail for several routers. The load is a service with ten endpoints.

#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

const service_id pool("pool");

endpoint_id engine(int n)
{
    return endpoint_id("engine-" + std::to_string(n));
}

endpoint_directory make_pool()
{
    endpoint_directory directory;
    for (int n = 0; n < 10; ++n)
    {
        endpoint_record record;
        record.id = engine(n);
        record.service = pool;
        directory.update(record, {0});
    }
    return directory;
}

void end_request(endpoint_directory& directory, int n, endpoint_outcome outcome, time_point now)
{
    directory.begin_request(engine(n));
    directory.end_request(engine(n), outcome, now, millis{0});
}

endpoint_id last_ranked(const endpoint_directory& directory, std::uint64_t tie_breaker)
{
    const std::vector<const endpoint_state*> available = directory.available(pool, {1000});
    endpoint_choice_input input;
    input.endpoints = available;
    input.now = {1000};
    input.tie_breaker = tie_breaker;
    return rank_endpoints(directory, input, {}).back()->record.id;
}

} // namespace

// Guards against reports that outlast the fault, and against a router that reports all endpoints
// because its own link is down.
TEST_CASE("a router reports endpoints that fail for it unless its own link may be the cause")
{
    endpoint_directory directory = make_pool();
    REQUIRE(directory.failing_endpoints({1000}).empty());
    end_request(directory, 3, endpoint_outcome::broken, {1000});
    const std::vector<engine_requests> expected{{hash64(engine(3).view()), 1}};
    REQUIRE(directory.failing_endpoints({2999}) == expected);
    REQUIRE(directory.failing_endpoints({3001}).empty());
    end_request(directory, 3, endpoint_outcome::broken, {4000});
    end_request(directory, 3, endpoint_outcome::served, {4001});
    REQUIRE(directory.failing_endpoints({4002}).empty());
    for (int n = 0; n < 3; ++n)
    {
        REQUIRE(directory.failing_endpoints({5000}).size() == static_cast<std::size_t>(n));
        end_request(directory, n, endpoint_outcome::unreachable, {5000});
    }
    REQUIRE(directory.failing_endpoints({5000}).empty());
}

// Guards against avoiding an endpoint on the word of two routers, on old reports, and against
// concentrating the load on a few endpoints when many are reported.
TEST_CASE("an endpoint is avoided when enough routers see it fail")
{
    endpoint_directory directory = make_pool();
    const std::uint64_t failing = hash64(engine(3).view());
    directory.apply_fleet_failures({{{failing, 2}}, 1, true}, {1000});
    REQUIRE_FALSE(directory.fails_for_fleet(*directory.find(engine(3)), {1000}));
    directory.apply_fleet_failures({{{failing, 3}}, 2, false}, {1000});
    REQUIRE(directory.fails_for_fleet(*directory.find(engine(3)), {1000}));
    REQUIRE_FALSE(directory.fails_for_fleet(*directory.find(engine(3)), {2501}));
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        REQUIRE(last_ranked(directory, n) == engine(3));
    }
    load_changes many{{}, 3, true};
    for (int n = 0; n < 4; ++n)
    {
        many.loads.push_back({hash64(engine(n).view()), 3});
    }
    directory.apply_fleet_failures(many, {1000});
    bool other = false;
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        const endpoint_id last = last_ranked(directory, n);
        other = other ||
                (last != engine(0) && last != engine(1) && last != engine(2) && last != engine(3));
    }
    REQUIRE(other);
    directory.apply_fleet_failures({{}, 4, true}, {1000});
    REQUIRE(directory.fleet_failures({1000}) == 0);
}
