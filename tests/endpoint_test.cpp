#include <catch2/catch.hpp>
#include <endivestage/endpoint.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace endivestage;

namespace
{

using outcome = table_result::outcome;

const pool_id briefs("briefs");
const endpoint_id e1("e1");
const endpoint_id e2("e2");

std::shared_ptr<const fleet_configuration> two_engines()
{
    fleet_configuration configuration;
    pool part;
    part.id = briefs;
    part.engines = {{e1, "127.0.0.1", 9001, zone_id("riga-a"), region_id("baltic"), 1.0, true},
                    {e2, "127.0.0.2", 9002, zone_id("riga-b"), region_id("baltic"), 2.0, false}};
    configuration.pools = {part};
    return std::make_shared<const fleet_configuration>(configuration);
}

host_list hosts(std::uint64_t revision, host_state first, std::uint64_t start = 1)
{
    return {revision, {{"127.0.0.1", start, first}, {"127.0.0.2", 1, host_state::live}}};
}

std::string ids(const std::vector<usable_endpoint>& endpoints)
{
    std::string joined;
    for (const usable_endpoint& endpoint : endpoints)
    {
        joined += endpoint.id.str() + " ";
    }
    return joined;
}

void fail(endpoint_registry& registry, const endpoint_id& id, time_point now)
{
    registry.on_probe(id, false, now);
    registry.on_connection(id, false, now);
}

table_result apply(table_row& row, const table_operation& operation)
{
    if (operation.what == table_operation::kind::read)
    {
        return {row.version == 0 ? outcome::not_found : outcome::applied, row};
    }
    if (row.version != operation.expected_version)
    {
        return {outcome::conflict, row};
    }
    row = {operation.key, row.version + 1, operation.value};
    return {outcome::applied, row};
}

/// A lease manager with its own clock, whose table operations can be slow, lost or delayed.
struct contender
{
    lease_manager manager;
    millis offset;
    std::optional<table_operation> call;

    /// \param fault 0: operation not sent, 1: result lost after the operation was applied, 2:
    /// result lost, operation applied later, 3: operation slow, 4: process paused; others: no
    /// fault.
    void step(table_row& row, std::vector<table_operation>& delayed, int fault, time_point wall)
    {
        const time_point now = wall + offset;
        if (fault == 4)
        {
            return;
        }
        if (!call)
        {
            call = manager.tick(now);
        }
        if (!call || fault == 3)
        {
            return;
        }
        const table_operation operation = *std::exchange(call, std::nullopt);
        table_result answer{fault == 0 ? outcome::unavailable : outcome::lost, {}};
        if (fault == 2)
        {
            delayed.push_back(operation);
        }
        else if (fault != 0)
        {
            const table_result applied = apply(row, operation);
            answer = fault == 1 ? answer : applied;
        }
        manager.on_table_result(answer, now);
    }
};

/// An endpoint that takes 1 s to load and may ignore fencing tokens.
struct engine
{
    endpoint_report report;
    bool supports_fencing = true;
    std::uint64_t max_fencing_token = 0;
    time_point loaded_at;

    errc order(const send_order& order, time_point now)
    {
        if (supports_fencing && order.fencing_token < max_fencing_token)
        {
            return errc::stale_fencing_token;
        }
        max_fencing_token = std::max(max_fencing_token, order.fencing_token);
        report.loading = order.state;
        loaded_at = now + millis{1'000};
        return errc::ok;
    }

    void advance(time_point now)
    {
        if (report.loading && now >= loaded_at)
        {
            report.running = *std::exchange(report.loading, std::nullopt);
        }
    }
};

/// Carries out the actions of order controllers on simulated engines.
struct order_harness
{
    table_row row;
    std::map<endpoint_id, engine> engines;
    std::vector<send_order> delayed; ///< Orders that were kept instead of delivered.
    std::vector<time_point> loads;

    void step(order_controller& controller, time_point now, bool delay_orders = false)
    {
        for (const order_action& action : controller.tick(now))
        {
            if (const call_lease_table* call = std::get_if<call_lease_table>(&action))
            {
                controller.on_table_result(apply(row, call->operation), now);
            }
            else if (const read_endpoint* read = std::get_if<read_endpoint>(&action))
            {
                engines[read->endpoint].advance(now);
                controller.on_report(read->endpoint, engines[read->endpoint].report, now);
            }
            else if (const send_order* order = std::get_if<send_order>(&action))
            {
                deliver(controller, *order, now, delay_orders);
            }
        }
    }

    void deliver(order_controller& controller, const send_order& order, time_point now, bool delay)
    {
        if (delay)
        {
            delayed.push_back(order);
            return;
        }
        loads.push_back(now);
        controller.on_order_result(order.endpoint, engines[order.endpoint].order(order, now));
    }
};

desired_state target(const std::string& model, std::uint64_t version, bool fencing)
{
    return {{model, "", "1", "serve"}, version, 1'000, fencing};
}

order_config slow_load_config()
{
    order_config config;
    config.weight_bytes_per_second = 1'000;
    return config;
}

} // namespace

// Guards against new work for a leaving endpoint, regardless of its other state.
TEST_CASE("leaving overrides everything else until the host is replaced")
{
    rc::prop("no event undoes leaving",
             []
             {
                 zone_table zones;
                 endpoint_registry registry;
                 registry.apply(two_engines());
                 registry.on_host_list(hosts(1, host_state::live), {0});
                 *rc::gen::arbitrary<bool>()
                     ? registry.on_leaving(e1)
                     : registry.on_host_list(hosts(2, host_state::leaving), {0});
                 for (int n = 1; n < 20; ++n)
                 {
                     const time_point now = time_point{0} + millis{1'000} * n;
                     const std::uint64_t revision = *rc::gen::inRange<std::uint64_t>(1, 30);
                     const bool good = *rc::gen::arbitrary<bool>();
                     registry.on_host_list(hosts(revision, host_state::live), now);
                     registry.on_probe(e1, good, now);
                     registry.on_connection(e1, good, now);
                     registry.apply(two_engines());
                     zones.set(zone_id("riga-a"),
                               good ? zone_state::in_service : zone_state::out_of_service, "", now);
                     RC_ASSERT(registry.status(e1, zones, now) == endpoint_status::leaving);
                 }
                 zones.set(zone_id("riga-a"), zone_state::in_service, "", {0});
                 registry.on_host_list(hosts(50, host_state::live, 2), {30'000});
                 RC_ASSERT(registry.status(e1, zones, {300'000}) == endpoint_status::usable);
             });
}

// Guards against an outdated host list that is applied, and against a host list or a zone state
// that is ignored or whose effect is never undone.
TEST_CASE("host list and zones determine the usable endpoints")
{
    zone_table zones;
    endpoint_registry registry;
    registry.apply(two_engines());
    CHECK(ids(registry.find_usable(briefs, zones, {0})) == "e1 e2 ");
    registry.on_host_list({5, {{"127.0.0.2", 1, host_state::live}}}, {0});
    CHECK(ids(registry.find_usable(briefs, zones, {0})) == "e2 ");
    registry.on_host_list(hosts(4, host_state::live), {1});
    CHECK(registry.status(e1, zones, {1}) == endpoint_status::gone);
    registry.on_host_list(hosts(6, host_state::live), {2});
    CHECK(registry.find_usable(briefs, zones, {2})[1].capacity == 2.0);
    zones.set(zone_id("riga-b"), zone_state::out_of_service, "anna", {3});
    CHECK(ids(registry.find_usable(briefs, zones, {3})) == "e1 ");
    CHECK(registry.status(endpoint_id("e9"), zones, {3}) == endpoint_status::unknown);
}

// Guards against suspicion after only one kind of failure, and against flapping endpoints that get
// work again at once.
TEST_CASE("suspicion needs a failed probe and a failed connection, and flapping is damped")
{
    zone_table zones;
    endpoint_registry registry;
    registry.apply(two_engines());
    registry.on_probe(e1, false, {0});
    CHECK(registry.status(e1, zones, {0}) == endpoint_status::usable);
    registry.on_connection(e1, false, {4'000});
    CHECK(registry.status(e1, zones, {4'000}) == endpoint_status::usable);
    registry.on_probe(e1, false, {5'000});
    CHECK(registry.status(e1, zones, {5'000}) == endpoint_status::suspected);
    registry.on_probe(e1, true, {6'000});
    CHECK(registry.status(e1, zones, {6'000}) == endpoint_status::usable);
    for (const std::int64_t hold : {2'000, 4'000, 8'000})
    {
        fail(registry, e1, {10'000});
        registry.on_probe(e1, true, {10'000});
        CHECK(registry.status(e1, zones, {10'000 + hold - 1}) == endpoint_status::held_down);
        CHECK(registry.status(e1, zones, {10'000 + hold}) == endpoint_status::usable);
    }
    fail(registry, e2, {10'000});
    CHECK(ids(registry.find_usable(briefs, zones, {10'000})) == "e1 ");
    fail(registry, e1, {400'000});
    registry.on_probe(e1, true, {400'000});
    CHECK(registry.status(e1, zones, {400'000}) == endpoint_status::usable);
}

// Guards against two controllers that send orders at the same time, and against repeated fencing
// tokens.
TEST_CASE("at most one router holds a lease and fencing tokens increase")
{
    rc::prop("pauses, lost answers and late writes",
             []
             {
                 table_row row;
                 std::vector<table_operation> delayed;
                 std::vector<contender> contenders;
                 for (int n = 0; n < 3; ++n)
                 {
                     const millis offset{*rc::gen::inRange(0, 100'000)};
                     contenders.push_back(
                         {{"lease", router_id("r" + std::to_string(n))}, offset, std::nullopt});
                 }
                 time_point wall;
                 std::size_t last = 0;
                 std::uint64_t fencing = 0;
                 for (int n = 0; n < 200; ++n)
                 {
                     wall = wall + millis{*rc::gen::inRange(0, 2'500)};
                     if (!delayed.empty() && *rc::gen::inRange(0, 3) == 0)
                     {
                         apply(row, delayed.front());
                         delayed.erase(delayed.begin());
                     }
                     const std::size_t index = *rc::gen::inRange<std::size_t>(0, 3);
                     contenders[index].step(row, delayed, *rc::gen::inRange(0, 12), wall);
                     int holders = 0;
                     for (std::size_t k = 0; k < contenders.size(); ++k)
                     {
                         const lease_manager& manager = contenders[k].manager;
                         if (manager.is_held(wall + contenders[k].offset))
                         {
                             ++holders;
                             RC_ASSERT(manager.fencing_token() + (k == last ? 1 : 0) > fencing);
                             last = k;
                             fencing = manager.fencing_token();
                         }
                     }
                     RC_ASSERT(holders <= 1);
                 }
             });
}

// Guards against an order from a controller that was paused until after its lease had expired.
TEST_CASE("an order of an old controller is refused or corrected")
{
    const bool fencing = GENERATE(true, false);
    order_harness harness;
    harness.engines[e1].supports_fencing = fencing;
    order_controller old_controller(briefs, router_id("r1"), slow_load_config());
    order_controller new_controller(briefs, router_id("r2"), slow_load_config());
    old_controller.set_desired(e1, target("old", 1, fencing));
    new_controller.set_desired(e1, target("new", 2, fencing));
    std::int64_t now = 0;
    for (; harness.delayed.empty(); now += 250)
    {
        harness.step(old_controller, {now}, true);
        REQUIRE(now < 5'000);
    }
    // The lease was written at 250 ms; it lasts 10 s, less the safety margin of 1 s.
    CHECK(harness.delayed.front().not_after == time_point{9'250});
    for (; !new_controller.is_converged(); now += 250)
    {
        harness.step(new_controller, {now});
        REQUIRE(now < 40'000);
    }
    CHECK(now > 11'000);
    harness.step(old_controller, {now}, true);
    CHECK(harness.delayed.size() == 1);
    CHECK_FALSE(old_controller.is_leader({now}));
    const errc code = harness.engines[e1].order(harness.delayed.front(), {now});
    CHECK(code == (fencing ? errc::stale_fencing_token : errc::ok));
    for (const std::int64_t end = now + 6'000; now < end; now += 250)
    {
        harness.step(new_controller, {now});
    }
    CHECK(harness.engines[e1].report.running.model == "new");
    CHECK(new_controller.is_converged());
}

// Guards against loads that together exceed the rate of the weight store, also after another router
// has acquired the lease.
TEST_CASE("weight loads are staggered")
{
    order_harness harness;
    std::vector<order_controller> controllers;
    for (const char* name : {"r1", "r2"})
    {
        order_controller& controller =
            controllers.emplace_back(briefs, router_id(name), slow_load_config());
        for (int n = 0; n < 12; ++n)
        {
            controller.set_desired(endpoint_id("e" + std::to_string(n)), target("new", 1, true));
        }
    }
    // A load that an earlier, unknown controller started counts as well.
    harness.engines[endpoint_id("e0")] = {{{}, target("new", 1, true).state}, true, 0, {1'000}};
    for (std::int64_t now = 0; now < 60'000; now += 50)
    {
        // The first controller stops in the middle of a load.
        harness.step(controllers[now < 3'500 ? 0 : 1], {now});
    }
    CHECK(controllers[1].is_converged());
    REQUIRE(harness.loads.size() == 11);
    CHECK(harness.loads.front() >= time_point{1'000});
    for (std::size_t n = 1; n < harness.loads.size(); ++n)
    {
        CHECK(harness.loads[n] - harness.loads[n - 1] >= millis{1'000});
    }
}
