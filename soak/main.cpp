// Randomized run of router processes with injected faults; see docs/soak.md.

#include <soak/caller.hpp>
#include <soak/faults.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

using namespace endivestage;
using namespace endivestage::soak;
using daemon::awaitable;
namespace asio = boost::asio;

namespace
{

/// Planned operations that follow one another at once.
constexpr std::uint64_t max_series = 4;
constexpr std::uint64_t max_series_gap_ms = 60;

/// Durations of the phases of a run, and its load.
struct run_plan
{
    millis start_timeout{15000};
    millis planned_period{8000}; ///< Planned operations only.
    millis fault_period{12000};  ///< Faults and planned operations.
    /// Until the fleet must have recovered; the bound that operators of the platform set.
    millis recovery_period{12000};
    millis measured_period{4000}; ///< Requests sent in this period must be served.
    millis stop_timeout{9000};
    std::size_t caller_count = 24;
    double min_served_ratio = 0.9; ///< Of the requests in the measured period.
};

/// Runs callers and events against a started fleet.
class soak_run
{
public:
    soak_run(asio::io_context& context, soak_fleet& fleet, run_plan plan)
        : context_(context),
          fleet_(fleet),
          plan_(plan),
          injector_(context, fleet)
    {
    }

    awaitable<void> run()
    {
        co_await wait_until_started();
        asio::co_spawn(context_, injector_.maintain_fleet(fleet_stopping_), asio::detached);
        asio::co_spawn(context_, injector_.measure_delay(fleet_stopping_), asio::detached);
        std::vector<std::unique_ptr<caller>> callers;
        for (std::size_t n = 0; n < plan_.caller_count; ++n)
        {
            callers.push_back(std::make_unique<caller>(context_, fleet_, n));
            asio::co_spawn(context_, callers.back()->run(callers_stopping_), asio::detached);
        }
        co_await daemon::sleep_for(millis{2000});
        co_await inject_events(planned_events(), plan_.planned_period);
        co_await inject_events(fault_events(), plan_.fault_period);
        while (active_events_ > 0)
        {
            co_await daemon::sleep_for(millis{50});
        }
        injector_.log("recovery", "");
        co_await daemon::sleep_for(plan_.recovery_period);
        const time_point from = fleet_.now();
        co_await daemon::sleep_for(plan_.measured_period);
        const time_point to = fleet_.now();
        co_await daemon::sleep_for(millis{1500});
        const promise_checker::request_counts counts = fleet_.checker.count_requests(from, to);
        injector_.log("last_requests", "sent=" + std::to_string(counts.sent) +
                                           " served=" + std::to_string(counts.served));
        if (static_cast<double>(counts.served) <
                plan_.min_served_ratio * static_cast<double>(counts.sent) ||
            counts.sent == 0)
        {
            fleet_.checker.record_failed_recovery(counts);
        }
        callers_stopping_ = true;
        co_await daemon::sleep_for(millis{500});
        co_await stop_all();
        context_.stop();
    }

private:
    awaitable<void> wait_until_started()
    {
        const time_point deadline = fleet_.now() + plan_.start_timeout;
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            bool listening = co_await is_listening(soak_fleet::caller_address(*router));
            while (!listening && fleet_.now() < deadline)
            {
                co_await daemon::sleep_for(millis{50});
                listening = co_await is_listening(soak_fleet::caller_address(*router));
            }
        }
    }

    awaitable<void> inject_event(soak_event event)
    {
        ++active_events_;
        co_await injector_.inject(event);
        --active_events_;
    }

    /// Starts events at random intervals, so that they overlap. In the fault phase a third of them
    /// are planned operations, which come in short series.
    awaitable<void> inject_events(std::span<const soak_event> events, millis period)
    {
        const time_point deadline = fleet_.now() + period;
        while (fleet_.now() < deadline)
        {
            const bool planned =
                events.data() == planned_events().data() || fleet_.random.below(3) == 0;
            const std::span<const soak_event> candidates = planned ? planned_events() : events;
            const std::uint64_t count = planned ? 1 + fleet_.random.below(max_series) : 1;
            for (std::uint64_t n = 0; n < count; ++n)
            {
                const soak_event event = candidates[fleet_.random.below(candidates.size())];
                asio::co_spawn(context_, inject_event(event), asio::detached);
                co_await daemon::sleep_for(
                    millis{static_cast<std::int64_t>(fleet_.random.below(max_series_gap_ms))});
            }
            co_await daemon::sleep_for(
                millis{static_cast<std::int64_t>(100 + fleet_.random.below(1400))});
        }
    }

    /// Every router must exit with status 0 within the timeout once it is asked to stop.
    awaitable<void> stop_all()
    {
        fleet_stopping_ = true;
        co_await daemon::sleep_for(millis{200});
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            router->process->send_signal(SIGTERM);
        }
        const time_point deadline = fleet_.now() + plan_.stop_timeout;
        bool any_running = true;
        while (any_running && fleet_.now() < deadline)
        {
            co_await daemon::sleep_for(millis{50});
            any_running = false;
            for (const std::unique_ptr<soak_router>& router : fleet_.routers)
            {
                any_running = router->process->is_running() || any_running;
            }
        }
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            if (router->process->is_running() || router->process->wait_status() != 0)
            {
                fleet_.checker.record_process_exit(router->name, router->process->wait_status());
            }
        }
    }

    asio::io_context& context_;
    soak_fleet& fleet_;
    run_plan plan_;
    event_injector injector_;
    bool callers_stopping_ = false;
    bool fleet_stopping_ = false;
    int active_events_ = 0;
};

int run(const soak_fleet_settings& settings, const run_plan& plan)
{
    std::filesystem::create_directories(settings.folder);
    asio::io_context context(1);
    soak_fleet fleet(context, settings);
    if (!fleet.start())
    {
        std::cout << "event=failed reason=\"the fleet cannot be started\"\n";
        return 2;
    }
    soak_run instance(context, fleet, plan);
    asio::co_spawn(context, instance.run(), asio::detached);
    context.run();
    std::string outcomes;
    for (const std::pair<const caller_outcome, std::size_t>& count : fleet.checker.outcome_counts())
    {
        outcomes += " " + std::string(to_string(count.first)) + "=" + std::to_string(count.second);
    }
    for (const violation& found : fleet.checker.violations())
    {
        std::cout << "event=violation promise=" << found.promise << " request=" << found.request
                  << " detail=\"" << found.detail << "\"\n";
    }
    std::cout << "event=soak seed=" << settings.seed
              << " violations=" << fleet.checker.violations().size() << outcomes << "\n";
    return fleet.checker.violations().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs router processes, injects faults and checks the promises of the fleet");
    soak_fleet_settings settings;
    run_plan plan;
    app.add_option("--seed", settings.seed, "Seed of all random choices of the run");
    app.add_option("--program", settings.program, "Path of the router's executable")->required();
    app.add_option("--folder", settings.folder, "Folder for settings and logs")->required();
    app.add_option("--routers", settings.router_count)->check(CLI::Range(1, 100));
    app.add_option("--engines", settings.engine_count)->check(CLI::Range(3, 100));
    app.add_option("--callers", plan.caller_count)->check(CLI::Range(1, 500));
    app.add_option("--planned-ms", plan.planned_period.count,
                   "Duration of the phase with planned operations only");
    app.add_option("--faults-ms", plan.fault_period.count, "Duration of the phase with faults");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return run(settings, plan);
}
