#include <catch2/catch.hpp>
#include <endivestage/daemon/settings.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace endivestage;
using namespace endivestage::daemon;

namespace
{

const std::string valid = R"({
  "id": "r1", "region": "baltic", "zone": "z1",
  "listen": {"host": "127.0.0.1", "port": 8080},
  "peer_port": 8081, "udp_port": 8082,
  "platform": {
    "table": {"host": "127.0.0.1", "port": 9001}, "objects": {"host": "127.0.0.1", "port": 9002},
    "hosts": {"host": "127.0.0.1", "port": 9003}, "weights": {"host": "::1", "port": 9004}},
  "operator_tokens": ["operator-token-0123456789"],
  "peer_keys": ["peer-key-one-0123456789", "peer-key-two-0123456789"],
  "worker_threads": 2, "limits": {"max_connections": 100}, "timing": {"probe_period_ms": 50}
})";

std::string changed(const std::string& from, const std::string& to)
{
    std::string text = valid;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against values that are read into the wrong place and overrides that are ignored.
TEST_CASE("valid settings are read")
{
    const settings_outcome outcome = parse_settings(valid, "router.json");
    for (const settings_fault& fault : outcome.faults())
    {
        INFO(to_string(fault));
        CHECK(false);
    }
    REQUIRE(outcome.has_value());
    const router_settings& found = outcome.value();
    CHECK(found.id == router_id("r1"));
    CHECK(found.zone == zone_id("z1"));
    CHECK(to_string(found.listen) == "127.0.0.1:8080");
    CHECK(found.advertised_host == "127.0.0.1");
    CHECK(to_string(found.platform.weights) == "[::1]:9004");
    CHECK(found.peer_keys[1].reveal() == "peer-key-two-0123456789");
    CHECK(found.limits.max_connections == 100);
    CHECK(found.limits.max_body_bytes == request_limits{}.max_body_bytes);
    CHECK(found.timing.probe_period.count == 50);
    CHECK(found.timing.probe_timeout.count == 300);
}

// Guards against a router that starts with a setting other than the operator meant.
TEST_CASE("each fault names its key and kind")
{
    using kind = settings_fault_kind;
    struct example
    {
        std::string from;
        std::string to;
        std::string key;
        kind what;
    };
    const std::vector<example> examples{
        {"\"zone\": \"z1\",", "", "zone", kind::missing_key},
        {"\"zone\"", "\"zome\": 1, \"zone\"", "zome", kind::unknown_key},
        {"probe_period_ms", "probe_period", "timing.probe_period", kind::unknown_key},
        {"\"r1\"", "1", "id", kind::wrong_type},
        {"\"r1\"", "\"\"", "id", kind::out_of_range},
        {"\"r1\"", "\"r 1/x\"", "id", kind::out_of_range},
        {"\"z1\"", "\"z.1\"", "zone", kind::out_of_range},
        {"\"baltic\"", "\"bal tic\"", "region", kind::out_of_range},
        {"\"127.0.0.1\", \"port\": 8080", "\"router.local\", \"port\": 8080", "listen.host",
         kind::not_an_ip_address},
        {"8080", "\"8080\"", "listen.port", kind::wrong_type},
        {"8080", "80.5", "listen.port", kind::wrong_type},
        {"8080", "65536", "listen.port", kind::out_of_range},
        {"8080", "-1", "listen.port", kind::out_of_range},
        {"8080", "18446744073709551615", "listen.port", kind::out_of_range},
        {"8081", "8080", "peer_port", kind::out_of_range},
        {"\"127.0.0.1\", \"port\": 9001", "\"table.local\", \"port\": 9001", "platform.table.host",
         kind::not_an_ip_address},
        {"{\"host\": \"::1\", \"port\": 9004}", "7", "platform.weights", kind::wrong_type},
        {"[\"operator-token-0123456789\"]", "[]", "operator_tokens", kind::out_of_range},
        {"peer-key-two-0123456789", "short-secret", "peer_keys[1]", kind::out_of_range},
        {"\"worker_threads\": 2", "\"worker_threads\": 0", "worker_threads", kind::out_of_range},
        {"\"region\"", "region", "", kind::invalid_json},
    };
    for (const example& one : examples)
    {
        const settings_outcome outcome = parse_settings(changed(one.from, one.to), "router.json");
        INFO(one.from + " -> " + one.to);
        REQUIRE(outcome.faults().size() == 1);
        CHECK(outcome.error() == errc::invalid_settings);
        CHECK(outcome.faults()[0].file == "router.json");
        CHECK(outcome.faults()[0].key == one.key);
        CHECK(outcome.faults()[0].what == one.what);
        CHECK(to_string(outcome.faults()[0]).find("secret") == std::string::npos);
    }
}

// Guards against operators who must start a router once per fault to find them all.
TEST_CASE("all faults are reported together")
{
    const settings_outcome outcome = parse_settings(R"({"id": 1, "extra": true})", "f");
    CHECK(outcome.faults().size() == 10);
    CHECK(parse_settings("[]", "f").faults().size() == 1);
    CHECK(load_settings("no-such-file.json").faults()[0].what ==
          settings_fault_kind::unreadable_file);
    CHECK(load_settings(".").faults()[0].what == settings_fault_kind::unreadable_file);
}

// Guards against crashes on damaged files.
TEST_CASE("a damaged file gives faults or settings")
{
    rc::check(
        [](std::uint16_t at, char byte)
        {
            std::string text = valid;
            text[at % text.size()] = byte;
            const settings_outcome outcome = parse_settings(text, "f");
            RC_ASSERT(outcome.has_value() == outcome.faults().empty());
            RC_ASSERT(!parse_settings(text.substr(0, at % text.size()), "f").has_value());
        });
}
