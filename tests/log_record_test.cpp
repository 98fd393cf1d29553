#include <endivestage/timeline.hpp>

#include <catch2/catch.hpp>

using namespace endivestage;

namespace
{

std::string make_line(const std::string& time, const std::string& host, std::int64_t up,
                      const std::string& rest)
{
    return "time=2026-12-04T08:00:" + time + "Z level=info " + rest + " host=" + host +
           " zone=zone-a up_ms=" + std::to_string(up);
}

std::vector<log_record> parse(const std::vector<std::string>& lines)
{
    std::vector<log_record> records;
    for (const std::string& line : lines)
    {
        const std::optional<log_record> record = parse_log_record(line);
        REQUIRE(record);
        records.push_back(*record);
    }
    return records;
}

} // namespace

TEST_CASE("a line is read back with quoted values and whatever stands before it")
{
    const std::optional<log_record> record = parse_log_record(
        "  12.1 edge-1 time=2026-12-04T08:00:01.250Z level=info event=request_refused host=r1 "
        "reason=\"a \\\"quoted\\\" text\" empty=\"\" up_ms=77");
    REQUIRE(record);
    REQUIRE(record->event == "request_refused");
    REQUIRE(record->host == "r1");
    REQUIRE(record->up_ms == 77);
    REQUIRE(record->wall_ms % 60000 == 1250);
    REQUIRE(record->field("reason") == "a \"quoted\" text");
    REQUIRE(record->field("empty").empty());
    REQUIRE_FALSE(parse_log_record("no record here"));
    REQUIRE_FALSE(parse_log_record("time=yesterday event=x"));
}

// Fault: the clock of a host steps by seconds and back. Effects must not come before their causes.
TEST_CASE("steps of a clock do not reorder the lines of a process or of others")
{
    const std::vector<merged_record> merged = merge_log_records(
        parse({make_line("01.000", "r1", 1000, "event=first"),
               make_line("04.500", "r1", 2000, "event=second"), // Stepped ahead by 2.5 s.
               make_line("03.000", "r1", 3000, "event=third"),
               make_line("02.500", "r2", 500, "event=between"),
               make_line("04.000", "r1", 4000, "event=fourth")}));
    std::vector<std::string> order;
    order.reserve(merged.size());
    for (const merged_record& placed : merged)
    {
        order.push_back(placed.record.event);
    }
    REQUIRE(order == std::vector<std::string>{"first", "second", "between", "third", "fourth"});
}

TEST_CASE("a restarted process is another run")
{
    const std::vector<merged_record> merged =
        merge_log_records(parse({make_line("01.000", "r1", 90000, "event=before"),
                                 make_line("02.000", "r1", 10, "event=started"),
                                 make_line("03.000", "r1", 1010, "event=after")}));
    REQUIRE(merged[0].record.event == "before");
    REQUIRE(merged[1].at_ms - merged[0].at_ms == 1000);
    REQUIRE(merged[2].at_ms - merged[1].at_ms == 1000);
}

TEST_CASE("a request is explained by its lines and by what was believed of its endpoints")
{
    const std::vector<merged_record> merged = merge_log_records(
        parse({make_line("01.000", "r1", 1000, "event=endpoint_updated endpoint=e1 cold_ms=2990"),
               make_line("01.100", "r1", 1100, "event=endpoint_updated endpoint=e9 cold_ms=0"),
               make_line("01.200", "r2", 1200, "event=table_service_lost table=operations"),
               make_line("01.300", "r1", 1300, "event=request_placed request=a endpoint=e1"),
               make_line("01.400", "r1", 1400, "event=request_placed request=b endpoint=e1"),
               make_line("01.500", "r1", 1500, "event=request_answered request=a endpoint=e1")}));
    const std::vector<merged_record> cause = explain_request(merged, "a");
    REQUIRE(cause.size() == 3);
    REQUIRE(cause[0].record.field("cold_ms") == "2990");
    REQUIRE(explain_request(merged, "unknown").empty());
}

// Load: a surge must not turn into a flood of lines.
TEST_CASE("lines of one kind are limited and counted, others are not")
{
    event_rate_limiter limit(10.0, 20.0);
    int written = 0;
    for (int n = 0; n < 100; ++n)
    {
        written += limit.admit("request_answered", {n}) ? 1 : 0;
    }
    REQUIRE(written >= 20);
    REQUIRE(written <= 22);
    REQUIRE(limit.admit("stopping", {100}));
    const std::vector<std::pair<std::string, std::uint64_t>> dropped = limit.take_dropped();
    REQUIRE(dropped.size() == 1);
    REQUIRE(dropped[0].first == "request_answered");
    REQUIRE(dropped[0].second == static_cast<std::uint64_t>(100 - written));
    REQUIRE(limit.take_dropped().empty());
    REQUIRE(limit.admit("request_answered", {1200}));
}
