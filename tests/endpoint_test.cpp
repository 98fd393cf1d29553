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

/// A keeper with its own clock, whose calls can be slow, lost or late.
struct contender
{
    lease_manager keeper;
    millis offset;
    std::optional<table_operation> call;

    /// \param fate 0: not sent, 1: lost after the effect, 2: lost, arrives later, 3: slow, 4:
    /// paused.
    void step(table_row& row, std::vector<table_operation>& late, int fate, time_point wall)
    {
        const time_point now = wall + offset;
        if (fate == 4)
        {
            return;
        }
        if (!call)
        {
            call = keeper.tick(now);
        }
        if (!call || fate == 3)
        {
            return;
        }
        const table_operation operation = *std::exchange(call, std::nullopt);
        table_result answer{fate == 0 ? outcome::unavailable : outcome::lost, {}};
        if (fate == 2)
        {
            late.push_back(operation);
        }
        else if (fate != 0)
        {
            const table_result applied = apply(row, operation);
            answer = fate == 1 ? answer : applied;
        }
        keeper.on_table_result(answer, now);
    }
};

/// An endpoint that loads for a second and may ignore fencing numbers.
struct engine
{
    endpoint_report report;
    bool fencing = true;
    std::uint64_t highest = 0;
    time_point loaded_at;

    errc order(const send_order& order, time_point now)
    {
        if (fencing && order.fencing_token < highest)
        {
            return errc::stale_fencing_token;
        }
        highest = std::max(highest, order.fencing_token);
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

struct order_bench
{
    table_row row;
    std::map<endpoint_id, engine> engines;
    std::vector<send_order> delayed; ///< Orders kept back instead of delivered.
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

order_config slow_weights()
{
    order_config settings;
    settings.weight_bytes_per_second = 1'000;
    return settings;
}

} // namespace

// Guards against new work for a leaving endpoint, whatever else is known about it.
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

// Guards against a lagging list, or a zone out of service, that is ignored or never undone.
TEST_CASE("host list and zones decide what is usable")
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

// Guards against suspicion after one sign only, and against endpoints that flap in and out.
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

// Guards against two controllers that both send orders, and against fencing numbers that repeat.
TEST_CASE("at most one router holds a lease and fencing numbers grow")
{
    rc::prop("pauses, lost answers and late writes",
             []
             {
                 table_row row;
                 std::vector<table_operation> late;
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
                     if (!late.empty() && *rc::gen::inRange(0, 3) == 0)
                     {
                         apply(row, late.front());
                         late.erase(late.begin());
                     }
                     const std::size_t who = *rc::gen::inRange<std::size_t>(0, 3);
                     contenders[who].step(row, late, *rc::gen::inRange(0, 12), wall);
                     int holders = 0;
                     for (std::size_t k = 0; k < contenders.size(); ++k)
                     {
                         const lease_manager& keeper = contenders[k].keeper;
                         if (keeper.is_held(wall + contenders[k].offset))
                         {
                             ++holders;
                             RC_ASSERT(keeper.fencing_token() + (k == last ? 1 : 0) > fencing);
                             last = k;
                             fencing = keeper.fencing_token();
                         }
                     }
                     RC_ASSERT(holders <= 1);
                 }
             });
}

// Guards against an order of a controller that was paused past its lease.
TEST_CASE("an order of an old controller is refused or corrected")
{
    const bool fencing = GENERATE(true, false);
    order_bench bench;
    bench.engines[e1].fencing = fencing;
    order_controller old_one(briefs, router_id("r1"), slow_weights());
    order_controller new_one(briefs, router_id("r2"), slow_weights());
    old_one.set_desired(e1, target("old", 1, fencing));
    new_one.set_desired(e1, target("new", 2, fencing));
    std::int64_t now = 0;
    for (; bench.delayed.empty(); now += 250)
    {
        bench.step(old_one, {now}, true);
        REQUIRE(now < 5'000);
    }
    // Sent at 250 ms: the lease of 10 s less the margin of 1 s.
    CHECK(bench.delayed.front().not_after == time_point{9'250});
    for (; !new_one.is_converged(); now += 250)
    {
        bench.step(new_one, {now});
        REQUIRE(now < 40'000);
    }
    CHECK(now > 11'000);
    bench.step(old_one, {now}, true);
    CHECK(bench.delayed.size() == 1);
    CHECK_FALSE(old_one.is_leader({now}));
    const errc late = bench.engines[e1].order(bench.delayed.front(), {now});
    CHECK(late == (fencing ? errc::stale_fencing_token : errc::ok));
    for (const std::int64_t end = now + 6'000; now < end; now += 250)
    {
        bench.step(new_one, {now});
    }
    CHECK(bench.engines[e1].report.running.model == "new");
    CHECK(new_one.is_converged());
}

// Guards against loads that together exceed the rate of the weight store, also after a take-over.
TEST_CASE("weight loads are staggered")
{
    order_bench bench;
    std::vector<order_controller> controllers;
    for (const char* name : {"r1", "r2"})
    {
        order_controller& controller =
            controllers.emplace_back(briefs, router_id(name), slow_weights());
        for (int n = 0; n < 12; ++n)
        {
            controller.set_desired(endpoint_id("e" + std::to_string(n)), target("new", 1, true));
        }
    }
    // A load that an unknown earlier controller started counts as well.
    bench.engines[endpoint_id("e0")] = {{{}, target("new", 1, true).state}, true, 0, {1'000}};
    for (std::int64_t now = 0; now < 60'000; now += 50)
    {
        // The first controller stops in the middle of a load.
        bench.step(controllers[now < 3'500 ? 0 : 1], {now});
    }
    CHECK(controllers[1].is_converged());
    REQUIRE(bench.loads.size() == 11);
    CHECK(bench.loads.front() >= time_point{1'000});
    for (std::size_t n = 1; n < bench.loads.size(); ++n)
    {
        CHECK(bench.loads[n] - bench.loads[n - 1] >= millis{1'000});
    }
}
