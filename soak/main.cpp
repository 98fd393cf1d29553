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
    soak_run(asio::io_context& context, world& around, run_plan plan)
        : context_(context),
          around_(around),
          plan_(plan),
          player_(context, around)
    {
    }

    awaitable<void> play()
    {
        co_await wait_started();
        asio::co_spawn(context_, player_.keep_running(stopping_), asio::detached);
        std::vector<std::unique_ptr<caller>> callers;
        for (std::size_t n = 0; n < plan_.callers; ++n)
        {
            callers.push_back(std::make_unique<caller>(context_, around_, n));
            asio::co_spawn(context_, callers.back()->run(ending_), asio::detached);
        }
        co_await daemon::sleep_for(millis{2000});
        co_await play_events(planned_events(), plan_.planned);
        co_await play_events(fault_events(), plan_.faults);
        while (open_events_ > 0)
        {
            co_await daemon::sleep_for(millis{50});
        }
        player_.log("recovery", "");
        co_await daemon::sleep_for(plan_.recovery);
        const time_point from = around_.now();
        co_await daemon::sleep_for(plan_.served);
        const time_point to = around_.now();
        co_await daemon::sleep_for(millis{1500});
        const promise_log::tally last = around_.promises.count(from, to);
        player_.log("last_requests",
                    "sent=" + std::to_string(last.sent) + " served=" + std::to_string(last.served));
        if (static_cast<double>(last.served) <
                plan_.least_served * static_cast<double>(last.sent) ||
            last.sent == 0)
        {
            around_.promises.not_recovered(last);
        }
        ending_ = true;
        co_await daemon::sleep_for(millis{500});
        co_await stop_all();
        context_.stop();
    }

private:
    awaitable<void> wait_started()
    {
        const time_point until = around_.now() + plan_.start;
        for (const std::unique_ptr<soak_router>& router : around_.routers)
        {
            bool up = co_await answers(world::callers_of(*router));
            while (!up && around_.now() < until)
            {
                co_await daemon::sleep_for(millis{50});
                up = co_await answers(world::callers_of(*router));
            }
        }
    }

    awaitable<void> play_one(soak_event event)
    {
        ++open_events_;
        co_await player_.play(event);
        --open_events_;
    }

    /// Events come in series and overlap; faults also meet planned work.
    awaitable<void> play_events(std::span<const soak_event> events, millis time)
    {
        const time_point until = around_.now() + time;
        while (around_.now() < until)
        {
            const bool planned = around_.random.below(3) == 0;
            const std::span<const soak_event> from = planned ? planned_events() : events;
            const soak_event event = from[around_.random.below(from.size())];
            asio::co_spawn(context_, play_one(event), asio::detached);
            co_await daemon::sleep_for(
                millis{static_cast<std::int64_t>(100 + around_.random.below(1400))});
        }
    }

    /// A router that is asked to stop ends by itself within the grace period.
    awaitable<void> stop_all()
    {
        stopping_ = true;
        co_await daemon::sleep_for(millis{200});
        for (const std::unique_ptr<soak_router>& router : around_.routers)
        {
            router->process->signal(SIGTERM);
        }
        const time_point until = around_.now() + plan_.stop;
        bool any = true;
        while (any && around_.now() < until)
        {
            co_await daemon::sleep_for(millis{50});
            any = false;
            for (const std::unique_ptr<soak_router>& router : around_.routers)
            {
                any = router->process->running() || any;
            }
        }
        for (const std::unique_ptr<soak_router>& router : around_.routers)
        {
            if (router->process->running() || router->process->last_status() != 0)
            {
                around_.promises.process_ended(router->name, router->process->last_status());
            }
        }
    }

    asio::io_context& context_;
    world& around_;
    run_plan plan_;
    event_player player_;
    bool ending_ = false;
    bool stopping_ = false;
    int open_events_ = 0;
};

int run(const world_settings& settings, const run_plan& plan)
{
    std::filesystem::create_directories(settings.folder);
    asio::io_context context(1);
    world around(context, settings);
    if (!around.start())
    {
        std::cout << "event=failed reason=\"the fleet cannot be started\"\n";
        return 2;
    }
    soak_run one(context, around, plan);
    asio::co_spawn(context, one.play(), asio::detached);
    context.run();
    std::string tally;
    for (const std::pair<const caller_outcome, std::size_t>& count : around.promises.outcomes())
    {
        tally += " " + std::string(to_string(count.first)) + "=" + std::to_string(count.second);
    }
    for (const violation& broken : around.promises.violations())
    {
        std::cout << "event=violation promise=" << broken.promise << " request=" << broken.request
                  << " detail=\"" << broken.detail << "\"\n";
    }
    std::cout << "event=soak seed=" << settings.seed
              << " violations=" << around.promises.violations().size() << tally << "\n";
    return around.promises.violations().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs routers as processes, disturbs them and checks their promises");
    world_settings settings;
    run_plan plan;
    app.add_option("--seed", settings.seed, "Decides all events of the run");
    app.add_option("--program", settings.program, "The router's binary")->required();
    app.add_option("--folder", settings.folder, "Gets settings and logs")->required();
    app.add_option("--routers", settings.routers)->check(CLI::Range(1, 100));
    app.add_option("--engines", settings.engines)->check(CLI::Range(3, 100));
    app.add_option("--callers", plan.callers)->check(CLI::Range(1, 500));
    app.add_option("--planned-ms", plan.planned.count, "Time with planned work only");
    app.add_option("--faults-ms", plan.faults.count, "Time with faults");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return run(settings, plan);
}
