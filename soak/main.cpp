// A randomized run of real routers with faults from outside them; see docs/soak.md.

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

/// Lengths of the parts of a run.
struct run_plan
{
    millis start{15000}; ///< The most that routers may take to be ready.
    millis planned{8000};
    millis faults{12000};
    /// Everything must work again after this, the bound that operators of the platform set.
    millis recovery{12000};
    millis served{4000}; ///< Requests sent in this time must be served.
    millis stop{9000};
    std::size_t callers = 24;
    double least_served = 0.9;
};

awaitable<bool> answers(daemon::network_address address)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    daemon::http_connection connection(executor);
    const std::error_code ec = co_await connection.connect(address, millis{300}, millis{300});
    co_return !ec;
}

/// One run; returns whether every promise was kept.
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

    awaitable<void> play()
    {
        co_await wait_started();
        asio::co_spawn(context_, injector_.maintain_fleet(stopping_), asio::detached);
        std::vector<std::unique_ptr<caller>> callers;
        for (std::size_t n = 0; n < plan_.callers; ++n)
        {
            callers.push_back(std::make_unique<caller>(context_, fleet_, n));
            asio::co_spawn(context_, callers.back()->run(ending_), asio::detached);
        }
        co_await daemon::sleep_for(millis{2000});
        co_await play_events(planned_events(), plan_.planned);
        co_await play_events(fault_events(), plan_.faults);
        while (open_events_ > 0)
        {
            co_await daemon::sleep_for(millis{50});
        }
        injector_.log("recovery", "");
        co_await daemon::sleep_for(plan_.recovery);
        const time_point from = fleet_.now();
        co_await daemon::sleep_for(plan_.served);
        const time_point to = fleet_.now();
        co_await daemon::sleep_for(millis{1500});
        const promise_checker::request_counts last = fleet_.checker.count_requests(from, to);
        injector_.log("last_requests", "sent=" + std::to_string(last.sent) +
                                           " served=" + std::to_string(last.served));
        if (static_cast<double>(last.served) <
                plan_.least_served * static_cast<double>(last.sent) ||
            last.sent == 0)
        {
            fleet_.checker.record_failed_recovery(last);
        }
        ending_ = true;
        co_await daemon::sleep_for(millis{500});
        co_await stop_all();
        context_.stop();
    }

private:
    awaitable<void> wait_started()
    {
        const time_point until = fleet_.now() + plan_.start;
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            bool up = co_await answers(soak_fleet::caller_address(*router));
            while (!up && fleet_.now() < until)
            {
                co_await daemon::sleep_for(millis{50});
                up = co_await answers(soak_fleet::caller_address(*router));
            }
        }
    }

    awaitable<void> play_one(soak_event event)
    {
        ++open_events_;
        co_await injector_.inject(event);
        --open_events_;
    }

    /// Events come in series and overlap; faults also meet planned work.
    awaitable<void> play_events(std::span<const soak_event> events, millis time)
    {
        const time_point until = fleet_.now() + time;
        while (fleet_.now() < until)
        {
            const bool planned = fleet_.random.below(3) == 0;
            const std::span<const soak_event> from = planned ? planned_events() : events;
            const soak_event event = from[fleet_.random.below(from.size())];
            asio::co_spawn(context_, play_one(event), asio::detached);
            co_await daemon::sleep_for(
                millis{static_cast<std::int64_t>(100 + fleet_.random.below(1400))});
        }
    }

    /// A router that is asked to stop ends by itself within the grace period.
    awaitable<void> stop_all()
    {
        stopping_ = true;
        co_await daemon::sleep_for(millis{200});
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            router->process->send_signal(SIGTERM);
        }
        const time_point until = fleet_.now() + plan_.stop;
        bool any = true;
        while (any && fleet_.now() < until)
        {
            co_await daemon::sleep_for(millis{50});
            any = false;
            for (const std::unique_ptr<soak_router>& router : fleet_.routers)
            {
                any = router->process->is_running() || any;
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
    bool ending_ = false;
    bool stopping_ = false;
    int open_events_ = 0;
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
    soak_run one(context, fleet, plan);
    asio::co_spawn(context, one.play(), asio::detached);
    context.run();
    std::string tally;
    for (const std::pair<const caller_outcome, std::size_t>& count : fleet.checker.outcome_counts())
    {
        tally += " " + std::string(to_string(count.first)) + "=" + std::to_string(count.second);
    }
    for (const violation& broken : fleet.checker.violations())
    {
        std::cout << "event=violation promise=" << broken.promise << " request=" << broken.request
                  << " detail=\"" << broken.detail << "\"\n";
    }
    std::cout << "event=soak seed=" << settings.seed
              << " violations=" << fleet.checker.violations().size() << tally << "\n";
    return fleet.checker.violations().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs routers as processes, disturbs them and checks their promises");
    soak_fleet_settings settings;
    run_plan plan;
    app.add_option("--seed", settings.seed, "Decides all events of the run");
    app.add_option("--program", settings.program, "The router's binary")->required();
    app.add_option("--folder", settings.folder, "Gets settings and logs")->required();
    app.add_option("--routers", settings.router_count)->check(CLI::Range(1, 100));
    app.add_option("--engines", settings.engine_count)->check(CLI::Range(3, 100));
    app.add_option("--callers", plan.callers)->check(CLI::Range(1, 500));
    app.add_option("--planned-ms", plan.planned.count, "Time with planned work only");
    app.add_option("--faults-ms", plan.faults.count, "Time with faults");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return run(settings, plan);
}
