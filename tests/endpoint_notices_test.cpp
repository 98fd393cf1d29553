#include <endivestage/routing.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace endivestage;

namespace
{

constexpr time_point start{100000};
constexpr millis drain{2000};

endpoint_record make_record(const std::string& id, std::int64_t started_at = 1,
                            const std::string& service = "pool")
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = service_id(service);
    record.host = "10.0.0.1";
    record.port = 80;
    record.zone = zone_id("zone-a");
    record.started_at = started_at;
    record.slots = 8;
    return record;
}

/// A router's directory of one service and what its endpoints have said.
struct pool
{
    explicit pool(std::size_t size, std::uint64_t router = 7) : notices(router)
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            records.push_back(make_record("e" + std::to_string(n)));
            directory.update(records.back(), start);
        }
    }

    usable_endpoints select(time_point now) const
    {
        const std::vector<const endpoint_state*> available =
            directory.available(service_id("pool"), now);
        return notices.select(available, drain, now);
    }

    bool is_usable(std::size_t n, time_point now) const
    {
        const usable_endpoints usable = select(now);
        return std::any_of(usable.endpoints.begin(), usable.endpoints.end(),
                           [&](const endpoint_state* endpoint)
                           { return endpoint->record.id == records.at(n).id; });
    }

    endpoint_directory directory;
    endpoint_notices notices;
    std::vector<endpoint_record> records;
};

} // namespace

// Load: half of a pool leaves at once under a burst, while the records still say that it is ready.
TEST_CASE("endpoints that leave get no requests while others are left")
{
    pool p(10);
    for (std::size_t n = 0; n < 5; ++n)
    {
        REQUIRE(p.notices.record_leaving(p.records[n], start));
        REQUIRE_FALSE(p.notices.record_leaving(p.records[n], start + millis{1}));
    }
    for (const millis later : {millis{0}, millis{1000}, millis{60000}})
    {
        for (const endpoint_record& record : p.records)
        {
            p.directory.update(record, start + later);
        }
        p.notices.expire(p.directory, start + later);
        REQUIRE(p.select(start + later).endpoints.size() == 5);
        REQUIRE_FALSE(p.is_usable(0, start + later));
        REQUIRE(p.is_usable(9, start + later));
    }
}

// Load: the only endpoints of a service leave. They take requests for a while, and a request that
// arrives at the end of that while would be late.
TEST_CASE("the last endpoints get requests until shortly before they stop taking them")
{
    pool p(2);
    p.notices.record_leaving(p.records[0], start);
    p.notices.record_leaving(p.records[1], start + millis{400});
    REQUIRE(p.select(start + millis{1499}).endpoints.size() == 2);
    REQUIRE(p.select(start + millis{1500}).endpoints.size() == 1);
    REQUIRE(p.is_usable(1, start + millis{1899}));
    REQUIRE(p.select(start + millis{1900}).endpoints.empty());
    REQUIRE_FALSE(p.select(start + millis{1900}).first_return);
    // A repeated notice does not start the time anew.
    p.notices.record_leaving(p.records[0], start + millis{1900});
    REQUIRE(p.select(start + millis{1900}).endpoints.empty());
    const endpoint_record joined = make_record("new");
    p.directory.update(joined, start + millis{1950});
    REQUIRE(p.select(start + millis{1950}).endpoints.size() == 1);
}

// Load: all endpoints are full and ask for a pause. Requests must be refused at once with the time
// at which the first one returns.
TEST_CASE("when all endpoints hold off the first return is known")
{
    pool p(3);
    REQUIRE(p.notices.record_hold_off(p.records[0], millis{4000}, start));
    REQUIRE(p.notices.record_hold_off(p.records[1], millis{1000}, start));
    REQUIRE(p.select(start).endpoints.size() == 1);
    REQUIRE_FALSE(p.select(start).first_return);
    REQUIRE(p.notices.record_hold_off(p.records[2], millis{2000}, start));
    const usable_endpoints none = p.select(start + millis{100});
    REQUIRE(none.endpoints.empty());
    REQUIRE(none.first_return);
    REQUIRE(*none.first_return >= millis{900});
    REQUIRE(*none.first_return < millis{1150});
}

// Guards against requests to an endpoint before the end of the longest time that it asked for.
TEST_CASE("a shorter time does not shorten a longer one")
{
    pool p(2);
    p.notices.record_hold_off(p.records[0], millis{5000}, start);
    REQUIRE_FALSE(p.notices.record_hold_off(p.records[0], millis{1000}, start + millis{1000}));
    REQUIRE_FALSE(p.is_usable(0, start + millis{4999}));
    p.notices.record_hold_off(p.records[0], millis{5000}, start + millis{3000});
    REQUIRE_FALSE(p.is_usable(0, start + millis{7999}));
    REQUIRE(p.is_usable(0, start + millis{9000}));
    REQUIRE_FALSE(p.notices.record_hold_off(p.records[1], millis{0}, start));
    REQUIRE(p.is_usable(1, start));
}

// Load: a cold endpoint turns requests away. It stays cold by its own report, and the pause is no
// reason to send to it again before it ends.
TEST_CASE("a cold endpoint that holds off gets no requests")
{
    pool p(2);
    p.directory.record_cold_report(p.records[0].id, millis{3000}, start);
    p.notices.record_hold_off(p.records[0], millis{1000}, start);
    REQUIRE_FALSE(p.is_usable(0, start + millis{999}));
    REQUIRE(p.is_usable(0, start + millis{1250}));
    REQUIRE(p.directory.find(p.records[0].id)->is_cold(start + millis{1250}));
}

// Load: hundreds of routers return to an endpoint after its pause, which would fill it again.
TEST_CASE("routers return to an endpoint one after another")
{
    std::vector<std::int64_t> returns;
    for (std::uint64_t router = 0; router < 300; ++router)
    {
        pool p(1, hash64("router", router));
        p.notices.record_hold_off(p.records[0], millis{2000}, start);
        returns.push_back(p.notices.hold_off_left(p.records[0], start).count);
    }
    REQUIRE(*std::min_element(returns.begin(), returns.end()) >= 2000);
    REQUIRE(*std::max_element(returns.begin(), returns.end()) < 2500);
    for (std::int64_t from = 2000; from < 2500; from += 100)
    {
        const std::ptrdiff_t n =
            std::count_if(returns.begin(), returns.end(),
                          [&](std::int64_t left) { return left >= from && left < from + 100; });
        REQUIRE(n > 30);
        REQUIRE(n < 90);
    }
}

// Guards against an endpoint that is avoided because an earlier one had its address or its id.
TEST_CASE("a notice belongs to one incarnation of one endpoint")
{
    pool p(1);
    p.notices.record_leaving(p.records[0], start);
    const endpoint_record other = make_record("other", 2, "orders");
    REQUIRE_FALSE(p.notices.is_leaving(other));
    const endpoint_record restarted = make_record("e0", 2);
    REQUIRE_FALSE(p.notices.is_leaving(restarted));
    p.directory.update(restarted, start + millis{1});
    REQUIRE(p.is_usable(0, start + millis{5000}));
    p.notices.expire(p.directory, start + millis{250});
    REQUIRE(p.notices.size() == 0);
    // Nothing of it is left for an endpoint that a restarted router meets.
    REQUIRE(pool(1).is_usable(0, start));
}

// Guards against requests to a leaving endpoint whose record expired in an outage and came back.
TEST_CASE("a notice outlasts a record that is written again")
{
    pool p(2);
    p.notices.record_leaving(p.records[0], start);
    p.directory.remove(p.records[0].id, start + millis{1000});
    p.notices.expire(p.directory, start + millis{4000});
    p.directory.update(p.records[0], start + millis{4100});
    REQUIRE_FALSE(p.is_usable(0, start + millis{4100}));
    p.directory.remove(p.records[0].id, start + millis{5000});
    p.notices.expire(p.directory, start + millis{35001});
    REQUIRE(p.notices.size() == 0);
}

// Load: 300 endpoints say both in turn, and are replaced by others for hours.
TEST_CASE("notices take bounded memory")
{
    endpoint_directory directory;
    endpoint_notices_config config;
    config.max_notices = 600;
    endpoint_notices notices(7, config);
    time_point now = start;
    for (int round = 0; round < 40; ++round)
    {
        for (int n = 0; n < 300; ++n)
        {
            const endpoint_record record =
                make_record("e" + std::to_string(round) + "-" + std::to_string(n));
            directory.update(record, now);
            notices.record_hold_off(record, millis{1000}, now);
            notices.record_leaving(record, now);
            REQUIRE(notices.size() <= 600);
            REQUIRE(notices.is_leaving(record));
            directory.remove(record.id, now);
        }
        now = now + millis{10000};
        notices.expire(directory, now);
    }
    now = now + millis{40000};
    notices.expire(directory, now);
    REQUIRE(notices.size() == 0);
}
