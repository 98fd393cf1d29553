#include <catch2/catch.hpp>
#include <endivestage/configuration.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>

using namespace endivestage;

namespace
{

using kind = configuration_fault_kind;
using outcome = table_result::outcome;

const std::string base = R"({
  "zones": {"riga-a": {"region": "baltic"}, "riga-b": {"region": "baltic"},
            "yard-a": {"region": "bc"}},
  "pools": {"briefs": {"model": "tassel-7b", "region": "baltic", "engines": {
    "e1": {"host": "127.0.0.1", "port": 9001, "zone": "riga-a"},
    "e2": {"host": "127.0.0.1", "port": 9002, "zone": "riga-b", "capacity": 2.1}}}},
  "services": {"webshop": {"pools": {"shop": {"region": "baltic", "endpoints": {
      "s1": {"host": "127.0.0.1", "port": 9101, "zone": "riga-a"}}}},
    "routes": [{"method": "POST", "prefix": "/orders", "idempotent": false},
               {"method": "GET", "prefix": "/", "idempotent": true}]}},
  "teams": {"buyers": {"weight": 3, "priority_ceiling": 2}, "knotters": {}},
  "priorities": {"urgent": 2, "normal": 1}
})";

fleet_configuration merged(std::vector<configuration_file> files)
{
    const configuration_merge_result outcome = merge_configuration(files);
    REQUIRE(outcome.ok());
    return outcome.configuration;
}

/// Faults of a file merged after the valid base, each as "kind file path".
std::vector<std::string> fault_locations(const std::string& content)
{
    const std::vector<configuration_file> files{{"1-base", base}, {"2-change", content}};
    std::vector<std::string> texts;
    for (const configuration_fault& fault : merge_configuration(files).faults)
    {
        texts.push_back(std::string(to_string(fault.kind)) + " " + fault.file + " " + fault.path);
    }
    return texts;
}

fleet_configuration with_capacity(const std::string& capacity)
{
    return merged(
        {{"a", base},
         {"b", R"({"pools": {"briefs": {"engines": {"e1": {"capacity": )" + capacity + "}}}}}"}});
}

/// Stamp and body of a version.
std::pair<configuration_stamp, std::string> body_of(std::uint64_t version)
{
    fleet_configuration configuration = merged({{"a", base}});
    configuration.version = version;
    const std::string body = to_json(configuration);
    return {{version, configuration_digest(body)}, body};
}

/// A table with one row. Operations may fail, lose their answer or take effect only later.
struct unreliable_table
{
    table_row row;
    std::deque<table_operation> delayed;
    std::vector<configuration_commit_entry> history;

    table_result apply(const table_operation& operation)
    {
        if (operation.what == table_operation::kind::read)
        {
            return {row.version == 0 ? outcome::not_found : outcome::applied, row};
        }
        const std::uint64_t expected =
            operation.what == table_operation::kind::insert ? 0 : operation.expected_version;
        if (row.version != expected)
        {
            return {outcome::conflict, row};
        }
        row = {operation.key, row.version + 1, operation.value};
        history.push_back(configuration_record_from_json(row.value)->entries.front());
        return {outcome::applied, row};
    }

    /// \param fault 0: the call fails; 1: the answer is lost; 2: the answer is lost and the
    ///     operation takes effect only when it is delivered later; other values: no fault.
    table_result call(const table_operation& operation, int fault)
    {
        switch (fault)
        {
        case 0:
            return {outcome::unavailable, {}};
        case 1:
            apply(operation);
            return {outcome::lost, {}};
        case 2:
            delayed.push_back(operation);
            return {outcome::lost, {}};
        default:
            return apply(operation);
        }
    }

    void deliver_delayed()
    {
        if (!delayed.empty())
        {
            apply(delayed.front());
            delayed.pop_front();
        }
    }
};

struct running_commit
{
    std::string name;
    configuration_commit state_machine;
    commit_action action;
};

running_commit start_commit(const std::string& name, const fleet_configuration& configuration)
{
    configuration_commit state_machine({configuration, "op", name, std::nullopt, 6, {500}});
    commit_action first = state_machine.start();
    return {name, std::move(state_machine), std::move(first)};
}

void advance(running_commit& commit, unreliable_table& table, int fault)
{
    if (const call_table* call = std::get_if<call_table>(&commit.action))
    {
        commit.action = commit.state_machine.on_table_result(table.call(call->operation, fault));
    }
    else if (std::holds_alternative<store_body>(commit.action))
    {
        commit.action = commit.state_machine.on_body_stored(fault != 0);
    }
}

} // namespace

// Guards against a report that stops at the first fault or states the wrong location.
TEST_CASE("every fault is reported with its file, key and kind")
{
    using texts = std::vector<std::string>;
    CHECK(fault_locations("{") == texts{"syntax 2-change "});
    CHECK(fault_locations("[]") == texts{"wrong_type 2-change "});
    CHECK(fault_locations(R"({"teams": {"t": {}, "t": {}}})") ==
          texts{"duplicate_key 2-change teams.t"});
    CHECK(fault_locations(
              R"({"pools": {"briefs": {"load_bound": 0.5, "modle": "x", "candidates": "3"}}})") ==
          texts{"wrong_type 2-change pools.briefs.candidates",
                "out_of_range 2-change pools.briefs.load_bound",
                "unknown_key 2-change pools.briefs.modle"});
    CHECK(fault_locations(R"({"pools": {"p": {"region": "nowhere"}, "briefs": {"engines": {
              "e1": {"zone": "yard-a", "host": "engine.example"},
              "e3": {"host": "127.0.0.1", "port": 9001, "zone": "riga-c"}}}}})") ==
          texts{"out_of_range 2-change pools.briefs.engines.e1.host",
                "out_of_range 2-change pools.briefs.engines.e1.zone",
                "duplicate_address 2-change pools.briefs.engines.e3",
                "dangling_reference 2-change pools.briefs.engines.e3.zone",
                "missing_key 2-change pools.p.model",
                "dangling_reference 2-change pools.p.region"});
    CHECK(fault_locations(R"({"zones": {"riga-b": null, "riga-x": null}})") ==
          texts{"dangling_reference 1-base pools.briefs.engines.e2.zone",
                "dangling_reference 2-change zones.riga-x"});
    const std::vector<configuration_file> again{{"1", base},
                                                {"2", R"({"zones": {"yard-a": null}})"},
                                                {"3", R"({"zones": {"yard-a": {}}})"}};
    CHECK(merge_configuration(again).faults.at(0).file == "3");
    CHECK(fault_locations(R"({"services": {"shop2": {"pools": {"briefs": {"region": "baltic",
              "endpoints": {"e1": {"host": "::1", "port": 1, "zone": "riga-a"}}}},
              "routes": [{"method": "GET", "prefix": "/"}, {"method": null, "prefix": "x"},
                         {"method": "GET", "prefix": "/a", "idempotent": true},
                         {"method": "GET", "prefix": "/a", "idempotent": false}]}}})") ==
          texts{"duplicate_id 2-change services.shop2.pools.briefs",
                "duplicate_id 2-change services.shop2.pools.briefs.endpoints.e1",
                "missing_key 2-change services.shop2.routes.0.idempotent",
                "wrong_type 2-change services.shop2.routes.1.method",
                "out_of_range 2-change services.shop2.routes.1.prefix",
                "duplicate_route 2-change services.shop2.routes.3"});
}

// Guards against a merge that depends on the order of its arguments or keeps removed entries.
TEST_CASE("files later in name order override entries and null removes them")
{
    const configuration_file change{
        "2",
        R"({"teams": {"buyers": {"weight": 5}, "knotters": null}, "limits": {"retry_ratio": 0.05}})"};
    const fleet_configuration read = merged({change, {"1", base}});
    REQUIRE(read.teams.size() == 1);
    CHECK(read.find(team_id("buyers"))->weight == 5.0);
    CHECK(read.find(team_id("buyers"))->priority_ceiling == 2);
    CHECK(read.find(pool_id("briefs"))->engines[1].region == region_id("baltic"));
    CHECK_FALSE(read.services[0].find_route("POST", "/orders/7")->idempotent);
    using change_list = std::vector<configuration_change>;
    CHECK(diff_configurations(merged({{"1", base}}), read) ==
          change_list{
              {configuration_subject::team, configuration_change_kind::changed, "", "buyers"},
              {configuration_subject::team, configuration_change_kind::removed, "", "knotters"},
              {configuration_subject::limits, configuration_change_kind::changed, "", ""}});
    CHECK(diff_configurations(with_capacity("1"), with_capacity("1.5")) ==
          change_list{{configuration_subject::pool_engine, configuration_change_kind::changed,
                       "briefs", "e1"}});
}

// Guards against digests that differ between routers with the same configuration.
TEST_CASE("serialization is canonical")
{
    // Boost.JSON parses this number with an error of one unit in the last place.
    const fleet_configuration inexact = with_capacity("9.9311449797138182407");
    CHECK(from_json(to_json(inexact)).value() == inexact);
    rc::prop("text and value survive a round trip",
             []
             {
                 const std::uint64_t decimals = *rc::gen::arbitrary<std::uint64_t>();
                 fleet_configuration before = with_capacity(
                     std::to_string(*rc::gen::inRange(1, 999)) + "." + std::to_string(decimals));
                 before.version = *rc::gen::arbitrary<std::uint32_t>();
                 const result<fleet_configuration> after = from_json(to_json(before));
                 RC_ASSERT(after.has_value());
                 RC_ASSERT(*after == before);
                 RC_ASSERT(to_json(*after) == to_json(before));
             });
}

// Guards against two commits of one version, a reported conflict that was committed, and versions
// that decrease.
TEST_CASE("outcomes of concurrent commits with lost and delayed writes agree with the row")
{
    const fleet_configuration configuration = merged({{"a", base}});
    rc::prop("outcomes match the history of the row",
             [&]
             {
                 unreliable_table table;
                 std::vector<running_commit> commits;
                 commits.reserve(4);
                 for (int n = 0; n < 4; ++n)
                 {
                     commits.push_back(start_commit("run-" + std::to_string(n), configuration));
                 }
                 for (int n = 0; n < 80; ++n)
                 {
                     const std::size_t index =
                         *rc::gen::inRange<std::size_t>(0, commits.size() + 1);
                     index == commits.size()
                         ? table.deliver_delayed()
                         : advance(commits[index], table, *rc::gen::inRange(0, 7));
                 }
                 while (!table.delayed.empty())
                 {
                     table.deliver_delayed();
                 }
                 std::map<std::string, int> committed;
                 for (std::size_t n = 0; n < table.history.size(); ++n)
                 {
                     RC_ASSERT(table.history[n].stamp.version == n + 1);
                     ++committed[table.history[n].apply_id];
                 }
                 for (const running_commit& commit : commits)
                 {
                     const commit_finished* finished = std::get_if<commit_finished>(&commit.action);
                     RC_ASSERT(committed[commit.name] <= 1);
                     if (finished == nullptr || finished->code == errc::outcome_unknown)
                     {
                         continue;
                     }
                     RC_ASSERT(committed[commit.name] == (finished->code == errc::ok ? 1 : 0));
                     RC_ASSERT((finished->code != errc::conflict ||
                                finished->conflicting_commit ==
                                    table.history[finished->stamp.version - 1]));
                 }
             });
}

// Guards against a router that returns to an older version after a delayed or repeated message.
TEST_CASE("the version of a replica never decreases")
{
    std::vector<std::pair<configuration_stamp, std::string>> versions;
    for (std::uint64_t version = 0; version < 6; ++version)
    {
        versions.push_back(body_of(version));
    }
    rc::prop("the active version never decreases",
             [&]
             {
                 configuration_replica replica;
                 replica.start({router_id("r1")}, {0});
                 std::uint64_t before = 0;
                 for (int n = 1; n < 40; ++n)
                 {
                     const std::size_t version = *rc::gen::inRange<std::size_t>(0, 6);
                     const auto& [stamp, body] = versions[version];
                     const configuration_source source = *rc::gen::arbitrary<bool>()
                                                             ? configuration_source{router_id("r1")}
                                                             : configuration_source{};
                     *rc::gen::arbitrary<bool>() ? replica.on_stamp(source, stamp, {n})
                                                 : replica.on_body(source, stamp, body, {n});
                     RC_ASSERT(replica.active_stamp().version >= before);
                     RC_ASSERT(replica.active_stamp().version <= replica.highest_stamp().version);
                     before = replica.active_stamp().version;
                 }
             });
}

// Guards against a starting router that serves an outdated configuration because it activated the
// first one received instead of the highest.
TEST_CASE("a starting replica waits for the highest version of store and peers")
{
    const auto& [old_stamp, old_body] = body_of(3);
    const auto& [new_stamp, new_body] = body_of(4);
    const configuration_source store;
    const configuration_source peer{router_id("r1")};
    configuration_replica replica;
    REQUIRE(replica.start({router_id("r1")}, {0}).size() == 2);
    replica.on_stamp(store, old_stamp, {1});
    CHECK(replica.on_body(store, old_stamp, old_body, {2}).empty());
    CHECK(replica.state() == replica_state::asking);

    SECTION("a peer has a higher version than the store")
    {
        CHECK(replica.on_stamp(peer, new_stamp, {3}).size() == 1);
        CHECK(replica.state() == replica_state::fetching);
        std::string damaged = new_body;
        damaged[damaged.find("tassel-7b")] = 'T';
        CHECK(replica.on_body(peer, new_stamp, damaged, {4}).empty());
        REQUIRE(replica.tick({600}).size() == 1);
        CHECK(std::holds_alternative<activate_configuration>(
            replica.on_body(store, new_stamp, new_body, {601}).front()));
        CHECK(replica.active_stamp() == new_stamp);
    }
    SECTION("the peer does not answer")
    {
        CHECK(replica.tick({600}).empty());
        CHECK(replica.tick({2'000}).empty() == false);
    }
    SECTION("neither the store nor the peer is reachable")
    {
        configuration_replica alone;
        alone.start({router_id("r1")}, {0});
        alone.on_unreachable(store, {1});
        alone.on_unreachable(peer, {1});
        CHECK(alone.state() == replica_state::unreachable);
        CHECK(configuration_replica(alone).tick({500}).size() == 2);
        CHECK(alone.on_stamp({router_id("r2")}, new_stamp, {2}).size() == 1);
        alone.on_body({router_id("r2")}, new_stamp, new_body, {3});
        CHECK(alone.state() == replica_state::ready);
    }
}
