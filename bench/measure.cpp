// Measures placement and admission in a simulated fleet. Prints one JSON object per line.
#include "simulation/fleet.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace simulation;

namespace
{

// Simulated time before statistics are recorded.
constexpr micros warm_up = 200 * one_s;

struct scenario
{
    std::string name;
    fleet_config config;
    double control_target = 4096; // Placement traffic in bytes/s per router.
    double instants_target = 0;   // Share of samples with an engine above the bound.
};

// Statistics before and during the disturbance of a run.
struct run_result
{
    window_statistics quiet;
    window_statistics disturbed;
};

std::vector<scenario> make_scenarios(const fleet_config& base)
{
    fleet_config twelve = base;
    twelve.engines = 12;
    twelve.routers = 9;
    fleet_config target = base;
    target.engines = 60;
    target.routers = 40;
    target.zones = 7;
    target.target_load = 30;
    return {{"today", base, 4096, 0.02},
            {"twelve", twelve, 4096, 0.02},
            {"target", target, 15 * 1024, 0.001}};
}

// Number of chats, running and pausing, that gives the target load.
std::size_t chat_count(const fleet_config& config)
{
    const double per_request = 1 + workload::mean_pause_ms / workload::mean_service_ms;
    return static_cast<std::size_t>(static_cast<double>(config.engines) * config.target_load *
                                    per_request);
}

// At 400 s a zone goes out of service and its routers are replaced. At 500 s its engines return to
// service, cold.
run_result run_zone(const fleet_config& config, std::uint64_t seed)
{
    run_result result;
    fleet model(config, seed);
    model.add_chats(chat_count(config), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.set_statistics(result.quiet);
    model.loop().run_until(2 * warm_up);
    model.set_statistics(result.disturbed);
    model.remove_zone(0);
    model.loop().run_until(500 * one_s);
    model.restore_zone(0);
    model.loop().run_until(620 * one_s);
    return result;
}

// An engine restarts every 40 s and a router is replaced every 50 s.
run_result run_churn(const fleet_config& config, std::uint64_t seed)
{
    run_result result;
    fleet model(config, seed);
    model.add_chats(chat_count(config), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.set_statistics(result.disturbed);
    for (std::size_t n = 1; n <= 40; ++n)
    {
        model.loop().run_until(warm_up + static_cast<micros>(n) * 10 * one_s);
        if (n % 4 == 0)
        {
            model.restart_engine((n * 7) % config.engines, 15 * one_s);
        }
        if (n % 5 == 0)
        {
            model.replace_router((n * 3) % config.routers);
        }
    }
    return result;
}

// For 60 s the large teams send twice the usual load of the pool in addition to it.
run_result run_surge(const fleet_config& config, std::uint64_t seed)
{
    fleet_config limited = config;
    limited.max_requests = static_cast<std::uint32_t>(config.target_load * 1.6);
    run_result result;
    fleet model(limited, seed);
    model.add_chats(chat_count(config), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.set_statistics(result.quiet);
    model.loop().run_until(300 * one_s);
    model.set_statistics(result.disturbed);
    const double arrivals = 2 * config.target_load * static_cast<double>(config.engines) * 60000 /
                            workload::mean_service_ms;
    model.add_chats(static_cast<std::size_t>(arrivals), true, 1, 60 * one_s);
    model.loop().run_until(380 * one_s);
    return result;
}

struct named_policy
{
    const char* name;
    routing_policy policy;
};

constexpr std::array<named_policy, 4> baselines{{{"oracle", routing_policy::oracle},
                                                 {"round_robin", routing_policy::round_robin},
                                                 {"rendezvous", routing_policy::rendezvous},
                                                 {"local_bounds", routing_policy::local_bounds}}};

// Results of one run under the library's policy and under each baseline policy.
struct policy_results
{
    run_result library;
    std::vector<run_result> baseline_results;
};

policy_results
run_all_policies(const std::function<run_result(const fleet_config&, std::uint64_t)>& run,
                 const scenario& setup, std::uint64_t seed)
{
    policy_results result{run(setup.config, seed), {}};
    for (const named_policy& it : baselines)
    {
        fleet_config config = setup.config;
        config.policy = it.policy;
        result.baseline_results.push_back(run(config, seed));
    }
    return result;
}

class printer
{
public:
    printer(std::string scenario_name, std::uint64_t seed)
        : scenario_(std::move(scenario_name)),
          seed_(seed)
    {
    }

    using value_function = std::function<double(run_result&)>;

    void print_line(const std::string& measure, const char* unit, std::optional<double> target,
                    policy_results& runs, const value_function& value) const
    {
        std::string baseline_values;
        for (std::size_t n = 0; n < runs.baseline_results.size(); ++n)
        {
            baseline_values += (n > 0 ? "," : "") + quote(baselines[n].name) + ":" +
                               format_number(value(runs.baseline_results[n]));
        }
        print_line(measure, unit, target, value(runs.library), baseline_values);
    }

    void print_line(const std::string& measure, const char* unit, std::optional<double> target,
                    double value, const std::string& baseline_values) const
    {
        std::array<char, 1024> text{};
        std::snprintf(text.data(), text.size(),
                      "{\"measure\":\"%s\",\"scenario\":\"%s\",\"seed\":%llu,\"value\":%s,"
                      "\"unit\":\"%s\",\"target\":%s,\"baseline\":{%s}}",
                      measure.c_str(), scenario_.c_str(), static_cast<unsigned long long>(seed_),
                      format_number(value).c_str(), unit,
                      target ? format_number(*target).c_str() : "null", baseline_values.c_str());
        std::puts(text.data());
        std::fflush(stdout);
    }

    static std::string format_number(double value)
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.5g", value);
        return text.data();
    }

    static std::string quote(const std::string& text) { return "\"" + text + "\""; }

private:
    std::string scenario_;
    std::uint64_t seed_;
};

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0.0;
}

void print_reuse(const printer& out, policy_results& runs, const std::string& phase,
                 window_statistics run_result::*window)
{
    const auto requests = [&](run_result& it)
    {
        return ratio((it.*window).resumed_cached, (it.*window).resumed);
    };
    const auto tokens = [&](run_result& it)
    {
        return ratio((it.*window).cached_tokens, (it.*window).history_tokens);
    };
    const double oracle_requests = requests(runs.baseline_results[0]);
    const double oracle_tokens = tokens(runs.baseline_results[0]);
    out.print_line("reuse_requests." + phase, "share of oracle", 0.97, runs,
                   [&](run_result& it) { return ratio(requests(it), oracle_requests); });
    out.print_line("reuse_tokens." + phase, "share of oracle", 0.97, runs,
                   [&](run_result& it) { return ratio(tokens(it), oracle_tokens); });
    out.print_line("reuse_local." + phase, "share of oracle, without imports", std::nullopt, runs,
                   [&](run_result& it)
                   {
                       const window_statistics& from = it.*window;
                       return ratio(
                           ratio(from.cached_tokens - from.imported_tokens, from.history_tokens),
                           oracle_tokens);
                   });
    out.print_line("imported." + phase, "share of starts", std::nullopt, runs,
                   [&](run_result& it)
                   { return ratio((it.*window).imports, (it.*window).started); });
    using loss_field = double window_statistics::*;
    const std::array<std::pair<const char*, loss_field>, 4> causes{
        {{"lost_at_limit.", &window_statistics::lost_at_limit},
         {"lost_not_asked.", &window_statistics::lost_not_asked},
         {"lost_evicted.", &window_statistics::lost_evicted},
         {"lost_gone.", &window_statistics::lost_gone}}};
    for (const std::pair<const char*, loss_field>& cause : causes)
    {
        out.print_line(cause.first + phase, "share of history tokens", std::nullopt, runs,
                       [&](run_result& it)
                       { return ratio((it.*window).*cause.second, (it.*window).history_tokens); });
    }
}

void print_bound(const printer& out, policy_results& runs, const std::string& phase,
                 window_statistics run_result::*window, double instants_target)
{
    out.print_line("starts_above_bound." + phase, "requests", 0.0, runs,
                   [&](run_result& it) { return (it.*window).starts_above_bound; });
    out.print_line("starts_above_bound_ramped." + phase, "requests", 0.0, runs,
                   [&](run_result& it) { return (it.*window).starts_above_bound_ramped; });
    out.print_line("starts." + phase, "requests", std::nullopt, runs,
                   [&](run_result& it) { return (it.*window).started; });
    // The target is compared with two figures: the share of samples with any engine above the
    // bound, which grows with the number of engines, and the share of engines above it over all
    // samples.
    out.print_line("instants_above_bound." + phase, "share of instants, any engine",
                   instants_target, runs,
                   [&](run_result& it)
                   { return ratio((it.*window).instants_above_bound, (it.*window).instants); });
    out.print_line(
        "instants_above_bound_ramped." + phase, "share of instants, any engine", instants_target,
        runs,
        [&](run_result& it)
        { return ratio((it.*window).instants_above_bound_ramped, (it.*window).instants); });
    out.print_line(
        "engine_instants_above_bound." + phase, "share of engine-instants", instants_target, runs,
        [&](run_result& it)
        { return ratio((it.*window).engine_instants_above_bound, (it.*window).engine_instants); });
    out.print_line("skew_p99." + phase, "largest / mean", std::nullopt, runs,
                   [&](run_result& it) { return (it.*window).skew.quantile(0.99); });
    out.print_line("skew_worst." + phase, "largest / mean", std::nullopt, runs,
                   [&](run_result& it) { return (it.*window).skew.quantile(1.0); });
    out.print_line("turned_cold." + phase, "engines", std::nullopt, runs,
                   [&](run_result& it) { return (it.*window).turned_cold; });
}

// Placement traffic of an average router in bytes/s. Each message counts for its sender and its
// receiver.
double control_bytes(const fleet_config& config, const window_statistics& window)
{
    constexpr double permit_bytes = 150 + 150;
    constexpr double release_bytes = 100;
    const double releases = window.started + window.unused_permits;
    const double bytes = window.permit_calls * permit_bytes + releases * release_bytes;
    // The quiet window is as long as the warm-up.
    const double seconds = static_cast<double>(warm_up) / static_cast<double>(one_s);
    return 2 * bytes / seconds / static_cast<double>(config.routers);
}

void print_waits(const printer& out, policy_results& runs)
{
    struct percentile
    {
        const char* name;
        double share;
    };
    constexpr std::array<percentile, 4> percentiles{
        {{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1.0}}};
    out.print_line("in_time.quiet", "share of requests with a first token within 1 s", std::nullopt,
                   runs, [](run_result& it) { return it.quiet.first_token.share_within(1000); });
    out.print_line("in_time.zone", "share of requests with a first token within 1 s", std::nullopt,
                   runs,
                   [](run_result& it) { return it.disturbed.first_token.share_within(1000); });
    out.print_line("refused.zone", "requests", 0.0, runs,
                   [](run_result& it) { return it.disturbed.refused; });
    for (const percentile& wanted : percentiles)
    {
        const std::string name = wanted.name;
        out.print_line("first_token_ms_" + name + ".quiet", "ms", std::nullopt, runs,
                       [&](run_result& it) { return it.quiet.first_token.quantile(wanted.share); });
        out.print_line("first_token_ms_" + name + ".zone", "ms", std::nullopt, runs,
                       [&](run_result& it)
                       { return it.disturbed.first_token.quantile(wanted.share); });
        out.print_line("permit_wait_" + name + ".quiet", "ms", std::nullopt, runs,
                       [&](run_result& it) { return it.quiet.permit_wait.quantile(wanted.share); });
        out.print_line("permit_wait_" + name + ".zone", "ms", std::nullopt, runs,
                       [&](run_result& it)
                       { return it.disturbed.permit_wait.quantile(wanted.share); });
        const bool bounded = name == "p99";
        out.print_line("first_token_" + name + ".zone", "ratio to quiet",
                       bounded ? std::optional(1.5) : std::nullopt, runs,
                       [&](run_result& it)
                       {
                           return ratio(it.disturbed.first_token.quantile(wanted.share),
                                        it.quiet.first_token.quantile(wanted.share));
                       });
        out.print_line("permit_wait_" + name + "_ratio.zone", "ratio to quiet",
                       bounded ? std::optional(1.5) : std::nullopt, runs,
                       [&](run_result& it)
                       {
                           return ratio(it.disturbed.permit_wait.quantile(wanted.share),
                                        it.quiet.permit_wait.quantile(wanted.share));
                       });
    }
}

void print_surge(const printer& out, run_result& library, run_result& fifo)
{
    const auto print_line =
        [&](const char* name, const char* unit, const printer::value_function& value)
    {
        out.print_line(name, unit, std::nullopt, value(library),
                       "\"fifo\":" + printer::format_number(value(fifo)));
    };
    print_line("small_team_wait_p50.surge", "ms",
               [](run_result& it) { return it.disturbed.small_team_wait.quantile(0.5); });
    print_line("small_team_wait_p99.surge", "ms",
               [](run_result& it) { return it.disturbed.small_team_wait.quantile(0.99); });
    print_line("large_team_wait_p99.surge", "ms",
               [](run_result& it) { return it.disturbed.large_team_wait.quantile(0.99); });
    print_line("small_team_wait_p99.quiet", "ms",
               [](run_result& it) { return it.quiet.small_team_wait.quantile(0.99); });
    print_line("refused.surge", "requests", [](run_result& it) { return it.disturbed.refused; });
}

void measure(const scenario& setup, std::uint64_t seed)
{
    const printer out(setup.name, seed);
    policy_results churn = run_all_policies(run_churn, setup, seed);
    print_reuse(out, churn, "churn", &run_result::disturbed);
    print_bound(out, churn, "churn", &run_result::disturbed, setup.instants_target);
    policy_results zone = run_all_policies(run_zone, setup, seed);
    print_reuse(out, zone, "quiet", &run_result::quiet);
    print_bound(out, zone, "quiet", &run_result::quiet, setup.instants_target);
    print_bound(out, zone, "zone", &run_result::disturbed, setup.instants_target);
    print_waits(out, zone);
    out.print_line("control_bytes.quiet", "placement bytes/s a router, both directions",
                   setup.control_target, control_bytes(setup.config, zone.library.quiet), "");
    run_result library = run_surge(setup.config, seed);
    fleet_config one_team = setup.config;
    one_team.one_team = true;
    run_result fifo = run_surge(one_team, seed);
    print_surge(out, library, fifo);
}

} // namespace

namespace
{

// Sets a policy parameter from text of the form name=value.
// Returns false if the text has another form or the name is unknown.
bool set_parameter(fleet_config& config, const std::string& text)
{
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos)
    {
        return false;
    }
    const std::string name = text.substr(0, separator);
    const double value = std::strtod(text.c_str() + separator + 1, nullptr);
    const auto integer = static_cast<std::uint32_t>(value);
    // Parameter names that differ from field names are kept for existing command lines.
    const std::map<std::string, std::function<void()>> parameters{
        {"fall_margin",
         [&]
         {
             config.gate.bound.fall_margin = value;
         }},
        {"least_multiple",
         [&]
         {
             config.gate.bound.min_multiple = value;
         }},
        {"open_multiple",
         [&]
         {
             config.gate.open_multiple = value;
         }},
        {"kept_history",
         [&]
         {
             config.gate.min_cached_history_tokens = integer;
         }},
        {"check_present",
         [&]
         {
             config.check_current_load = value > 0;
         }},
        {"min_import_tokens",
         [&]
         {
             config.placement.min_import_tokens = integer;
         }},
        {"ending_meanwhile",
         [&]
         {
             config.placement.completion_allowance = value;
         }},
        {"whole_pool",
         [&]
         {
             config.placement.max_whole_pool_size = integer;
         }},
        {"first_asked",
         [&]
         {
             config.placement.first_asked = integer;
         }},
    };
    const auto found = parameters.find(name);
    if (found == parameters.end())
    {
        return false;
    }
    found->second();
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    std::string only_scenario;
    fleet_config base;
    for (int n = 1; n + 1 < argc; n += 2)
    {
        if (std::strcmp(argv[n], "--seed") == 0)
        {
            seed = std::strtoull(argv[n + 1], nullptr, 10);
        }
        else if (std::strcmp(argv[n], "--scenario") == 0)
        {
            only_scenario = argv[n + 1];
        }
        else if (std::strcmp(argv[n], "--set") == 0 && !set_parameter(base, argv[n + 1]))
        {
            std::fprintf(stderr, "unknown parameter: %s\n", argv[n + 1]);
            return 2;
        }
    }
    for (const scenario& it : make_scenarios(base))
    {
        if (only_scenario.empty() || only_scenario == it.name)
        {
            measure(it, seed);
        }
    }
    return 0;
}
