// Measures placement and admission in a model fleet and prints one JSON object a line.
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

constexpr micros warm_up = 200 * one_s;

struct scenario
{
    std::string name;
    fleet_options options;
    double control_target = 4096; // Bytes/s a router.
    double instants_target = 0;   // Share of instants with an engine above the bound.
};

struct run_result
{
    window_record quiet;
    window_record disturbed;
};

std::vector<scenario> all_scenarios(const fleet_options& base)
{
    fleet_options twelve = base;
    twelve.engines = 12;
    twelve.routers = 9;
    fleet_options target = base;
    target.engines = 60;
    target.routers = 40;
    target.zones = 7;
    target.load = 30;
    return {{"today", base, 4096, 0.02},
            {"twelve", twelve, 4096, 0.02},
            {"target", target, 15 * 1024, 0.001}};
}

std::size_t chats_for(const fleet_options& options)
{
    const double per_request = 1 + workload::mean_pause_ms / workload::mean_service_ms;
    return static_cast<std::size_t>(static_cast<double>(options.engines) * options.load *
                                    per_request);
}

// A zone leaves at 400 s, with its routers, and is back with cold engines at 500 s.
run_result run_zone(const fleet_options& options, std::uint64_t seed)
{
    run_result result;
    fleet model(options, seed);
    model.add_chats(chats_for(options), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.record_in(result.quiet);
    model.loop().run_until(2 * warm_up);
    model.record_in(result.disturbed);
    model.take_zone_out(0);
    model.loop().run_until(500 * one_s);
    model.bring_zone_back(0);
    model.loop().run_until(620 * one_s);
    return result;
}

// Every 40 s an engine restarts, every 50 s a router is replaced.
run_result run_churn(const fleet_options& options, std::uint64_t seed)
{
    run_result result;
    fleet model(options, seed);
    model.add_chats(chats_for(options), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.record_in(result.disturbed);
    for (std::size_t n = 1; n <= 40; ++n)
    {
        model.loop().run_until(warm_up + static_cast<micros>(n) * 10 * one_s);
        if (n % 4 == 0)
        {
            model.restart_engine((n * 7) % options.engines, 15 * one_s);
        }
        if (n % 5 == 0)
        {
            model.replace_router((n * 3) % options.routers);
        }
    }
    return result;
}

// For 60 s the large teams send twice the pool's usual load on top of it.
run_result run_surge(const fleet_options& options, std::uint64_t seed)
{
    fleet_options limited = options;
    limited.most_requests = static_cast<std::uint32_t>(options.load * 1.6);
    run_result result;
    fleet model(limited, seed);
    model.add_chats(chats_for(options), false, 0, 68 * one_s);
    model.loop().run_until(warm_up);
    model.record_in(result.quiet);
    model.loop().run_until(300 * one_s);
    model.record_in(result.disturbed);
    const double arrivals =
        2 * options.load * static_cast<double>(options.engines) * 60000 / workload::mean_service_ms;
    model.add_chats(static_cast<std::size_t>(arrivals), true, 1, 60 * one_s);
    model.loop().run_until(380 * one_s);
    return result;
}

struct named_routing
{
    const char* name;
    routing kind;
};

constexpr std::array<named_routing, 4> baselines{{{"oracle", routing::oracle},
                                                  {"round_robin", routing::round_robin},
                                                  {"rendezvous", routing::rendezvous},
                                                  {"local_bounds", routing::local_bounds}}};

// All runs of a kind: the library's and the baselines'.
struct comparison
{
    run_result own;
    std::vector<run_result> others;
};

comparison compare(const std::function<run_result(const fleet_options&, std::uint64_t)>& run,
                   const scenario& in, std::uint64_t seed)
{
    comparison result{run(in.options, seed), {}};
    for (const named_routing& it : baselines)
    {
        fleet_options options = in.options;
        options.kind = it.kind;
        result.others.push_back(run(options, seed));
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

    using extract = std::function<double(run_result&)>;

    void line(const std::string& measure, const char* unit, std::optional<double> target,
              comparison& runs, const extract& value) const
    {
        std::string others;
        for (std::size_t n = 0; n < runs.others.size(); ++n)
        {
            others += (n > 0 ? "," : "") + quoted(baselines[n].name) + ":" +
                      number(value(runs.others[n]));
        }
        line(measure, unit, target, value(runs.own), others);
    }

    void line(const std::string& measure, const char* unit, std::optional<double> target,
              double value, const std::string& others) const
    {
        std::array<char, 1024> text{};
        std::snprintf(text.data(), text.size(),
                      "{\"measure\":\"%s\",\"scenario\":\"%s\",\"seed\":%llu,\"value\":%s,"
                      "\"unit\":\"%s\",\"target\":%s,\"baseline\":{%s}}",
                      measure.c_str(), scenario_.c_str(), static_cast<unsigned long long>(seed_),
                      number(value).c_str(), unit, target ? number(*target).c_str() : "null",
                      others.c_str());
        std::puts(text.data());
        std::fflush(stdout);
    }

    static std::string number(double value)
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.5g", value);
        return text.data();
    }

    static std::string quoted(const std::string& text) { return "\"" + text + "\""; }

private:
    std::string scenario_;
    std::uint64_t seed_;
};

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0.0;
}

void print_reuse(const printer& out, comparison& runs, const std::string& phase,
                 window_record run_result::*window)
{
    const auto requests = [&](run_result& it)
    {
        return ratio((it.*window).resumed_cached, (it.*window).resumed);
    };
    const auto tokens = [&](run_result& it)
    {
        return ratio((it.*window).cached_tokens, (it.*window).history_tokens);
    };
    const double best_requests = requests(runs.others[0]);
    const double best_tokens = tokens(runs.others[0]);
    out.line("reuse_requests." + phase, "share of oracle", 0.97, runs,
             [&](run_result& it) { return ratio(requests(it), best_requests); });
    out.line("reuse_tokens." + phase, "share of oracle", 0.97, runs,
             [&](run_result& it) { return ratio(tokens(it), best_tokens); });
    out.line("reuse_local." + phase, "share of oracle, without imports", std::nullopt, runs,
             [&](run_result& it)
             {
                 const window_record& from = it.*window;
                 return ratio(ratio(from.cached_tokens - from.imported_tokens, from.history_tokens),
                              best_tokens);
             });
    out.line("imported." + phase, "share of starts", std::nullopt, runs,
             [&](run_result& it) { return ratio((it.*window).imports, (it.*window).started); });
    using loss = double window_record::*;
    const std::array<std::pair<const char*, loss>, 4> causes{
        {{"lost_at_limit.", &window_record::lost_at_limit},
         {"lost_not_asked.", &window_record::lost_not_asked},
         {"lost_evicted.", &window_record::lost_evicted},
         {"lost_gone.", &window_record::lost_gone}}};
    for (const std::pair<const char*, loss>& cause : causes)
    {
        out.line(cause.first + phase, "share of history tokens", std::nullopt, runs,
                 [&](run_result& it)
                 { return ratio((it.*window).*cause.second, (it.*window).history_tokens); });
    }
}

void print_bound(const printer& out, comparison& runs, const std::string& phase,
                 window_record run_result::*window, double instants_target)
{
    out.line("starts_above_bound." + phase, "requests", 0.0, runs,
             [&](run_result& it) { return (it.*window).above_at_start; });
    out.line("starts_above_bound_ramped." + phase, "requests", 0.0, runs,
             [&](run_result& it) { return (it.*window).above_at_start_ramped; });
    out.line("starts." + phase, "requests", std::nullopt, runs,
             [&](run_result& it) { return (it.*window).started; });
    // Two readings of the target: instants with any engine above, a share that grows with the
    // number of engines, and engines above among all engines at all instants.
    out.line(
        "instants_above_bound." + phase, "share of instants, any engine", instants_target, runs,
        [&](run_result& it) { return ratio((it.*window).instants_above, (it.*window).instants); });
    out.line("instants_above_bound_ramped." + phase, "share of instants, any engine",
             instants_target, runs,
             [&](run_result& it)
             { return ratio((it.*window).instants_above_ramped, (it.*window).instants); });
    out.line("engine_instants_above_bound." + phase, "share of engine-instants", instants_target,
             runs,
             [&](run_result& it)
             { return ratio((it.*window).engine_instants_above, (it.*window).engine_instants); });
    out.line("skew_p99." + phase, "largest / mean", std::nullopt, runs,
             [&](run_result& it) { return (it.*window).skew.at(0.99); });
    out.line("skew_worst." + phase, "largest / mean", std::nullopt, runs,
             [&](run_result& it) { return (it.*window).skew.at(1.0); });
    out.line("turned_cold." + phase, "engines", std::nullopt, runs,
             [&](run_result& it) { return (it.*window).turned_cold; });
}

// Placement messages of an average router; each call and its answer is counted at both ends.
double control_bytes(const fleet_options& options, const window_record& window)
{
    constexpr double permit_bytes = 150 + 150;
    constexpr double release_bytes = 100;
    const double releases = window.started + window.unused_permits;
    const double bytes = window.permit_calls * permit_bytes + releases * release_bytes;
    const double seconds = static_cast<double>(warm_up) / static_cast<double>(one_s);
    return 2 * bytes / seconds / static_cast<double>(options.routers);
}

void print_waits(const printer& out, comparison& runs)
{
    struct percentile
    {
        const char* name;
        double share;
    };
    constexpr std::array<percentile, 4> wanted{
        {{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1.0}}};
    out.line("in_time.quiet", "share of requests with a first token within 1 s", std::nullopt, runs,
             [](run_result& it) { return it.quiet.first_token.share_within(1000); });
    out.line("in_time.zone", "share of requests with a first token within 1 s", std::nullopt, runs,
             [](run_result& it) { return it.disturbed.first_token.share_within(1000); });
    out.line("refused.zone", "requests", 0.0, runs,
             [](run_result& it) { return it.disturbed.refused; });
    for (const percentile& at : wanted)
    {
        const std::string name = at.name;
        out.line("first_token_ms_" + name + ".quiet", "ms", std::nullopt, runs,
                 [&](run_result& it) { return it.quiet.first_token.at(at.share); });
        out.line("first_token_ms_" + name + ".zone", "ms", std::nullopt, runs,
                 [&](run_result& it) { return it.disturbed.first_token.at(at.share); });
        out.line("permit_wait_" + name + ".quiet", "ms", std::nullopt, runs,
                 [&](run_result& it) { return it.quiet.permit_wait.at(at.share); });
        out.line("permit_wait_" + name + ".zone", "ms", std::nullopt, runs,
                 [&](run_result& it) { return it.disturbed.permit_wait.at(at.share); });
        const bool bounded = name == "p99";
        out.line("first_token_" + name + ".zone", "ratio to quiet",
                 bounded ? std::optional(1.5) : std::nullopt, runs,
                 [&](run_result& it) {
                     return ratio(it.disturbed.first_token.at(at.share),
                                  it.quiet.first_token.at(at.share));
                 });
        out.line("permit_wait_" + name + "_ratio.zone", "ratio to quiet",
                 bounded ? std::optional(1.5) : std::nullopt, runs,
                 [&](run_result& it) {
                     return ratio(it.disturbed.permit_wait.at(at.share),
                                  it.quiet.permit_wait.at(at.share));
                 });
    }
}

void print_surge(const printer& out, run_result& own, run_result& fifo)
{
    const auto line = [&](const char* name, const char* unit, const printer::extract& value)
    {
        out.line(name, unit, std::nullopt, value(own), "\"fifo\":" + printer::number(value(fifo)));
    };
    line("small_team_wait_p50.surge", "ms",
         [](run_result& it) { return it.disturbed.small_team_wait.at(0.5); });
    line("small_team_wait_p99.surge", "ms",
         [](run_result& it) { return it.disturbed.small_team_wait.at(0.99); });
    line("large_team_wait_p99.surge", "ms",
         [](run_result& it) { return it.disturbed.large_team_wait.at(0.99); });
    line("small_team_wait_p99.quiet", "ms",
         [](run_result& it) { return it.quiet.small_team_wait.at(0.99); });
    line("refused.surge", "requests", [](run_result& it) { return it.disturbed.refused; });
}

void measure(const scenario& in, std::uint64_t seed)
{
    const printer out(in.name, seed);
    comparison churn = compare(run_churn, in, seed);
    print_reuse(out, churn, "churn", &run_result::disturbed);
    print_bound(out, churn, "churn", &run_result::disturbed, in.instants_target);
    comparison zone = compare(run_zone, in, seed);
    print_reuse(out, zone, "quiet", &run_result::quiet);
    print_bound(out, zone, "quiet", &run_result::quiet, in.instants_target);
    print_bound(out, zone, "zone", &run_result::disturbed, in.instants_target);
    print_waits(out, zone);
    out.line("control_bytes.quiet", "placement bytes/s a router, both directions",
             in.control_target, control_bytes(in.options, zone.own.quiet), "");
    run_result own = run_surge(in.options, seed);
    fleet_options one_team = in.options;
    one_team.one_team = true;
    run_result fifo = run_surge(one_team, seed);
    print_surge(out, own, fifo);
}

} // namespace

namespace
{

// Varies a parameter of the policies for a trial; the text is name=value.
bool set_parameter(fleet_options& options, const std::string& text)
{
    const std::size_t at = text.find('=');
    if (at == std::string::npos)
    {
        return false;
    }
    const std::string name = text.substr(0, at);
    const double value = std::strtod(text.c_str() + at + 1, nullptr);
    const auto whole = static_cast<std::uint32_t>(value);
    // Option names that differ from the field they set are kept for existing command lines.
    const std::map<std::string, std::function<void()>> parameters{
        {"fall_margin",
         [&]
         {
             options.gate.bound.fall_margin = value;
         }},
        {"least_multiple",
         [&]
         {
             options.gate.bound.min_multiple = value;
         }},
        {"open_multiple",
         [&]
         {
             options.gate.open_multiple = value;
         }},
        {"kept_history",
         [&]
         {
             options.gate.min_cached_history_tokens = whole;
         }},
        {"check_present",
         [&]
         {
             options.check_present = value > 0;
         }},
        {"min_import_tokens",
         [&]
         {
             options.placement.min_import_tokens = whole;
         }},
        {"ending_meanwhile",
         [&]
         {
             options.placement.completion_allowance = value;
         }},
        {"whole_pool",
         [&]
         {
             options.placement.max_whole_pool_size = whole;
         }},
        {"first_asked",
         [&]
         {
             options.placement.first_asked = whole;
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
    std::string only;
    fleet_options base;
    for (int n = 1; n + 1 < argc; n += 2)
    {
        if (std::strcmp(argv[n], "--seed") == 0)
        {
            seed = std::strtoull(argv[n + 1], nullptr, 10);
        }
        else if (std::strcmp(argv[n], "--scenario") == 0)
        {
            only = argv[n + 1];
        }
        else if (std::strcmp(argv[n], "--set") == 0 && !set_parameter(base, argv[n + 1]))
        {
            std::fprintf(stderr, "unknown parameter: %s\n", argv[n + 1]);
            return 2;
        }
    }
    for (const scenario& it : all_scenarios(base))
    {
        if (only.empty() || only == it.name)
        {
            measure(it, seed);
        }
    }
    return 0;
}
