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

// Guards against misread quoted values, and against lines that are lost because of a prefix.
TEST_CASE("a line is parsed with quoted values and after any prefix")
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

// Guards against effects that precede their causes when the clock of a host jumps ahead by seconds
// and back.
TEST_CASE("clock jumps do not reorder the lines of a process or of others")
{
    const std::vector<merged_record> merged = merge_log_records(
        parse({make_line("01.000", "r1", 1000, "event=first"),
               make_line("04.500", "r1", 2000, "event=second"), // The clock is 2.5 s ahead.
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

// Guards against one time offset for two runs, whose times since the start are unrelated.
TEST_CASE("a restarted process begins a new run")
{
    const std::vector<merged_record> merged =
        merge_log_records(parse({make_line("01.000", "r1", 90000, "event=before"),
                                 make_line("02.000", "r1", 10, "event=started"),
                                 make_line("03.000", "r1", 1010, "event=after")}));
    REQUIRE(merged[0].record.event == "before");
    REQUIRE(merged[1].at_ms - merged[0].at_ms == 1000);
    REQUIRE(merged[2].at_ms - merged[1].at_ms == 1000);
}

// Guards against explanations that lack the state of the endpoint or include other requests.
TEST_CASE("a request is explained by its own lines and by state changes of its endpoints")
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

// Guards against a load surge that floods the log.
TEST_CASE("lines are limited and counted separately for each kind")
{
    event_rate_limiter limiter(10.0, 20.0);
    int written = 0;
    for (int n = 0; n < 100; ++n)
    {
        written += limiter.admit("request_answered", {n}) ? 1 : 0;
    }
    REQUIRE(written >= 20);
    REQUIRE(written <= 22);
    REQUIRE(limiter.admit("stopping", {100}));
    const std::vector<std::pair<std::string, std::uint64_t>> dropped = limiter.take_dropped();
    REQUIRE(dropped.size() == 1);
    REQUIRE(dropped[0].first == "request_answered");
    REQUIRE(dropped[0].second == static_cast<std::uint64_t>(100 - written));
    REQUIRE(limiter.take_dropped().empty());
    REQUIRE(limiter.admit("request_answered", {1200}));
}
