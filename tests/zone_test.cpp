#include <catch2/catch.hpp>
#include <endivestage/zone.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <optional>

using namespace endivestage;

namespace
{

using outcome = table_result::outcome;

const zone_id riga("riga-a");

zone_register random_register()
{
    return {riga, *rc::gen::inRange<std::uint64_t>(0, 3),
            *rc::gen::arbitrary<bool>() ? zone_state::in_service : zone_state::out_of_service,
            *rc::gen::element(std::string("anna"), std::string("juris"))};
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

/// Two routers that share one table row, each with at most one table operation in flight.
struct router_pair
{
    std::array<zone_table, 2> routers;
    std::array<std::optional<table_operation>, 2> calls;
    table_row row;

    void apply_actions(std::size_t index, const std::vector<zone_action>& actions)
    {
        for (const zone_action& action : actions)
        {
            if (const call_zone_table* call = std::get_if<call_zone_table>(&action))
            {
                calls.at(index) = call->operation;
            }
        }
    }

    /// \param fate 0: the request is not sent; 1: it takes effect, but its answer is lost; 2: it is
    /// lost before it takes effect; otherwise: it is answered.
    void complete_call(std::size_t index, int fate, time_point now)
    {
        if (!calls.at(index))
        {
            return;
        }
        const table_operation operation = *std::exchange(calls.at(index), std::nullopt);
        table_result result{fate == 0 ? outcome::unavailable : outcome::lost, {}};
        if (fate == 1)
        {
            apply(row, operation);
        }
        else if (fate > 2)
        {
            result = apply(row, operation);
        }
        apply_actions(index, routers.at(index).on_table_result(riga, result, now));
    }

    void run_until_stored(time_point now)
    {
        for (int n = 0; n < 20; ++n)
        {
            now = now + millis{1'000};
            for (std::size_t index = 0; index < 2; ++index)
            {
                complete_call(index, 9, now);
                apply_actions(index, routers.at(index).tick(now));
                apply_actions(index, routers.at(index).merge(routers.at(1 - index).current(riga)));
            }
        }
    }
};

} // namespace

// Guards against routers that end in different states after receiving the same registers in
// different orders.
TEST_CASE("merging registers does not depend on order or repetition")
{
    rc::prop("associative, commutative, idempotent",
             []
             {
                 const zone_register a = random_register();
                 const zone_register b = random_register();
                 const zone_register c = random_register();
                 RC_ASSERT(merge_registers(a, b) == merge_registers(b, a));
                 RC_ASSERT(merge_registers(merge_registers(a, b), c) ==
                           merge_registers(a, merge_registers(b, c)));
                 RC_ASSERT(merge_registers(a, a) == a);
                 RC_ASSERT(zone_register_from_json(to_json(a)).value() == a);
             });
}

// Guards against a change that is lost, or known to one router only, when two operators change a
// zone concurrently.
TEST_CASE("concurrent changes by two operators converge on one stored register")
{
    rc::prop("both routers and the row hold the same register",
             []
             {
                 router_pair pair;
                 zone_register newest;
                 for (int n = 0; n < 30; ++n)
                 {
                     const std::size_t index = *rc::gen::inRange<std::size_t>(0, 2);
                     const time_point now = time_point{0} + millis{300} * n;
                     if (*rc::gen::inRange(0, 5) == 0)
                     {
                         const zone_state state = random_register().state;
                         pair.apply_actions(
                             index, pair.routers[index].set(riga, state,
                                                            index == 0 ? "anna" : "juris", now));
                         RC_ASSERT(pair.routers[index].current(riga).state == state);
                         newest = merge_registers(newest, pair.routers[index].current(riga));
                     }
                     pair.complete_call(index, *rc::gen::inRange(0, 7), now);
                     pair.apply_actions(index, pair.routers[index].tick(now));
                 }
                 pair.run_until_stored({10'000});
                 newest.zone = riga;
                 RC_ASSERT(pair.routers[0].current(riga) == newest);
                 RC_ASSERT(pair.routers[1].current(riga) == newest);
                 RC_ASSERT((newest.counter == 0 ||
                            zone_register_from_json(pair.row.value).value() == newest));
             });
}

// Guards against an outage of the store that delays taking a zone out of service.
TEST_CASE("a change is in force while the store is down and is stored afterwards")
{
    router_pair pair;
    pair.apply_actions(0, pair.routers[0].set(riga, zone_state::out_of_service, "anna", {0}));
    CHECK_FALSE(pair.routers[0].in_service(riga));
    REQUIRE(pair.routers[1].merge(pair.routers[0].current(riga)).size() == 1);
    CHECK_FALSE(pair.routers[1].in_service(riga));
    pair.complete_call(0, 0, {10});
    CHECK(pair.routers[0].storage(riga) == zone_storage::not_stored);
    CHECK(pair.routers[1].storage(riga) == zone_storage::unknown);

    SECTION("the router that made the change stores it")
    {
        pair.run_until_stored({1'000});
        CHECK(pair.routers[0].storage(riga) == zone_storage::stored);
    }
    SECTION("the router that made the change fails and a polling router finds no row")
    {
        pair.apply_actions(1, pair.routers[1].on_polled(riga, {}, {2'000}));
        pair.complete_call(1, 9, {2'001});
        CHECK(pair.routers[1].storage(riga) == zone_storage::stored);
    }
    CHECK(zone_register_from_json(pair.row.value)->state == zone_state::out_of_service);
}
