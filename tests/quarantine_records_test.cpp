#include <endivestage/routing.hpp>

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

using namespace endivestage;

namespace
{

using type = part_report::type;

constexpr std::uint64_t self = 17;

quarantine_record make_record(std::uint64_t part, std::uint64_t latest_crash)
{
    quarantine_record record;
    record.part = part;
    for (std::uint64_t n = 0; n < 3; ++n)
    {
        record.crashes.push_back(
            {type::crashed, part, latest_crash - n, millis{static_cast<std::int64_t>(n) * 100}});
    }
    return record;
}

/// \returns Number of routers that store the record between two times.
std::size_t count_writers(std::vector<quarantine_records>& routers, const quarantine_record& record,
                          time_point from, time_point to)
{
    const std::vector<quarantine_record> known{record};
    std::size_t writers = 0;
    for (quarantine_records& router : routers)
    {
        bool writes = false;
        for (time_point now = from; now < to; now = now + millis{500})
        {
            writes = !router.find_due(known, routers.size(), now).to_store.empty() || writes;
        }
        writers += writes ? 1 : 0;
    }
    return writers;
}

} // namespace

// Guards against a quarantine that no router stores, so that it is lost when all of them restart.
TEST_CASE("a quarantine is stored until the table has it")
{
    quarantine_records records(self);
    const std::vector<quarantine_record> known{make_record(1, 10)};
    REQUIRE(records.find_due(known, 1, {1000}).to_store.size() == 1);
    // The write may have failed.
    REQUIRE(records.find_due(known, 1, {2000}).to_store.empty());
    REQUIRE(records.find_due(known, 1, {9000}).to_store.size() == 1);
    records.record_stored(known.front());
    REQUIRE(records.find_due(known, 1, {20000}).to_store.empty());
}

// Guards against a stored quarantine that is shorter than the fleet knows after a failed trial.
TEST_CASE("a record is stored again after a further crash")
{
    quarantine_records records(self);
    records.record_stored(make_record(1, 10));
    REQUIRE(records.find_due(std::vector{make_record(1, 10)}, 1, {1000}).to_store.empty());
    REQUIRE(records.find_due(std::vector{make_record(1, 11)}, 1, {2000}).to_store.size() == 1);
}

// Guards against records of parts that were cleared quarantining them again at each restart, and
// against a starting router erasing a record before it regards it.
TEST_CASE("the record of a part that is no longer quarantined is erased")
{
    const quarantine_records_config config;
    quarantine_records records(self, config);
    records.record_stored(make_record(1, 10));
    const time_point start{1000};
    REQUIRE(records.find_due({}, 1, start).to_erase.empty());
    REQUIRE(records.find_due({}, 1, start + config.erase_delay - millis{1}).to_erase.empty());
    REQUIRE(records.find_due({}, 1, start + config.erase_delay).to_erase ==
            std::vector<std::uint64_t>{1});
    records.record_erased(1);
    REQUIRE(records.find_due({}, 1, {20000}).to_erase.empty());
}

// Load: 295 routers learn of a quarantine at the same time. Guards against each of them writing to
// the store, and against none doing it.
TEST_CASE("few of many routers store a quarantine, and others do if these fail")
{
    for (std::uint64_t part = 1; part <= 20; ++part)
    {
        std::vector<quarantine_records> routers;
        for (std::uint64_t n = 0; n < 295; ++n)
        {
            routers.emplace_back(hash64("router", n));
        }
        const quarantine_record record = make_record(part, 10);
        const std::size_t first = count_writers(routers, record, {0}, {500});
        REQUIRE(first <= 6);
        const std::size_t later = count_writers(routers, record, {500}, {2000});
        REQUIRE(first + later >= 4);
    }
}

// Guards against a caller who crashes engines with new parts filling the table.
TEST_CASE("the number of records is bounded")
{
    const quarantine_records_config config;
    quarantine_records records(self, config);
    std::vector<quarantine_record> known;
    for (std::uint64_t part = 1; part <= 1000; ++part)
    {
        known.push_back(make_record(part, part * 10));
    }
    std::size_t stored = 0;
    for (time_point now{0}; now < time_point{1000000}; now = now + millis{500})
    {
        const quarantine_writes writes = records.find_due(known, 1, now);
        REQUIRE(writes.to_store.size() <= config.max_writes_at_once);
        for (const quarantine_record& record : writes.to_store)
        {
            records.record_stored(record);
            ++stored;
        }
    }
    REQUIRE(stored == config.max_records);
}
