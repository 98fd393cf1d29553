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

constexpr millis poll_interval{50};
constexpr millis restart_delay{300};
/// Engines get requests for 2 s after they announce that they leave, and complete them.
constexpr millis engine_drain_period{5000};
constexpr std::uint64_t repeated_signal_ratio = 20;
constexpr std::size_t min_engines = 3;

// Changes of the configuration come twice as often as other planned operations.
constexpr std::array all_planned_events{soak_event::stop_router,  soak_event::reload,
                                        soak_event::add_engine,   soak_event::drain_engine,
                                        soak_event::zone_out,     soak_event::change_configuration,
                                        soak_event::withdraw_key, soak_event::change_configuration};
constexpr std::array all_fault_events{
    soak_event::kill_router,        soak_event::kill_all_routers,
    soak_event::pause_router,       soak_event::store_refuses,
    soak_event::store_silent,       soak_event::store_resets,
    soak_event::store_loses_writes, soak_event::store_forgets,
    soak_event::store_link,         soak_event::engine_link,
    soak_event::engine_crash,       soak_event::engine_connections_silent,
    soak_event::engine_answers,     soak_event::garbled_record,
    soak_event::router_cut};

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
    case soak_event::router_cut:
        return "router_cut";
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
    return all_planned_events;
}

std::span<const soak_event> fault_events()
{
    return all_fault_events;
}

event_injector::event_injector(asio::io_context& context, soak_fleet& fleet)
    : context_(context),
      fleet_(fleet)
{
}

void event_injector::log(std::string_view event, std::string_view detail)
{
    std::cout << "at_ms=" << fleet_.now().since_epoch << " event=" << event << " " << detail
              << "\n";
}

millis event_injector::random_duration(std::int64_t min_ms, std::int64_t max_ms)
{
    return millis{min_ms + static_cast<std::int64_t>(
                               fleet_.random.below(static_cast<std::uint64_t>(max_ms - min_ms)))};
}

soak_router& event_injector::random_router()
{
    return *fleet_.routers[fleet_.random.below(fleet_.routers.size())];
}

soak_engine* event_injector::random_engine()
{
    std::vector<soak_engine*> candidates;
    for (const std::unique_ptr<soak_engine>& engine : fleet_.engines)
    {
        if (!engine->draining)
        {
            candidates.push_back(engine.get());
        }
    }
    return candidates.empty() ? nullptr : candidates[fleet_.random.below(candidates.size())];
}

// Callers may see the effect before the next poll of maintain_fleet.
void event_injector::begin_fault()
{
    ++active_faults_;
    fleet_.checker.record_disturbance(fleet_.now());
}

void event_injector::end_fault()
{
    --active_faults_;
    fleet_.checker.record_disturbance(fleet_.now());
}

void event_injector::kill(soak_router& router)
{
    router.stopping = false;
    router.exit_expected = true;
    router.process->send_signal(SIGKILL);
    fleet_.checker.record_disturbance(fleet_.now());
}

awaitable<void> event_injector::stop_router()
{
    soak_router& router = random_router();
    if (router.stopping || router.paused || !router.listening || !router.process->is_running())
    {
        co_return;
    }
    log("stop_router", "router=" + router.name);
    router.stopping = true;
    router.exit_expected = true;
    router.process->send_signal(SIGTERM);
    while (router.stopping && router.process->is_running())
    {
        if (fleet_.random.below(repeated_signal_ratio) == 0)
        {
            router.process->send_signal(fleet_.random.below(2) == 0 ? SIGHUP : SIGTERM);
        }
        co_await daemon::sleep_for(poll_interval);
    }
}

awaitable<void> event_injector::pause_router()
{
    soak_router& router = random_router();
    const millis time = random_duration(300, 6500);
    log("pause_router", "router=" + router.name + " for_ms=" + std::to_string(time.count));
    begin_fault();
    router.paused = true;
    router.stopping = false;
    router.process->send_signal(SIGSTOP);
    co_await daemon::sleep_for(time);
    router.process->send_signal(SIGCONT);
    router.paused = false;
    end_fault();
}

awaitable<void> event_injector::drain_engine()
{
    std::size_t serving_count = 0;
    for (const std::unique_ptr<soak_engine>& engine : fleet_.engines)
    {
        serving_count += engine->draining ? 0 : 1;
    }
    soak_engine* engine = random_engine();
    if (engine == nullptr || serving_count <= min_engines)
    {
        co_return;
    }
    log("drain_engine", "engine=" + engine->id);
    fleet_.begin_drain(*engine);
    co_await daemon::sleep_for(engine_drain_period);
    fleet_.remove(*engine);
}

awaitable<void> event_injector::crash_engine()
{
    soak_engine* engine = random_engine();
    if (engine == nullptr)
    {
        co_return;
    }
    log("engine_crash", "engine=" + engine->id);
    begin_fault();
    engine->link->set_fault(link_fault::refuse);
    co_await daemon::sleep_for(random_duration(500, 3000));
    engine->link->set_fault(link_fault::none);
    engine->incarnation += 1000000;
    engine->version = fleet_.random_version();
    fleet_.write_engine_record(*engine);
    end_fault();
}

awaitable<void> event_injector::zone_out()
{
    const std::string zone =
        "zone-" + std::string(1, static_cast<char>('a' + fleet_.random.below(3)));
    log("zone_out", "zone=" + zone);
    fleet_.store.put("op", "evacuate/" + zone, "{}");
    fleet_.checker.record_zone_out_of_service(zone, fleet_.now());
    co_await daemon::sleep_for(random_duration(4000, 9000));
    fleet_.checker.record_zone_in_service(zone);
    fleet_.store.erase("op", "evacuate/" + zone);
    log("zone_back", "zone=" + zone);
}

awaitable<void> event_injector::inject_store_fault(soak_event event)
{
    const millis time = random_duration(400, 5000);
    log(to_string(event), "for_ms=" + std::to_string(time.count));
    begin_fault();
    standin::store_faults& faults = fleet_.store.faults;
    switch (event)
    {
    case soak_event::store_refuses:
        faults.status = fleet_.random.below(2) == 0 ? 503 : 429;
        break;
    case soak_event::store_silent:
        faults.silent = true;
        break;
    case soak_event::store_resets:
        faults.reset = true;
        break;
    case soak_event::store_loses_writes:
        faults.lose_write_responses = true;
        break;
    default:
        faults.drop_history = true;
        break;
    }
    co_await daemon::sleep_for(time);
    fleet_.store.faults = {};
    end_fault();
}

awaitable<void> event_injector::inject_link_fault(standin::fault_proxy& link, std::string_view name)
{
    constexpr std::array link_faults{link_fault::refuse, link_fault::silent, link_fault::one_way,
                                     link_fault::delayed};
    const link_fault fault = link_faults[fleet_.random.below(link_faults.size())];
    const millis time = random_duration(400, 7000);
    log("link", "of=" + std::string(name) + " fault=" + std::string(standin::to_string(fault)) +
                    " for_ms=" + std::to_string(time.count));
    begin_fault();
    link.set_fault(fault, random_duration(5, 400));
    co_await daemon::sleep_for(time);
    link.set_fault(link_fault::none);
    end_fault();
}

awaitable<void> event_injector::cut_router()
{
    if (fleet_.has_router_cut())
    {
        co_return;
    }
    soak_router& router = random_router();
    const link_fault fault = fleet_.random.below(2) == 0 ? link_fault::silent : link_fault::refuse;
    const millis time = random_duration(2000, 9000);
    log("router_cut", "router=" + router.name + " fault=" + std::string(standin::to_string(fault)) +
                          " for_ms=" + std::to_string(time.count));
    begin_fault();
    fleet_.set_router_cut(router, fault);
    co_await daemon::sleep_for(time);
    fleet_.set_router_cut(router, link_fault::none);
    end_fault();
}

awaitable<void> event_injector::inject_response_fault()
{
    soak_engine* engine = random_engine();
    if (engine == nullptr)
    {
        co_return;
    }
    // The log field mood is an index into this list.
    constexpr std::array behaviors{engine_behavior::failing,    engine_behavior::truncated,
                                   engine_behavior::mismatched, engine_behavior::reset,
                                   engine_behavior::silent,     engine_behavior::full};
    const std::size_t n = fleet_.random.below(behaviors.size());
    log("engine_answers", "engine=" + engine->id + " mood=" + std::to_string(n));
    begin_fault();
    engine->behavior = behaviors[n];
    co_await daemon::sleep_for(random_duration(500, 4000));
    engine->behavior = engine_behavior::normal;
    end_fault();
}

void event_injector::withdraw_key()
{
    if (fleet_.keys.size() < 2)
    {
        return;
    }
    const std::string key = fleet_.keys.back();
    fleet_.keys.pop_back();
    fleet_.write_configuration();
    fleet_.checker.record_key_withdrawn(key, fleet_.now());
    log("withdraw_key", "key=" + key);
}

awaitable<void> event_injector::inject(soak_event event)
{
    switch (event)
    {
    case soak_event::stop_router:
        co_await stop_router();
        break;
    case soak_event::reload:
    {
        soak_router& router = random_router();
        if (router.listening)
        {
            log("reload", "router=" + router.name);
            router.process->send_signal(SIGHUP);
        }
        break;
    }
    case soak_event::add_engine:
        log("add_engine", "");
        fleet_.add_engine(fleet_.random.below(2) == 0);
        break;
    case soak_event::drain_engine:
        co_await drain_engine();
        break;
    case soak_event::zone_out:
        co_await zone_out();
        break;
    case soak_event::change_configuration:
        log("change_configuration", "");
        fleet_.write_configuration();
        break;
    case soak_event::withdraw_key:
        withdraw_key();
        break;
    case soak_event::kill_router:
    {
        soak_router& router = random_router();
        log("kill_router", "router=" + router.name);
        kill(router);
        break;
    }
    case soak_event::kill_all_routers:
        log("kill_all_routers", "");
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            kill(*router);
        }
        break;
    case soak_event::pause_router:
        co_await pause_router();
        break;
    case soak_event::store_link:
    {
        soak_router& router = random_router();
        co_await inject_link_fault(*router.store_link, router.name);
        break;
    }
    case soak_event::engine_link:
    {
        soak_engine* engine = random_engine();
        if (engine != nullptr)
        {
            co_await inject_link_fault(*engine->link, engine->id);
        }
        break;
    }
    case soak_event::engine_connections_silent:
        log("engine_connections_silent", "");
        fleet_.checker.record_disturbance(fleet_.now());
        for (const std::unique_ptr<soak_engine>& engine : fleet_.engines)
        {
            engine->link->silence_connections();
        }
        break;
    case soak_event::router_cut:
        co_await cut_router();
        break;
    case soak_event::engine_crash:
        co_await crash_engine();
        break;
    case soak_event::engine_answers:
        co_await inject_response_fault();
        break;
    case soak_event::garbled_record:
        log("garbled_record", "");
        fleet_.store.put("servers", "stranger", fleet_.random.below(2) == 0 ? "{" : "\xff\xfe");
        break;
    default:
        co_await inject_store_fault(event);
        break;
    }
}

awaitable<void> event_injector::measure_delay(const bool& stopping)
{
    while (!stopping)
    {
        const time_point due = fleet_.now() + soak_fleet::observation_interval;
        co_await daemon::sleep_for(soak_fleet::observation_interval);
        const millis delay = fleet_.now() - due;
        if (delay > soak_fleet::observation_interval)
        {
            fleet_.checker.record_observer_delay(delay);
        }
    }
}

awaitable<void> event_injector::maintain_fleet(const bool& stopping)
{
    std::map<std::string, time_point> exited_at;
    time_point records_written_at{0};
    while (!stopping)
    {
        const time_point now = fleet_.now();
        if (active_faults_ > 0)
        {
            fleet_.checker.record_disturbance(now);
        }
        for (const std::unique_ptr<soak_router>& router : fleet_.routers)
        {
            if (router->process->is_running())
            {
                if (!router->listening)
                {
                    router->listening = co_await is_listening(soak_fleet::caller_address(*router));
                }
                continue;
            }
            router->listening = false;
            const auto [it, inserted] = exited_at.emplace(router->name, now);
            if (inserted && !router->exit_expected)
            {
                fleet_.checker.record_process_exit(router->name, router->process->wait_status());
            }
            if (now - it->second >= restart_delay)
            {
                exited_at.erase(it);
                router->stopping = false;
                router->exit_expected = false;
                router->process->start();
            }
        }
        if (now - records_written_at > millis{1000})
        {
            records_written_at = now;
            for (const std::unique_ptr<soak_engine>& engine : fleet_.engines)
            {
                if (!engine->draining)
                {
                    fleet_.write_engine_record(*engine);
                }
            }
        }
        co_await daemon::sleep_for(poll_interval);
    }
}

} // namespace endivestage::soak
