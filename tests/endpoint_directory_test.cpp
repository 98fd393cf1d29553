#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

const service_id pool("pool");
constexpr millis cold_period{3000};

endpoint_record make_record(const std::string& id, const std::string& zone = "zone-a")
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = pool;
    record.host = "10.0.0.1";
    record.port = 80;
    record.zone = zone_id(zone);
    record.slots = 8;
    return record;
}

std::size_t count_available(const endpoint_directory& directory, time_point now)
{
    return directory.available(pool, now).size();
}

} // namespace

// Guards against requests to an endpoint that is leaving.
TEST_CASE("draining and removed endpoints get no requests")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    endpoint_record leaving = make_record("e2");
    directory.update(leaving, {0});
    REQUIRE(count_available(directory, {1}) == 2);
    leaving.draining = true;
    directory.update(leaving, {2});
    REQUIRE(count_available(directory, {2}) == 1);
    directory.remove(endpoint_id("e1"), {3});
    REQUIRE(count_available(directory, {3}) == 0);
}

// Guards against requests to an endpoint that left right after an outage of the table. The endpoint
// was kept as if its record had expired in the outage, and it got a request 2.1 s later, because
// available() did not check for how long. Routers that learn of it late must not keep it longer.
TEST_CASE("an endpoint whose record was removed after an outage is used for a bounded time")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    const time_point keep_until{2600};
    directory.remove(endpoint_id("e1"), {1000}, keep_until);
    REQUIRE(count_available(directory, {2500}) == 1);
    REQUIRE(count_available(directory, keep_until) == 0);
    directory.update(make_record("e1"), {2950});
    REQUIRE(count_available(directory, {2950}) == 1);
    directory.remove(endpoint_id("e1"), {2951}, keep_until);
    REQUIRE(directory.size() == 0);
}

TEST_CASE("a draining endpoint is not kept when its record is removed after an outage")
{
    endpoint_directory directory;
    endpoint_record record = make_record("e1");
    record.draining = true;
    directory.update(record, {0});
    directory.remove(endpoint_id("e1"), {1000}, time_point{2600});
    REQUIRE(directory.size() == 0);
}

// Guards against requests to a zone that operators have taken out of service, and against overload
// of its cold endpoints when it returns.
TEST_CASE("a zone out of service gets no requests and its endpoints return cold")
{
    endpoint_directory directory;
    directory.update(make_record("e1", "zone-a"), {0});
    directory.update(make_record("e2", "zone-b"), {0});
    const std::map<service_id, millis> cold{{pool, cold_period}};
    directory.set_out_of_service({zone_id("zone-a")}, {10}, cold);
    REQUIRE(count_available(directory, {11}) == 1);
    directory.set_out_of_service({}, {5000}, cold);
    REQUIRE(count_available(directory, {5000}) == 2);
    REQUIRE(directory.find(endpoint_id("e1"))->is_cold({5001}));
    REQUIRE_FALSE(directory.find(endpoint_id("e2"))->is_cold({5001}));
}

// Load: engines crash and restart. Each failed connection uses up part of a request's time.
TEST_CASE("an unreachable endpoint is avoided for longer with each failure and returns cold")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    const endpoint_id id("e1");
    directory.begin_request(id);
    directory.end_request(id, endpoint_outcome::unreachable, {100}, cold_period);
    const time_point first = directory.find(id)->avoid_until;
    REQUIRE(first > time_point{100});
    directory.begin_request(id);
    directory.end_request(id, endpoint_outcome::unreachable, first, cold_period);
    REQUIRE(directory.find(id)->avoid_until - first > first - time_point{100});
    directory.begin_request(id);
    directory.end_request(id, endpoint_outcome::served, {9000}, cold_period);
    REQUIRE(directory.find(id)->avoid_until <= time_point{9000});
    REQUIRE(directory.find(id)->is_cold({9001}));
}

// Guards against observations of an earlier run: an endpoint may restart with the same id.
TEST_CASE("an endpoint that restarts with the same id loses its earlier state")
{
    endpoint_directory directory;
    endpoint_record record = make_record("e1");
    record.started_at = 1000;
    directory.update(record, {0});
    directory.end_request(endpoint_id("e1"), endpoint_outcome::unreachable, {10}, cold_period);
    record.started_at = 2000;
    record.cold_left = millis{3000};
    directory.update(record, {20});
    const endpoint_state* state = directory.find(endpoint_id("e1"));
    REQUIRE(state->consecutive_failures == 0);
    REQUIRE(state->is_cold({100}));
    REQUIRE_FALSE(state->is_cold({3100}));
}

// Load: load reports arrive late, and all routers read the same one. Each router adds the requests
// that it has sent since the report.
TEST_CASE("the estimated load adds this router's later requests to the last report")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    const endpoint_id id("e1");
    directory.begin_request(id);
    directory.record_load_report(id, 10.0, {100});
    directory.begin_request(id);
    REQUIRE(directory.estimated_load(*directory.find(id), {150}) == Approx(11.0));
    REQUIRE(directory.estimated_load(*directory.find(id), {2000}) == Approx(5.0));
    REQUIRE(directory.estimated_load(*directory.find(id), {9000}) == Approx(2.0));
}

// Guards against endpoints that are avoided, or get a reduced share as cold ones, because the
// router's own link was lost.
TEST_CASE("losses during a cut leave no avoidance, no cold state and the failure rate of before")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    const endpoint_id id("e1");
    directory.end_request(id, endpoint_outcome::failed, {900}, cold_period);
    directory.end_request(id, endpoint_outcome::served, {1000}, cold_period);
    const double failure_rate = directory.find(id)->failure_rate;
    REQUIRE(failure_rate > 0.0);
    for (const std::int64_t at : {2000, 2100, 2200, 2300})
    {
        const endpoint_outcome outcome =
            at == 2300 ? endpoint_outcome::broken : endpoint_outcome::unreachable;
        directory.end_request(id, outcome, {at}, cold_period);
    }
    REQUIRE(directory.find(id)->avoid_until > time_point{2300});
    REQUIRE(directory.find(id)->failure_rate > failure_rate);
    directory.forget_losses({1900});
    REQUIRE(directory.find(id)->consecutive_failures == 0);
    REQUIRE(directory.find(id)->avoid_until <= time_point{2300});
    REQUIRE(directory.find(id)->failure_rate == Approx(failure_rate));
    REQUIRE(directory.failing_endpoints({2301}).empty());
    directory.end_request(id, endpoint_outcome::served, {2400}, cold_period);
    REQUIRE_FALSE(directory.find(id)->is_cold({2401}));
}

// Guards against endpoints that were down before a cut and count as sound after it.
TEST_CASE("losses before a cut are kept")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    directory.update(make_record("e2"), {0});
    const endpoint_id down("e1");
    const endpoint_id answering("e2");
    for (const std::int64_t at : {1000, 1100, 1200})
    {
        directory.end_request(down, endpoint_outcome::unreachable, {at}, cold_period);
        directory.end_request(answering, endpoint_outcome::failed, {at}, cold_period);
    }
    const endpoint_state before = *directory.find(down);
    const double failure_rate = directory.find(answering)->failure_rate;
    directory.end_request(answering, endpoint_outcome::unreachable, {2000}, cold_period);
    directory.forget_losses({1900});
    REQUIRE(directory.find(down)->consecutive_failures == before.consecutive_failures);
    REQUIRE(directory.find(down)->avoid_until == before.avoid_until);
    REQUIRE(directory.find(down)->failure_rate == Approx(before.failure_rate));
    REQUIRE(directory.find(answering)->failure_rate == Approx(failure_rate));
    directory.end_request(down, endpoint_outcome::served, {2400}, cold_period);
    REQUIRE(directory.find(down)->is_cold({2401}));
}

// Guards against endpoints that get a reduced share as cold ones after a cut during which their
// connections lived on while new ones were refused.
TEST_CASE("an endpoint that answers on an old connection during a cut does not count as cold")
{
    endpoint_directory directory;
    directory.update(make_record("e1"), {0});
    const endpoint_id id("e1");
    directory.end_request(id, endpoint_outcome::served, {1000}, cold_period);
    directory.end_request(id, endpoint_outcome::unreachable, {2000}, cold_period);
    directory.end_request(id, endpoint_outcome::unreachable, {2100}, cold_period);
    directory.end_request(id, endpoint_outcome::served, {2200}, cold_period);
    directory.forget_losses({1900});
    REQUIRE_FALSE(directory.find(id)->is_cold({2201}));
    // What the endpoint says itself stays in force.
    directory.record_cold_report(id, millis{500}, {2300});
    directory.forget_losses({1900});
    REQUIRE(directory.find(id)->is_cold({2301}));
}
