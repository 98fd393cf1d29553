#include <catch2/catch.hpp>
#include <endivestage/address.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace endivestage;

namespace
{

router_status make_router(const std::string& id, const std::string& zone, const std::string& region)
{
    return {router_id(id), "127.0.0.1", 8000, zone_id(zone), region_id(region), true, false, true};
}

std::vector<std::string> ids_of(const address_answer& answer)
{
    std::vector<std::string> ids;
    for (const address_entry& entry : answer.routers)
    {
        ids.push_back(entry.id.str());
    }
    return ids;
}

} // namespace

// Guards against callers that are sent to routers which refuse them, and against all callers being
// sent to one router.
TEST_CASE("answers list usable routers, nearest first, in rotation")
{
    std::vector<router_status> routers{
        make_router("d", "yard-a", "bc"), make_router("c", "riga-b", "baltic"),
        make_router("b", "riga-a", "baltic"), make_router("a", "riga-a", "baltic")};
    address_query query{zone_id("riga-a"), region_id("baltic"), 0, 8, {5'000}};
    using ids = std::vector<std::string>;
    CHECK(ids_of(make_address_answer(routers, query)) == ids{"a", "b", "c", "d"});
    query.rotation = 1;
    CHECK(ids_of(make_address_answer(routers, query)) == ids{"b", "a", "c", "d"});
    query.max_entries = 2;
    CHECK(ids_of(make_address_answer(routers, query)) == ids{"b", "a"});
    routers[3].leaving = true;
    routers[2].live = false;
    routers[1].zone_in_service = false;
    CHECK(ids_of(make_address_answer(routers, query)) == ids{"d"});
    CHECK(make_address_answer(routers, query).lifetime == millis{5'000});
}

// Guards against a stop that interrupts a request or exits while it holds permits or owns engines.
TEST_CASE("a planned stop exits only without requests, permits and view membership")
{
    rc::prop("no step is taken early",
             []
             {
                 planned_stop stop;
                 const time_point started{1'000};
                 time_point now = started;
                 RC_ASSERT(stop.begin(started).size() == 1);
                 for (int n = 0; n < 60 && stop.step() != stop_step::exited; ++n)
                 {
                     now = now + millis{*rc::gen::inRange(0, 1'000)};
                     const stop_progress progress{*rc::gen::inRange<std::size_t>(0, 3),
                                                  *rc::gen::inRange<std::size_t>(0, 3),
                                                  *rc::gen::arbitrary<bool>()};
                     const stop_step before = stop.step();
                     const std::vector<stop_action> actions = stop.tick(progress, now);
                     const auto has_action = [&](stop_action action)
                     {
                         return std::find(actions.begin(), actions.end(), action) != actions.end();
                     };
                     RC_ASSERT(!stop.is_listed());
                     RC_ASSERT((stop.accepts_connections() == (now - started < millis{7'000} ||
                                                               stop.step() == stop_step::leaving)));
                     RC_ASSERT((!has_action(stop_action::return_permits) ||
                                (progress.open_requests == 0 && before == stop_step::refusing)));
                     RC_ASSERT((!has_action(stop_action::exit) ||
                                (progress.open_requests == 0 && progress.permits == 0 &&
                                 !progress.in_view && now - started >= millis{7'000})));
                 }
             });
}

// Guards against a stop that hangs, and against one that does not report what it waits for.
TEST_CASE("a planned stop takes its steps in order and reports its obstacle")
{
    planned_stop stop;
    stop.begin({0});
    CHECK(stop.begin({1}).empty());
    const stop_progress busy{1, 1, true};
    CHECK(stop.tick(busy, {6'999}).empty());
    CHECK(stop.obstacle(busy) == stop_obstacle::old_answers);
    using actions = std::vector<stop_action>;
    CHECK(stop.tick(busy, {7'000}) ==
          actions{stop_action::refuse_connections, stop_action::close_idle});
    CHECK(stop.obstacle(busy) == stop_obstacle::requests);
    CHECK(stop.tick({0, 1, true}, {8'000}) == actions{stop_action::return_permits});
    CHECK(stop.obstacle({0, 1, true}) == stop_obstacle::permits);
    CHECK(stop.obstacle({0, 0, true}) == stop_obstacle::view);
    CHECK(stop.tick({0, 0, false}, {9'000}) == actions{stop_action::exit});
}
