#include "matrix/fleet.hpp"
#include "matrix/region.hpp"

#include <catch2/catch.hpp>
#include <endivestage/address.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace matrix;

namespace
{

std::uint64_t get_setting(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): tests have one thread.
    return text == nullptr ? default_value : std::stoull(text);
}

/// One run of a cell. Returns a description of the failure, which is empty when the cell held.
using scenario = std::function<std::string(const std::vector<fault>& faults, std::uint64_t seed)>;

/// Why a cell has no run of its own: another test covers it, or it cannot occur.
struct remark
{
    const char* covered_by = nullptr; ///< "file: test case", or a run over processes.
    const char* impossible = nullptr; ///< Reason why the cell cannot occur.
};

struct matrix_row
{
    const char* property;
    const char* step;
    std::uint64_t runs_per_100; ///< Runs of a cell for every 100 requested runs.
    scenario run;               ///< Empty when every cell has a remark.
    std::map<fault, remark> remarks;
    remark default_remark{}; ///< For cells without a remark of their own and without a scenario.
};

constexpr std::array<fault, 12> all_faults{
    fault::kill,          fault::freeze,         fault::cut,        fault::silent_connection,
    fault::lost_answer,   fault::delay,          fault::store_down, fault::store_answer_lost,
    fault::operator_race, fault::lapse_of_lease, fault::flap,       fault::cold_again};

// Retries of one pool while a share of its requests fails; the budget must bound them in any case.
std::string run_retries(const std::vector<fault>& faults, std::uint64_t seed)
{
    seeded_random random(seed);
    const retry_budget_config config;
    retry_budget budget(config);
    double first = 0;
    double retries = 0;
    const std::uint64_t failing = 50 + 25 * faults.size();
    for (int n = 0; n < 2000; ++n)
    {
        if (random.below(3) == 0)
        {
            budget.record_first_attempt();
            ++first;
        }
        retries += random.below(100) < failing && budget.try_acquire() ? 1 : 0;
        const millis pause =
            retry_backoff({}, 1 + static_cast<std::uint32_t>(random.below(9)), random);
        if (retries > config.refill_per_attempt * first + config.capacity || pause < millis{25} ||
            pause > millis{2000})
        {
            return "retries beyond the budget or the backoff";
        }
    }
    return {};
}

// A planned stop with requests and permits that end at random times.
std::string run_stop(const std::vector<fault>& faults, std::uint64_t seed)
{
    seeded_random random(seed);
    fault_plan plan(faults, random);
    planned_stop stop;
    stop_progress progress{5, 5, true};
    stop.begin({0});
    for (std::int64_t now = 100; now < 60000 && stop.step() != stop_step::exited; now += 100)
    {
        plan.advance(now);
        const bool stuck =
            plan.is_active(fault::freeze, now) || plan.is_active(fault::lapse_of_lease, now);
        const bool store =
            !plan.is_active(fault::store_down, now) && !plan.is_active(fault::cut, now);
        if (stop.accepts_connections() && random.below(4) == 0 && now < 8000)
        {
            ++progress.open_requests;
            ++progress.permits;
        }
        progress.open_requests -= progress.open_requests > 0 && random.below(3) == 0 ? 1 : 0;
        progress.permits -=
            progress.permits > progress.open_requests && random.below(3) == 0 ? 1 : 0;
        progress.in_view = progress.in_view && !(store && now > 3000 && random.below(10) == 0);
        for (const stop_action it : stuck ? std::vector<stop_action>{} : stop.tick(progress, {now}))
        {
            if (it == stop_action::exit && (progress.open_requests > 0 || progress.permits > 0))
            {
                return "exit with open requests or permits";
            }
            if (it == stop_action::refuse_connections && now < 5000)
            {
                return "connections refused while old address answers are in use";
            }
        }
    }
    return stop.step() == stop_step::exited ? "" : "the stop did not end within 60 s";
}

constexpr remark no_endpoint_state{
    nullptr, "the path reads no state of an endpoint, so a cold start has no effect on it"};
constexpr remark no_lease{nullptr, "the path uses no lease and no confirmation"};
constexpr remark no_store{nullptr, "the path neither reads nor writes the store"};
constexpr remark ledger_test{
    "ledger_test.cpp: interleaved attempts of one key keep the rules of the ledger"};
constexpr remark stream_test{
    "stream_test.cpp: a caller gets the exact answer or an explicit error"};
constexpr remark lease_test{
    "endpoint_test.cpp: at most one router holds a lease and fencing tokens increase"};
constexpr remark kill_test{
    "membership_test.cpp: all routers detect a killed router and declare no other router dead"};
constexpr remark heal_test{
    "membership_test.cpp: both sides of a healed partition find each other again"};

std::vector<matrix_row> rows()
{
    const auto region = [](bool cold)
    {
        return [cold](const std::vector<fault>& faults, std::uint64_t seed)
        {
            return region_run(cold, faults, seed).run();
        };
    };
    const auto service = [](bool leaving)
    {
        return [leaving](const std::vector<fault>& faults, std::uint64_t seed)
        {
            return service_run(leaving, faults, seed).run();
        };
    };
    const remark settle{
        "ledger_test.cpp: without the store only a first submission is refused with "
        "not_run"};
    return {
        {"load_bound", "owner_change", 100, region(false), {}},
        {"cold_start", "owner_change", 100, region(true), {}},
        {"zone_out",
         "spread_and_refuse",
         100,
         service(false),
         {{fault::store_down,
           {"zone_test.cpp: a change is in force while the store is down and "
            "is stored afterwards"}},
          {fault::store_answer_lost,
           {"zone_test.cpp: concurrent changes by two operators converge on one "
            "stored register"}}}},
        {"leaving_endpoint",
         "spread_and_refuse",
         100,
         service(true),
         {{fault::store_down, no_store}, {fault::store_answer_lost, no_store}}},
        {"whole_answers",
         "assemble",
         0,
         {},
         {{fault::store_down, no_store},
          {fault::store_answer_lost, no_store},
          {fault::operator_race,
           {nullptr, "the assembly of an answer depends on no change by an operator"}},
          {fault::lapse_of_lease, no_lease},
          {fault::cold_again, no_endpoint_state},
          {fault::silent_connection,
           {"stream_test.cpp: only a failed ping together with a failed resume "
            "suspects the endpoint"}}},
         stream_test},
        {"not_run_true",
         "settle",
         0,
         {},
         {{fault::store_down, settle},
          {fault::cold_again, no_endpoint_state},
          {fault::lapse_of_lease,
           {nullptr, "the deadline of a row is not a lease; freeze covers its expiry"}},
          {fault::flap,
           {nullptr, "an attempt sends to one endpoint once, whatever its state becomes"}},
          {fault::operator_race,
           {"ledger_test.cpp: an unknown row is settled only by an operator, and only "
            "after its deadline"}}},
         ledger_test},
        {"at_most_once",
         "send",
         0,
         {},
         {{fault::store_down,
           {"ledger_test.cpp: the caller gets the result while the store is "
            "down"}},
          {fault::cold_again, no_endpoint_state},
          {fault::lapse_of_lease,
           {nullptr, "the deadline of a row is not a lease; freeze covers its expiry"}},
          {fault::flap,
           {nullptr, "an attempt sends to one endpoint once, whatever its state becomes"}},
          {fault::operator_race,
           {"ledger_test.cpp: an unknown row is settled only by an operator, and only "
            "after its deadline"}}},
         ledger_test},
        {"planned_stop",
         "drain",
         100,
         run_stop,
         {{fault::kill, {nullptr, "a killed router is not a planned stop"}},
          {fault::operator_race, {nullptr, "begin is idempotent, and a stop cannot be cancelled"}},
          {fault::flap, {nullptr, "a stopping router does not rejoin in the same run"}},
          {fault::cold_again, no_endpoint_state},
          {fault::silent_connection,
           {"scripts/faults-processes: planned stop with a silent connection"}}}},
        {"configuration",
         "spread_400",
         4,
         [](const std::vector<fault>& faults, std::uint64_t seed)
         { return configuration_run(400, faults, seed).run(); },
         {{fault::cold_again, no_endpoint_state}, {fault::lapse_of_lease, no_lease}}},
        {"retries_bounded", "outage", 20, run_retries, {}},
        {"orders_fenced",
         "lead",
         0,
         {},
         {{fault::operator_race,
           {"endpoint_test.cpp: an order of an old controller is refused or corrected"}},
          {fault::cold_again,
           {"endpoint_test.cpp: an order of an old controller is refused or corrected"}},
          {fault::flap,
           {"endpoint_test.cpp: suspicion needs a failed probe and a failed connection, "
            "and flapping is damped"}},
          {fault::cut, {"scripts/faults-processes: controller cut from the store"}},
          {fault::silent_connection,
           {"scripts/faults-processes: controller with a silent connection"}}},
         lease_test},
        {"failure_detection",
         "probe",
         0,
         {},
         {{fault::freeze,
           {"membership_test.cpp: a paused router suspects no peer after it resumes"}},
          {fault::cut, heal_test},
          {fault::silent_connection,
           {"membership_test.cpp: a suspect that is reachable again refutes the "
            "suspicion"}},
          {fault::lost_answer,
           {"membership_test.cpp: a suspect that is reachable again refutes the "
            "suspicion"}},
          {fault::delay,
           {"membership_test.cpp: a suspect that is reachable again refutes the "
            "suspicion"}},
          {fault::store_down, no_store},
          {fault::store_answer_lost, no_store},
          {fault::operator_race,
           {"membership_test.cpp: a leaving mark in the host list overrides the gossip of "
            "the router"}},
          {fault::lapse_of_lease, no_lease},
          {fault::flap,
           {"membership_test.cpp: a router that fails repeatedly is held down, unless "
            "it is in the view"}},
          {fault::cold_again, no_endpoint_state}},
         kill_test},
    };
}

std::string read_file(const std::string& path)
{
    std::ifstream file(std::string(MATRIX_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Checks that the test case or the run over processes that covers a cell exists.
/// \returns "covered", "unproven" (a missing run over processes) or "missing" (a missing test
/// case).
std::string check_reference(const std::string& reference)
{
    const std::size_t colon = reference.find(": ");
    const std::string name = reference.substr(colon + 2);
    if (reference.starts_with("scripts/"))
    {
        return read_file(reference.substr(0, colon)).find(name) == std::string::npos ? "unproven"
                                                                                     : "covered";
    }
    const bool found =
        read_file("tests/" + reference.substr(0, colon)).find("TEST_CASE(\"" + name + "\"") !=
        std::string::npos;
    return found ? "covered" : "missing";
}

} // namespace

// Guards against an invariant that does not hold under one fault or under two faults at a time.
TEST_CASE("every cell of the fault matrix holds, is covered elsewhere, or cannot occur")
{
    const std::uint64_t runs = get_setting("ENDIVESTAGE_RUNS", 100);
    const std::uint64_t first = get_setting("ENDIVESTAGE_SEED", 20261204);
    const std::string known_red = read_file("KNOWN-RED.txt");
    std::map<std::string, int> tally;
    std::uint64_t interleavings = 0;
    for (const matrix_row& row : rows())
    {
        for (std::size_t f = 0; f < all_faults.size(); ++f)
        {
            const std::string cell =
                std::string(row.property) + " " + row.step + " " + fault_names.at(f);
            const auto found = row.remarks.find(all_faults.at(f));
            const remark note = found != row.remarks.end() ? found->second
                                : row.run                  ? remark{}
                                                           : row.default_remark;
            std::string kind = "held";
            std::string detail;
            std::uint64_t seed = first;
            if (note.impossible != nullptr)
            {
                kind = "cannot_occur";
                detail = note.impossible;
            }
            else if (note.covered_by != nullptr)
            {
                kind = check_reference(note.covered_by);
                detail = note.covered_by;
            }
            else
            {
                const std::uint64_t count =
                    std::max<std::uint64_t>(1, runs * row.runs_per_100 / 100);
                for (std::uint64_t n = 0; n < count && detail.empty(); ++n)
                {
                    // Every second run adds a second fault, which cycles through all faults.
                    std::vector<fault> faults{all_faults.at(f)};
                    if (n % 2 == 1)
                    {
                        faults.push_back(all_faults.at((f + n / 2 + first) % all_faults.size()));
                    }
                    seed = first + n;
                    detail = row.run(faults, seed);
                    ++interleavings;
                }
                if (!detail.empty())
                {
                    kind = known_red.find(cell) == std::string::npos ? "failed" : "known_red";
                }
            }
            ++tally[kind];
            std::cout << "matrix: " << cell << ' ' << seed << ' ' << kind
                      << (detail.empty() ? "" : ": ") << detail << '\n';
        }
    }
    std::cout << "matrix tally:";
    for (const auto& [kind, count] : tally)
    {
        std::cout << ' ' << kind << '=' << count;
    }
    std::cout << " interleavings=" << interleavings << '\n';
    CHECK(tally["failed"] == 0);
    CHECK(tally["missing"] == 0);
}

// Guards against checks that cannot fail: each must fail when its mechanism is disabled.
TEST_CASE("the checks of the fault matrix fail when the mechanism is disabled")
{
    int unbound = 0;
    int cold = 0;
    int late = 0;
    int waiting = 0;
    for (std::uint64_t seed = 0; seed < 5; ++seed)
    {
        const std::vector<fault> faults{fault::flap};
        unbound += region_run(false, faults, seed, false).run().empty() ? 0 : 1;
        cold += region_run(true, faults, seed, false).run().empty() ? 0 : 1;
        late += configuration_run(400, faults, seed, false).run().empty() ? 0 : 1;
        waiting += service_run(seed % 2 == 0, faults, seed, false).run().empty() ? 0 : 1;
    }
    std::cout << "matrix without mechanism, of 5 runs: load_bound=" << unbound
              << " cold_start=" << cold << " configuration=" << late << " zone_leaving=" << waiting
              << '\n';
    CHECK(unbound > 0);
    CHECK(cold > 0);
    CHECK(late > 0);
    CHECK(waiting == 5);
}
