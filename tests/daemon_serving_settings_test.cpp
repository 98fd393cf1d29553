#include <endivestage/serving/settings.hpp>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace endivestage;
using namespace endivestage::serving;

namespace
{

const std::string good = R"({
 "router": {"name":"r1","zone":"z","region":"r","host":"10.0.0.1","peer_port":7340,"cpu_share":0.25,"first_start":true},
 "listen": {"callers":"10.0.0.1:1","readiness":"10.0.0.1:2","directory":"10.0.0.1:3","metrics":"10.0.0.1:4"},
 "platform": {"table_service":"10.0.0.9:80"},
 "bounds": {"revocation_ms":5000,"config_ms":3000,"drain_ms":2500,"repeat_ratio":0.2,"repeat_window_s":10,"repeat_allowance":58,"cold_overshoot":1.5,
  "cold_slack":5,"stop_grace_s":8,"address_lifetime_s":5}, "unknown": 1})";

std::string replace(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool has_fault(const settings_outcome& outcome, const std::string& key, const std::string& reason)
{
    return std::any_of(outcome.faults.begin(), outcome.faults.end(),
                       [&](const settings_fault& fault)
                       { return fault.key == key && fault.reason == reason; });
}

} // namespace

// Platforms without roll-outs lack these members or render null; a router must start all the same.
TEST_CASE("bounds of roll-outs are optional")
{
    const settings_outcome without = parse_server_settings(good);
    REQUIRE(without.faults.empty());
    REQUIRE(without.settings.bounds.exposure_share == 0.1);
    const std::string set =
        R"("stop_grace_s":8,"exposure_share":0.05,"rollback_ms":4000,"exposure_slack":null)";
    const settings_outcome with = parse_server_settings(replace(good, R"("stop_grace_s":8)", set));
    REQUIRE(with.faults.empty());
    REQUIRE(with.settings.bounds.exposure_share == 0.05);
    REQUIRE(with.settings.bounds.exposure_slack == 50.0);
    REQUIRE(with.settings.bounds.rollback_delay == millis{4000});
}

TEST_CASE("settings are parsed with their units and unknown members are ignored")
{
    const settings_outcome outcome = parse_server_settings(good);
    REQUIRE(outcome.faults.empty());
    REQUIRE(outcome.settings.name == router_id("r1"));
    REQUIRE(outcome.settings.first_start);
    REQUIRE(outcome.settings.bounds.stop_grace == millis{8000});
    REQUIRE(outcome.settings.bounds.max_config_delay == millis{3000});
    REQUIRE(outcome.settings.bounds.max_drain_delay == millis{2500});
    REQUIRE(outcome.settings.bounds.repeats.window == millis{10000});
    REQUIRE(outcome.settings.table_service.port == 80);
    REQUIRE(outcome.settings.memory == router_state::default_host_memory);
    const std::string with_memory =
        replace(good, "\"cpu_share\":0.25", "\"cpu_share\":0.25,\"memory_mb\":260");
    REQUIRE(parse_server_settings(with_memory).settings.memory == 260UL * 1024 * 1024);
    const std::string bad_memory =
        replace(good, "\"cpu_share\":0.25", "\"cpu_share\":0.25,\"memory_mb\":1");
    REQUIRE(has_fault(parse_server_settings(bad_memory), "router.memory_mb", "out_of_range"));
}

// Guards against overload settings that are required, ignored or taken out of their range.
TEST_CASE("overload settings are optional and checked")
{
    REQUIRE_FALSE(parse_server_settings(good).settings.overload.enabled);
    const std::string changed =
        replace(good, "\"unknown\": 1", R"("overload":{"enabled":true,"bound_factor":1.5})");
    const settings_outcome outcome = parse_server_settings(changed);
    REQUIRE(outcome.faults.empty());
    REQUIRE(outcome.settings.overload.enabled);
    REQUIRE(outcome.settings.overload.bound_factor == 1.5);
    const std::string bad =
        replace(good, "\"unknown\": 1", R"("overload":{"enabled":1,"bound_factor":0.5})");
    REQUIRE(has_fault(parse_server_settings(bad), "overload.enabled", "not_a_flag"));
    REQUIRE(has_fault(parse_server_settings(bad), "overload.bound_factor", "out_of_range"));
}

// All faults are reported at once, so that an operator need not fix them one at a time.
TEST_CASE("each invalid or missing setting gives one fault with its key")
{
    std::string bad = replace(good, "\"10.0.0.1:1\"", "\"nowhere\"");
    bad = replace(bad, "\"zone\":\"z\",", "");
    bad = replace(bad, "\"cold_slack\":5", "\"cold_slack\":\"five\"");
    bad = replace(bad, "\"first_start\":true", "\"first_start\":1");
    bad = replace(bad, "\"peer_port\":7340", "\"peer_port\":99999");
    const settings_outcome outcome = parse_server_settings(bad);
    REQUIRE(outcome.faults.size() == 5);
    REQUIRE(has_fault(outcome, "listen.callers", "not_an_address"));
    REQUIRE(has_fault(outcome, "router.first_start", "not_a_flag"));
    REQUIRE(has_fault(outcome, "router.zone", "missing"));
    REQUIRE(has_fault(outcome, "bounds.cold_slack", "not_a_number"));
    REQUIRE(has_fault(outcome, "router.peer_port", "out_of_range"));
}

TEST_CASE("text that is not a JSON object gives one fault")
{
    REQUIRE(parse_server_settings("{").faults.size() == 1);
    REQUIRE(parse_server_settings("[]").faults.size() == 1);
}
