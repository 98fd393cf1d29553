// Where streams began, which versions may have begun one, and what follows for a take-up.

#include <endivestage/continuation.hpp>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

constexpr time_point start{100000};
constexpr millis lifetime{30000};
const service_id pool("pool");

endpoint_record make_record(const std::string& id, const std::string& version,
                            std::int64_t started_at = 1)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = pool;
    record.host = "10.0.0.1";
    record.port = 80;
    record.zone = zone_id("zone-a");
    record.slots = 8;
    record.version = version;
    record.started_at = started_at;
    return record;
}

/// A router's view of the endpoints and of the versions that served lately.
struct view
{
    bool put(const endpoint_record& record, time_point now)
    {
        endpoints.update(record, now);
        return history.record_endpoint(record, now);
    }

    void erase(const endpoint_record& record, time_point now)
    {
        history.record_endpoint(record, now);
        endpoints.remove(record.id, now);
    }

    std::size_t count(time_point now)
    {
        history.refresh(pool, endpoints, now);
        return history.versions(pool).size();
    }

    endpoint_directory endpoints;
    version_history history;
};

const std::vector<service_id>& services()
{
    static const std::vector<service_id> all{pool};
    return all;
}

} // namespace

// Guards against a guess: only a known origin of the same service, or a single version, says where
// a stream may go on.
TEST_CASE("a stream goes on only where one version can have begun it")
{
    const std::uint64_t service = 7;
    const std::vector<std::uint64_t> two{1, 2};
    const std::vector<std::uint64_t> one{2};
    const take_up_decision known = decide_take_up(stream_origin{service, 1}, service, two);
    REQUIRE(known.goes_on);
    REQUIRE(known.version == 1);
    REQUIRE_FALSE(decide_take_up(std::nullopt, service, two).goes_on);
    REQUIRE_FALSE(decide_take_up(stream_origin{8, 1}, service, two).goes_on);
    const take_up_decision only = decide_take_up(std::nullopt, service, one);
    REQUIRE(only.goes_on);
    REQUIRE(only.version == 2);
    // The version that began it has left; its endpoints may return.
    REQUIRE(decide_take_up(stream_origin{service, 1}, service, one).version == 1);
}

// Guards against the only version that a router has seen being taken for the only one that is
// there: its copy of the endpoints is old.
TEST_CASE("a stream of unknown origin does not go on by an old copy")
{
    const std::uint64_t service = 7;
    const std::vector<std::uint64_t> one{2};
    REQUIRE_FALSE(decide_take_up(std::nullopt, service, one, false).goes_on);
    REQUIRE_FALSE(decide_take_up(std::nullopt, service, {}, false).goes_on);
    REQUIRE(decide_take_up(std::nullopt, service, one, true).goes_on);
    REQUIRE(decide_take_up(stream_origin{service, 2}, service, one, false).goes_on);
}

// Guards against an origin that two routers state differently, and against old ones.
TEST_CASE("an origin is forgotten in time and never chosen among several")
{
    stream_origins origins;
    origins.set_lifetime(lifetime);
    origins.record(1, {7, 1}, start, true);
    origins.record(2, {7, 1}, start, false);
    REQUIRE(origins.find(1, start + millis{1}) == stream_origin{7, 1});
    origins.record(2, {7, 2}, start + millis{10}, false);
    REQUIRE_FALSE(origins.find(2, start + millis{10}));
    origins.record(2, {7, 2}, start + millis{20}, false);
    REQUIRE_FALSE(origins.find(2, start + millis{20}));
    // A stream that goes on is remembered from then on.
    origins.record(1, {7, 1}, start + millis{20000}, false);
    REQUIRE(origins.find(1, start + millis{40000}));
    REQUIRE_FALSE(origins.find(1, start + millis{50000}));
    origins.record(3, {7, 1}, start + millis{60000}, true);
    REQUIRE(origins.size() == 1);
}

// Load: callers that begin streams without end. Guards against memory that grows with them.
TEST_CASE("origins are bounded and the newest stay")
{
    stream_origins_config config;
    config.max_streams = 100;
    stream_origins origins(config);
    for (std::uint64_t n = 1; n <= 1000; ++n)
    {
        origins.record(n, {7, 1}, start + millis{static_cast<std::int64_t>(n)}, n % 2 == 0);
        origins.record(500, {7, 1}, start + millis{static_cast<std::int64_t>(n)}, true);
    }
    const time_point now = start + millis{1000};
    REQUIRE(origins.size() <= 100);
    REQUIRE(origins.find(1000, now));
    REQUIRE(origins.find(500, now));
    REQUIRE_FALSE(origins.find(1, now));
    for (const known_origin& known : origins.own_streams(7, now))
    {
        REQUIRE(known.stream % 2 == 0);
    }
    REQUIRE(origins.own_streams(8, now).empty());
}

// Guards against take-ups at the new version right after a roll-out or a roll-back: the streams of
// the version that left may still be taken up.
TEST_CASE("a version counts for a while after its last endpoint has gone")
{
    view v;
    REQUIRE_FALSE(v.put(make_record("e1", "v1"), start));
    REQUIRE_FALSE(v.put(make_record("e2", "v1"), start));
    REQUIRE(v.count(start) == 1);
    // The second version: streams that began before are told to other routers now.
    REQUIRE(v.put(make_record("e3", "v2"), start + millis{1000}));
    REQUIRE(v.history.is_mixed(pool));
    v.erase(make_record("e1", "v1"), start + millis{2000});
    v.erase(make_record("e2", "v1"), start + millis{3000});
    REQUIRE(v.count(start + millis{3000} + lifetime - millis{1}) == 2);
    REQUIRE(v.count(start + millis{3000} + lifetime) == 1);
    // Rolled back.
    const time_point back = start + millis{60000};
    REQUIRE(v.put(make_record("e4", "v1"), back));
    v.erase(make_record("e3", "v2"), back);
    REQUIRE(v.count(back + lifetime - millis{1}) == 2);
    REQUIRE(v.count(back + lifetime) == 1);
}

// Guards against taking a draining endpoint's version for gone: its streams run on.
TEST_CASE("a draining endpoint's version may have begun a stream")
{
    view v;
    endpoint_record leaving = make_record("e1", "v1");
    leaving.draining = true;
    v.put(leaving, start);
    v.put(make_record("e2", "v2"), start);
    REQUIRE(v.count(start + lifetime * 3) == 2);
}

// Guards against an endpoint that may run any version counting as one of the others, or as the same
// one after another start.
TEST_CASE("an endpoint without a version is a version of its own at each start")
{
    view v;
    v.put(make_record("e1", "", 1), start);
    REQUIRE(v.count(start) == 1);
    v.put(make_record("e1", "", 2), start + millis{1});
    REQUIRE(v.count(start + millis{1}) == 2);
    v.put(make_record("e2", ""), start + millis{2});
    v.put(make_record("e3", "e1"), start + millis{3});
    REQUIRE(v.count(start + millis{3}) == 4);
    REQUIRE(version_key(make_record("e1", "", 1)) != version_key(make_record("e1", "", 2)));
    REQUIRE(version_key(make_record("e1", "v1", 1)) == version_key(make_record("e2", "v1", 2)));
}

// Guards against routers that were all killed beside the end of a roll-out: the started ones see
// the new version only, and the row says which one may have begun a stream.
TEST_CASE("a started router counts the versions of the row")
{
    view before;
    before.put(make_record("e1", "v1"), start);
    std::vector<version_row> due = before.history.find_due(services(), start);
    REQUIRE(due.size() == 1);
    before.history.restore(pool, due.front().versions, start);
    REQUIRE(before.history.find_due(services(), start + millis{5000}).empty());

    view started;
    const time_point later = start + millis{8000};
    started.put(make_record("e2", "v2"), later);
    started.history.restore(pool, due.front().versions, later);
    REQUIRE(started.count(later) == 2);
    // It writes the row with both, and without the one that left only after its streams are over.
    due = started.history.find_due(services(), later);
    REQUIRE(due.size() == 1);
    REQUIRE(due.front().versions.size() == 2);
    started.history.restore(pool, due.front().versions, later);
    REQUIRE(started.count(later + lifetime - millis{1}) == 2);
    REQUIRE(started.history.find_due(services(), later + lifetime - millis{1}).empty());
    REQUIRE(started.count(later + lifetime) == 1);
    due = started.history.find_due(services(), later + lifetime);
    REQUIRE(due.front().versions == std::vector<std::string>{"version v2"});
}

// Guards against a write at every tick while the store does not answer, and against a row that
// stays lost when the store came back from an older copy.
TEST_CASE("a row that differs is written again after a pause")
{
    view v;
    v.put(make_record("e1", "v1"), start);
    v.put(make_record("e2", "v2"), start);
    REQUIRE(v.history.find_due(services(), start).size() == 1);
    REQUIRE(v.history.find_due(services(), start + millis{1999}).empty());
    REQUIRE(v.history.find_due(services(), start + millis{2000}).size() == 1);
    const std::vector<std::string> both{"version v1", "version v2"};
    v.history.restore(pool, both, start + millis{2100});
    REQUIRE(v.history.find_due(services(), start + millis{9000}).empty());
    const std::vector<std::string> older{"version v1"};
    v.history.restore(pool, older, start + millis{9000});
    REQUIRE(v.history.find_due(services(), start + millis{9000}).size() == 1);
    v.history.record_erased(pool);
    REQUIRE(v.history.find_due(services(), start + millis{12000}).size() == 1);
}

// Guards against holders that a router cannot find again: after some of them have gone, the ones
// that are left must still be among those that are asked.
TEST_CASE("holders that are left are asked after others were killed")
{
    constexpr int count = 9;
    std::vector<router_id> routers;
    routers.reserve(count);
    for (int n = 0; n < count; ++n)
    {
        routers.emplace_back("r" + std::to_string(n));
    }
    for (std::uint64_t stream = 1; stream <= 200; ++stream)
    {
        const std::vector<router_id> told = choose_holders(stream, routers, told_holders);
        REQUIRE(told.size() == told_holders);
        std::vector<router_id> left = routers;
        std::erase(left, told[0]);
        std::erase(left, told[1]);
        const std::vector<router_id> asked = choose_holders(stream, left, asked_holders);
        REQUIRE(asked.front() == told[2]);
        // One that was down when the stream began has returned and knows nothing.
        std::vector<router_id> more = routers;
        more.emplace_back("returned");
        const std::vector<router_id> all = choose_holders(stream, more, asked_holders);
        REQUIRE(std::find(all.begin(), all.end(), told[2]) != all.end());
    }
    REQUIRE(choose_holders(1, {}, told_holders).empty());
}
