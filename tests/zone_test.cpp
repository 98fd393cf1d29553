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

zone_register any_register()
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

/// Routers with their outstanding table operation, over one row.
struct fleet
{
    std::array<zone_table, 2> routers;
    std::array<std::optional<table_operation>, 2> calls;
    table_row row;

    void take(std::size_t who, const std::vector<zone_action>& actions)
    {
        for (const zone_action& action : actions)
        {
            if (const call_zone_table* call = std::get_if<call_zone_table>(&action))
            {
                calls.at(who) = call->operation;
            }
        }
    }

    /// \param fate 0: not sent, 1: answer lost after the effect, 2: lost before it, else answered.
    void answer(std::size_t who, int fate, time_point now)
    {
        if (!calls.at(who))
        {
            return;
        }
        const table_operation operation = *std::exchange(calls.at(who), std::nullopt);
        table_result result{fate == 0 ? outcome::unavailable : outcome::lost, {}};
        if (fate == 1)
        {
            apply(row, operation);
        }
        else if (fate > 2)
        {
            result = apply(row, operation);
        }
        take(who, routers.at(who).on_table_result(riga, result, now));
    }

    void settle(time_point now)
    {
        for (int n = 0; n < 20; ++n)
        {
            now = now + millis{1'000};
            for (std::size_t who = 0; who < 2; ++who)
            {
                answer(who, 9, now);
                take(who, routers.at(who).tick(now));
                take(who, routers.at(who).merge(routers.at(1 - who).current(riga)));
            }
        }
    }
};

} // namespace

// Guards against routers that end with different states after the same registers in other orders.
TEST_CASE("merging registers does not depend on order or repetition")
{
    rc::prop("associative, commutative, idempotent",
             []
             {
                 const zone_register a = any_register();
                 const zone_register b = any_register();
                 const zone_register c = any_register();
                 RC_ASSERT(merge_registers(a, b) == merge_registers(b, a));
                 RC_ASSERT(merge_registers(merge_registers(a, b), c) ==
                           merge_registers(a, merge_registers(b, c)));
                 RC_ASSERT(merge_registers(a, a) == a);
                 RC_ASSERT(zone_register_from_json(to_json(a)).value() == a);
             });
}

// Guards against a change that is lost, or kept in one place only, when operators race.
TEST_CASE("two operators racing converge on one register that is stored")
{
    rc::prop("routers and row agree",
             []
             {
                 fleet fleet;
                 zone_register newest;
                 for (int n = 0; n < 30; ++n)
                 {
                     const std::size_t who = *rc::gen::inRange<std::size_t>(0, 2);
                     const time_point now = time_point{0} + millis{300} * n;
                     if (*rc::gen::inRange(0, 5) == 0)
                     {
                         const zone_state state = any_register().state;
                         fleet.take(who, fleet.routers[who].set(riga, state,
                                                                who == 0 ? "anna" : "juris", now));
                         RC_ASSERT(fleet.routers[who].current(riga).state == state);
                         newest = merge_registers(newest, fleet.routers[who].current(riga));
                     }
                     fleet.answer(who, *rc::gen::inRange(0, 7), now);
                     fleet.take(who, fleet.routers[who].tick(now));
                 }
                 fleet.settle({10'000});
                 newest.zone = riga;
                 RC_ASSERT(fleet.routers[0].current(riga) == newest);
                 RC_ASSERT(fleet.routers[1].current(riga) == newest);
                 RC_ASSERT((newest.counter == 0 ||
                            zone_register_from_json(fleet.row.value).value() == newest));
             });
}

// Guards against an outage of the store that delays a zone going out of service.
TEST_CASE("a change is in force while the store is down and stored afterwards")
{
    fleet fleet;
    fleet.take(0, fleet.routers[0].set(riga, zone_state::out_of_service, "anna", {0}));
    CHECK_FALSE(fleet.routers[0].in_service(riga));
    REQUIRE(fleet.routers[1].merge(fleet.routers[0].current(riga)).size() == 1);
    CHECK_FALSE(fleet.routers[1].in_service(riga));
    fleet.answer(0, 0, {10});
    CHECK(fleet.routers[0].storage(riga) == zone_storage::not_stored);
    CHECK(fleet.routers[1].storage(riga) == zone_storage::unknown);

    SECTION("the author stores it")
    {
        fleet.settle({1'000});
        CHECK(fleet.routers[0].storage(riga) == zone_storage::stored);
    }
    SECTION("the author died and a polling router finds no row")
    {
        fleet.take(1, fleet.routers[1].on_polled(riga, {}, {2'000}));
        fleet.answer(1, 9, {2'001});
        CHECK(fleet.routers[1].storage(riga) == zone_storage::stored);
    }
    CHECK(zone_register_from_json(fleet.row.value)->state == zone_state::out_of_service);
}
