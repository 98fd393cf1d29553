/// \file
/// \brief Faults and planned operations of a run, chosen at random from its seed.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <soak/fleet.hpp>

#include <span>
#include <string_view>

namespace endivestage::soak
{

/// \brief Event during a run.
enum class soak_event
{
    // Planned operations.
    stop_router, ///< SIGTERM, sometimes with more signals while the router stops; then a restart.
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
    store_link,                ///< A \ref standin::link_fault between one router and the store.
    engine_link,               ///< A \ref standin::link_fault between the routers and one engine.
    router_cut,                ///< One router loses its links to all engines.
    engine_connections_silent, ///< Open connections to engines stay silent until they end.
    engine_crash,
    engine_answers, ///< One engine shows an \ref engine_behavior other than normal.
    garbled_record, ///< An engine record that cannot be parsed.
};

/// \returns The snake_case name of an event.
std::string_view to_string(soak_event event);

std::span<const soak_event> planned_events();
std::span<const soak_event> fault_events();

/// \brief Starts events and ends their effects.
class event_injector
{
public:
    event_injector(boost::asio::io_context& context, soak_fleet& fleet);

    /// \brief Starts an event; completes when its effect has ended.
    daemon::awaitable<void> inject(soak_event event);

    /// \brief Restarts routers that have exited, reports those that exited unexpectedly, and writes
    /// the engines' records periodically.
    /// \param stopping Ends the loop when it becomes true.
    daemon::awaitable<void> maintain_fleet(const bool& stopping);

    /// \brief Records how late this process observes callers and engines, which is no delay of a
    /// router.
    /// \param stopping Ends the loop when it becomes true.
    daemon::awaitable<void> measure_delay(const bool& stopping);

    /// \brief Writes one line of the run's log to standard output.
    void log(std::string_view event, std::string_view detail);

private:
    daemon::awaitable<void> stop_router();
    daemon::awaitable<void> pause_router();
    daemon::awaitable<void> drain_engine();
    daemon::awaitable<void> crash_engine();
    daemon::awaitable<void> zone_out();
    daemon::awaitable<void> inject_store_fault(soak_event event);
    daemon::awaitable<void> inject_link_fault(standin::fault_proxy& link, std::string_view name);
    daemon::awaitable<void> cut_router();
    daemon::awaitable<void> inject_response_fault();
    void withdraw_key();
    void begin_fault();
    void end_fault();
    void kill(soak_router& router);
    soak_router& random_router();

    /// \returns An engine that is not draining; null without one.
    soak_engine* random_engine();

    /// \returns A random duration in [min_ms, max_ms).
    millis random_duration(std::int64_t min_ms, std::int64_t max_ms);

    boost::asio::io_context& context_;
    soak_fleet& fleet_;
    int active_faults_ = 0;
};

} // namespace endivestage::soak
