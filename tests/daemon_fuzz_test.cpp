#include <catch2/catch.hpp>
#include <endivestage/configuration.hpp>
#include <endivestage/daemon/event_stream.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/settings.hpp>
#include <endivestage/daemon/wire.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/ownership.hpp>
#include <endivestage/zone.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>

using namespace endivestage;
using namespace endivestage::daemon;
namespace json = boost::json;

namespace
{

std::string mutated(std::string text, random_source& random)
{
    for (std::uint64_t n = random.below(4) + 1; n > 0; --n)
    {
        const std::size_t at = random.below(text.size() + 1);
        switch (random.below(4))
        {
        case 0:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 1:
            text.erase(at, random.below(8));
            break;
        case 2:
            text.insert(at, text.substr(random.below(text.size() + 1), random.below(16)));
            break;
        default:
            if (at < text.size())
            {
                // A digit or bracket keeps more of the structure than any byte.
                text[at] = "0123456789-.e[]{}\":,tn"[random.below(22)];
            }
            break;
        }
    }
    return text;
}

/// Feeds random bytes and mutations of a valid text; \p parse returns the parser's error.
void feed(const char* name, const std::string& valid,
          const std::function<std::error_code(const std::string&)>& parse)
{
    const char* given = std::getenv("ENDIVESTAGE_RUNS"); // NOLINT(concurrency-mt-unsafe)
    const std::uint64_t runs = given == nullptr ? 20000 : std::stoull(given);
    seeded_random random(20261204);
    std::uint64_t accepted = 0;
    INFO(name);
    REQUIRE_FALSE(parse(valid));
    for (std::uint64_t n = 0; n < runs; ++n)
    {
        std::string text = valid;
        if (n % 4 == 0)
        {
            text.resize(random.below(64));
            for (char& c : text)
            {
                c = static_cast<char>(random.next());
            }
        }
        const std::string input = mutated(text, random);
        std::error_code ec;
        REQUIRE_NOTHROW(ec = parse(input));
        if (ec && ec.category() != endivestage_category())
        {
            FAIL(name << ": untyped error " << ec.message() << " of "
                      << json::serialize(json::value(input)));
        }
        accepted += ec ? 0 : 1;
    }
    std::cout << "fuzz: " << name << ": " << runs << " inputs, " << accepted << " accepted\n";
}

template <class T>
std::error_code error_of(const result<T>& parsed)
{
    return parsed ? std::error_code() : parsed.error();
}

/// Feeds a decode function of wire.hpp through parse_json_object, as the daemon does.
void feed_object(const char* name, const json::object& valid,
                 const std::function<std::error_code(const json::object&)>& decode)
{
    feed(name, json::serialize(valid),
         [&](const std::string& text)
         {
             const result<json::object> object = parse_json_object(text);
             return object ? decode(*object) : object.error();
         });
}

std::error_code unless(bool valid)
{
    return valid ? std::error_code() : make_error_code(errc::invalid_request);
}

const member first{router_id("r1"), zone_id("z"), "127.0.0.1", 1, 2, 3, false};
const member second{router_id("r2"), zone_id("y"), "127.0.0.1", 4, 5, 6, true};

} // namespace

// Guards against bytes from a peer that throw in, or crash, a router.
TEST_CASE("messages between routers are decoded or refused with a typed error")
{
    const view_pointer region = std::make_shared<view>(
        view{7, view_state::preparing, region_id("r"), {first, second}, {first}});
    const auto view_error = [](const json::object& object)
    {
        return error_of(decode_view_message(object));
    };
    feed_object("confirm_request", encode(confirm_request{{router_id("r1"), 3}, 4, 7, {}}),
                view_error);
    feed_object("confirm_answer",
                encode(confirm_answer{{router_id("r1"), 3}, 1, 4, 7, false, region}), view_error);
    feed_object("view_announce", encode(view_announce{{router_id("r1"), 3}, region, {}}),
                view_error);
    feed_object("view_acknowledgement", encode(view_acknowledgement{{router_id("r1"), 3}, 7}),
                view_error);
    permit_request request;
    request.holder = router_id("r1");
    request.request = request_id("q");
    request.team = team_id("t");
    request.chat = chat_id("c");
    feed_object("acquire", encode(acquire_message{endpoint_id("e"), request, {100}}),
                [](const json::object& object) { return error_of(decode_acquire(object)); });
    feed_object("granted", encode(granted_permit{{{1, 2}}, {router_id("r1"), 3}}),
                [](const json::object& object) { return error_of(decode_granted(object)); });
    feed_object("outcome", encode(permit_outcome{permit_outcome::kind::failed, millis{5}, 9}),
                [](const json::object& object)
                { return decode_outcome(object), std::error_code(); });
    held_report held{{router_id("r1"), 3}, 7, {}, engine_handover{}};
    held.permits.push_back(
        {{{1, 2}, router_id("r1"), request_id("q"), chat_id("c")}, {router_id("r2"), 4}});
    held.handover->account.outstanding.push_back(
        {make_stamp(endpoint_id("e"), {1, 2}, {router_id("r2"), 4}), {router_id("r1"), 3}});
    held.handover->cache.push_back({5, 600});
    feed_object("held", encode(held),
                [](const json::object& object)
                { return decode_held_report(endpoint_id("e"), object), std::error_code(); });
    feed_object("loads", {{"loads", encode(std::vector<engine_load>{{endpoint_id("e"), 3, 1.5}})}},
                [](const json::object& object)
                { return decode_loads(get_array(object, "loads")), std::error_code(); });
    feed("view", encode_view(*region),
         [](const std::string& text) { return error_of(decode_view(text)); });
    packet probe{packet::kind::ack, 7, first, router_id("r2"), {}, {}};
    probe.updates.push_back({second, member_state::suspect});
    probe.announcements.push_back({"configuration", "d", 3});
    feed("packet", encode_packet(probe),
         [](const std::string& text) { return error_of(decode_packet(text)); });
    feed("zone register", to_json(zone_register{zone_id("z"), 3, zone_state::out_of_service, "op"}),
         [](const std::string& text) { return error_of(zone_register_from_json(text)); });
}

// Guards against bytes from a caller, an engine or an operator that throw in, or crash, a router.
TEST_CASE("targets, addresses, events, settings and configurations are read or refused")
{
    feed("target", "/v1/chat%20x/y?zone=riga-a&n=%C3%A9",
         [](const std::string& text)
         {
             http_target parsed;
             return unless(parse_target(text, parsed));
         });
    feed("network address", "[::1]:8080",
         [](const std::string& text)
         {
             network_address parsed;
             return unless(parse_network_address(text, parsed));
         });
    feed("event stream", "event: token\ndata: {\"a\":1}\r\n\r\ndata: x\ndata: y\n\n: note\n\n",
         [](const std::string& text)
         {
             // The events must not depend on how the bytes were split on their way.
             event_stream_reader whole;
             event_stream_reader split;
             std::vector<std::string> parts =
                 split.add(std::string_view(text).substr(0, text.size() / 2));
             for (std::string& it : split.add(std::string_view(text).substr(text.size() / 2)))
             {
                 parts.push_back(std::move(it));
             }
             return unless(whole.add(text) == parts);
         });
    const std::string settings =
        R"({"id": "r1", "region": "baltic", "zone": "z", "listen": {"host": "127.0.0.1", "port": 1},
            "peer_port": 2, "udp_port": 3, "platform": {"table": {"host": "127.0.0.1", "port": 4},
            "objects": {"host": "127.0.0.1", "port": 5}, "hosts": {"host": "127.0.0.1", "port": 6},
            "weights": {"host": "127.0.0.1", "port": 7}},
            "operator_tokens": ["0123456789abcdef0123456789abcdef"],
            "peer_keys": ["0123456789abcdef0123456789abcdef"]})";
    feed("settings", settings,
         [](const std::string& text) { return parse_settings(text, "f").error(); });
    const std::string fleet =
        R"({"zones": {"z": {"region": "r"}}, "pools": {"p": {"model": "m", "region": "r", "engines": {
            "e": {"host": "127.0.0.1", "port": 9001, "zone": "z", "capacity": 2.1}}}},
            "teams": {"t": {"weight": 3}}, "priorities": {"urgent": 2}})";
    feed("configuration", fleet,
         [](const std::string& text)
         {
             const std::vector<configuration_file> files{{"a", text}};
             return unless(merge_configuration(files).ok());
         });
}
