#include <soak/faults.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <array>
#include <csignal>
#include <iostream>

namespace endivestage::soak
{

namespace asio = boost::asio;
using daemon::awaitable;
using standin::link_fault;

namespace
{

constexpr millis tick{50};
constexpr millis restart_delay{300};
/// Engines keep serving for two seconds after they said that they leave, and a little longer.
constexpr millis engine_leave_time{2500};
constexpr std::size_t least_engines = 3;

constexpr std::array planned{soak_event::stop_router, soak_event::reload,
                             soak_event::add_engine,  soak_event::drain_engine,
                             soak_event::zone_out,    soak_event::change_configuration,
                             soak_event::withdraw_key};
constexpr std::array faults{soak_event::kill_router,        soak_event::kill_all_routers,
                            soak_event::pause_router,       soak_event::store_refuses,
                            soak_event::store_silent,       soak_event::store_resets,
                            soak_event::store_loses_writes, soak_event::store_forgets,
                            soak_event::store_link,         soak_event::engine_link,
                            soak_event::engine_crash,       soak_event::engine_connections_silent,
                            soak_event::engine_answers,     soak_event::garbled_record};

} // namespace

std::string_view to_string(soak_event event)
{
    switch (event)
    {
    case soak_event::stop_router:
        return "stop_router";
    case soak_event::reload:
        return "reload";
    case soak_event::add_engine:
        return "add_engine";
    case soak_event::drain_engine:
        return "drain_engine";
    case soak_event::zone_out:
        return "zone_out";
    case soak_event::change_configuration:
        return "change_configuration";
    case soak_event::withdraw_key:
        return "withdraw_key";
    case soak_event::kill_router:
        return "kill_router";
    case soak_event::kill_all_routers:
        return "kill_all_routers";
    case soak_event::pause_router:
        return "pause_router";
    case soak_event::store_refuses:
        return "store_refuses";
    case soak_event::store_silent:
        return "store_silent";
    case soak_event::store_resets:
        return "store_resets";
    case soak_event::store_loses_writes:
        return "store_loses_writes";
    case soak_event::store_forgets:
        return "store_forgets";
    case soak_event::store_link:
        return "store_link";
    case soak_event::engine_link:
        return "engine_link";
    case soak_event::engine_connections_silent:
        return "engine_connections_silent";
    case soak_event::engine_crash:
        return "engine_crash";
    case soak_event::engine_answers:
        return "engine_answers";
    case soak_event::garbled_record:
        break;
    }
    return "garbled_record";
}

std::span<const soak_event> planned_events()
{
    return planned;
}

std::span<const soak_event> fault_events()
{
    return faults;
}

event_player::event_player(asio::io_context& context, world& around)
    : context_(context),
      around_(around)
{
}

void event_player::log(std::string_view event, std::string_view detail)
{
    std::cout << "at_ms=" << around_.now().since_epoch << " event=" << event << " " << detail
              << "\n";
}

millis event_player::duration(std::int64_t least, std::int64_t most)
{
    return millis{least + static_cast<std::int64_t>(
                              around_.random.below(static_cast<std::uint64_t>(most - least)))};
}

soak_router& event_player::any_router()
{
    return *around_.routers[around_.random.below(around_.routers.size())];
}

soak_engine* event_player::any_engine()
{
    std::vector<soak_engine*> staying;
    for (const std::unique_ptr<soak_engine>& engine : around_.engines)
    {
        if (!engine->leaving)
        {
            staying.push_back(engine.get());
        }
    }
    return staying.empty() ? nullptr : staying[around_.random.below(staying.size())];
}

void event_player::kill(soak_router& router)
{
    router.stopping = false;
    router.may_end = true;
    router.process->signal(SIGKILL);
    around_.promises.disturbed(around_.now());
}

awaitable<void> event_player::stop_router()
{
    soak_router& router = any_router();
    if (router.stopping || router.paused || !router.process->running())
    {
        co_return;
    }
    log("stop_router", "router=" + router.name);
    router.stopping = true;
    router.may_end = true;
    router.process->signal(SIGTERM);
    while (router.stopping && router.process->running())
    {
        co_await daemon::sleep_for(tick);
    }
}

awaitable<void> event_player::pause_router()
{
    soak_router& router = any_router();
    const millis time = duration(300, 6500);
    log("pause_router", "router=" + router.name + " for_ms=" + std::to_string(time.count));
    ++disturbances_;
    router.paused = true;
    router.stopping = false;
    router.process->signal(SIGSTOP);
    co_await daemon::sleep_for(time);
    router.process->signal(SIGCONT);
    router.paused = false;
    --disturbances_;
}

awaitable<void> event_player::drain_engine()
{
    std::size_t staying = 0;
    for (const std::unique_ptr<soak_engine>& engine : around_.engines)
    {
        staying += engine->leaving ? 0 : 1;
    }
    soak_engine* engine = any_engine();
    if (engine == nullptr || staying <= least_engines)
    {
        co_return;
    }
    log("drain_engine", "engine=" + engine->id);
    around_.begin_leave(*engine);
    co_await daemon::sleep_for(engine_leave_time);
    around_.remove(*engine);
}

awaitable<void> event_player::crash_engine()
{
    soak_engine* engine = any_engine();
    if (engine == nullptr)
    {
        co_return;
    }
    log("engine_crash", "engine=" + engine->id);
    ++disturbances_;
    engine->link->set(link_fault::refuse);
    co_await daemon::sleep_for(duration(500, 3000));
    engine->link->set(link_fault::none);
    engine->born += 1000000;
    around_.describe(*engine);
    --disturbances_;
}

awaitable<void> event_player::zone_out()
{
    const std::string zone =
        "zone-" + std::string(1, static_cast<char>('a' + around_.random.below(3)));
    log("zone_out", "zone=" + zone);
    around_.store.put("op", "evacuate/" + zone, "{}");
    around_.promises.zone_out(zone, around_.now());
    co_await daemon::sleep_for(duration(4000, 9000));
    around_.promises.zone_back(zone);
    around_.store.erase("op", "evacuate/" + zone);
    log("zone_back", "zone=" + zone);
}

awaitable<void> event_player::disturb_store(soak_event event)
{
    const millis time = duration(400, 5000);
    log(to_string(event), "for_ms=" + std::to_string(time.count));
    ++disturbances_;
    standin::store_faults& now = around_.store.faults;
    switch (event)
    {
    case soak_event::store_refuses:
        now.status = around_.random.below(2) == 0 ? 503 : 429;
        break;
    case soak_event::store_silent:
        now.silent = true;
        break;
    case soak_event::store_resets:
        now.reset = true;
        break;
    case soak_event::store_loses_writes:
        now.lose_writes = true;
        break;
    default:
        now.forget_history = true;
        break;
    }
    co_await daemon::sleep_for(time);
    around_.store.faults = {};
    --disturbances_;
}

awaitable<void> event_player::disturb_link(standin::fault_proxy& link, std::string_view whose)
{
    constexpr std::array modes{link_fault::refuse, link_fault::silent, link_fault::one_way,
                               link_fault::delayed};
    const link_fault mode = modes[around_.random.below(modes.size())];
    const millis time = duration(400, 7000);
    log("link", "of=" + std::string(whose) + " fault=" + std::string(standin::to_string(mode)) +
                    " for_ms=" + std::to_string(time.count));
    ++disturbances_;
    link.set(mode, duration(5, 400));
    co_await daemon::sleep_for(time);
    link.set(link_fault::none);
    --disturbances_;
}

awaitable<void> event_player::disturb_answers()
{
    soak_engine* engine = any_engine();
    if (engine == nullptr)
    {
        co_return;
    }
    constexpr std::array moods{engine_mood::failing, engine_mood::torn,   engine_mood::crossed,
                               engine_mood::lost,    engine_mood::silent, engine_mood::full};
    const std::size_t n = around_.random.below(moods.size());
    log("engine_answers", "engine=" + engine->id + " mood=" + std::to_string(n));
    ++disturbances_;
    engine->mood = moods[n];
    co_await daemon::sleep_for(duration(500, 4000));
    engine->mood = engine_mood::sound;
    --disturbances_;
}

void event_player::withdraw_key()
{
    if (around_.keys.size() < 2)
    {
        return;
    }
    const std::string key = around_.keys.back();
    around_.keys.pop_back();
    around_.write_configuration();
    around_.promises.key_withdrawn(key, around_.now());
    log("withdraw_key", "key=" + key);
}

awaitable<void> event_player::play(soak_event event)
{
    switch (event)
    {
    case soak_event::stop_router:
        co_await stop_router();
        break;
    case soak_event::reload:
        log("reload", "");
        any_router().process->signal(SIGHUP);
        break;
    case soak_event::add_engine:
        log("add_engine", "");
        around_.add_engine(around_.random.below(2) == 0);
        break;
    case soak_event::drain_engine:
        co_await drain_engine();
        break;
    case soak_event::zone_out:
        co_await zone_out();
        break;
    case soak_event::change_configuration:
        log("change_configuration", "");
        around_.write_configuration();
        break;
    case soak_event::withdraw_key:
        withdraw_key();
        break;
    case soak_event::kill_router:
    {
        soak_router& router = any_router();
        log("kill_router", "router=" + router.name);
        kill(router);
        break;
    }
    case soak_event::kill_all_routers:
        log("kill_all_routers", "");
        for (const std::unique_ptr<soak_router>& router : around_.routers)
        {
            kill(*router);
        }
        break;
    case soak_event::pause_router:
        co_await pause_router();
        break;
    case soak_event::store_link:
    {
        soak_router& router = any_router();
        co_await disturb_link(*router.store_link, router.name);
        break;
    }
    case soak_event::engine_link:
    {
        soak_engine* engine = any_engine();
        if (engine != nullptr)
        {
            co_await disturb_link(*engine->link, engine->id);
        }
        break;
    }
    case soak_event::engine_connections_silent:
        log("engine_connections_silent", "");
        around_.promises.disturbed(around_.now());
        for (const std::unique_ptr<soak_engine>& engine : around_.engines)
        {
            engine->link->silence_open();
        }
        break;
    case soak_event::engine_crash:
        co_await crash_engine();
        break;
    case soak_event::engine_answers:
        co_await disturb_answers();
        break;
    case soak_event::garbled_record:
        log("garbled_record", "");
        around_.store.put("servers", "stranger", around_.random.below(2) == 0 ? "{" : "\xff\xfe");
        break;
    default:
        co_await disturb_store(event);
        break;
    }
}

awaitable<void> event_player::keep_running(const bool& ending)
{
    std::map<std::string, time_point> ended_at;
    time_point described_at{0};
    while (!ending)
    {
        const time_point now = around_.now();
        if (disturbances_ > 0)
        {
            around_.promises.disturbed(now);
        }
        for (const std::unique_ptr<soak_router>& router : around_.routers)
        {
            if (router->process->running())
            {
                continue;
            }
            const auto [it, first] = ended_at.emplace(router->name, now);
            if (first && !router->may_end)
            {
                around_.promises.process_ended(router->name, router->process->last_status());
            }
            if (now - it->second >= restart_delay)
            {
                ended_at.erase(it);
                router->stopping = false;
                router->may_end = false;
                router->process->start();
            }
        }
        if (now - described_at > millis{1000})
        {
            described_at = now;
            for (const std::unique_ptr<soak_engine>& engine : around_.engines)
            {
                if (!engine->leaving)
                {
                    around_.describe(*engine);
                }
            }
        }
        co_await daemon::sleep_for(tick);
    }
}

} // namespace endivestage::soak
