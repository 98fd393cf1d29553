/// \file
/// \brief Faults and planned work of a run, drawn from its seed.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <soak/fleet.hpp>

#include <span>
#include <string_view>

namespace endivestage::soak
{

/// \brief What can happen during a run.
enum class soak_event
{
    // Planned work.
    stop_router, ///< SIGTERM, then a new start.
    reload,      ///< SIGHUP.
    add_engine,
    drain_engine,
    zone_out,
    change_configuration,
    withdraw_key,
    // Faults.
    kill_router,
    kill_all_routers,
    pause_router,
    store_refuses,
    store_silent,
    store_resets,
    store_loses_writes,
    store_forgets,
    store_link, ///< Of one router: refused, silent, one way or delayed.
    engine_link,
    engine_connections_silent, ///< Open ones, for good.
    engine_crash,
    engine_answers, ///< Failing, torn, crossed, lost, silent or full.
    garbled_record, ///< A record of an engine that cannot be read.
};

/// \returns The snake_case name of an event.
std::string_view to_string(soak_event event);

std::span<const soak_event> planned_events();
std::span<const soak_event> fault_events();

/// \brief Starts events and undoes them.
class event_injector
{
public:
    event_injector(boost::asio::io_context& context, soak_fleet& fleet);

    /// \brief Plays an event to its end.
    daemon::awaitable<void> inject(soak_event event);

    /// \brief Starts routers again that have ended, reports those that ended by themselves, and
    /// writes the engines' records now and then.
    daemon::awaitable<void> maintain_fleet(const bool& ending);

    /// \brief Prints one line of the run's log.
    void log(std::string_view event, std::string_view detail);

private:
    daemon::awaitable<void> stop_router();
    daemon::awaitable<void> pause_router();
    daemon::awaitable<void> drain_engine();
    daemon::awaitable<void> crash_engine();
    daemon::awaitable<void> zone_out();
    daemon::awaitable<void> disturb_store(soak_event event);
    daemon::awaitable<void> disturb_link(standin::fault_proxy& link, std::string_view whose);
    daemon::awaitable<void> disturb_answers();
    void withdraw_key();
    void kill(soak_router& router);
    soak_router& any_router();
    soak_engine* any_engine();
    millis duration(std::int64_t least, std::int64_t most);

    boost::asio::io_context& context_;
    soak_fleet& fleet_;
    int disturbances_ = 0; ///< Faults in effect.
};

} // namespace endivestage::soak
