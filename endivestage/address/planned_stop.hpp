/// \file
/// \brief Planned stop of a router that interrupts no request.
#pragma once

#include <endivestage/core/clock.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief Steps of a planned stop, in order.
enum class stop_step
{
    serving,           ///< No stop was requested.
    leaving,           ///< Marked as leaving, in no new address answer; old ones may be in use.
    refusing,          ///< New connections are refused; open requests finish.
    returning_permits, ///< No request is open; permits and owned engines are handed over.
    exited,            ///< The process may exit.
};

/// \returns The stable snake_case name of a step.
std::string_view to_string(stop_step step);

/// \brief Action of the daemon when a step begins.
enum class stop_action
{
    mark_leaving,       ///< Mark as leaving in gossip, the view and the router's own answers.
    refuse_connections, ///< Close the listening sockets; keep open connections.
    close_idle,         ///< Close each persistent connection once it carries no request.
    return_permits,
    exit,
};

/// \brief Condition that a stop still waits for.
enum class stop_obstacle
{
    none,
    old_answers, ///< Callers may still use an address answer that contains this router.
    requests,    ///< Requests are still open.
    permits,     ///< Permits are not yet returned.
    view,        ///< The router is still a member of the view.
};

/// \returns The stable snake_case name of an obstacle.
std::string_view to_string(stop_obstacle obstacle);

/// \brief Tunables of a planned stop.
struct stop_config
{
    /// Time for which callers may use an address answer.
    millis answer_lifetime{5'000};
    /// Time in which the leaving mark reaches all routers; until then they answer with this
    /// address.
    millis propagation_delay{2'000};
};

/// \brief Progress of a stop, as counted by the daemon.
struct stop_progress
{
    std::size_t open_requests = 0;
    std::size_t permits = 0; ///< Held by this router on any engine.
    /// Whether another router must still replace this one in the view. False also for the only
    /// member of the view, which nobody can replace.
    bool in_view = true;
};

/// \brief State machine of a planned stop.
///
/// Each step of stop_step begins when the condition of the previous one is met: address
/// answers that contain the router have expired, no request is open, all permits are returned and
/// the router is no longer in the view.
class planned_stop
{
public:
    explicit planned_stop(stop_config config = {}) : config_(config) {}

    /// \brief Starts the stop; further calls have no effect.
    std::vector<stop_action> begin(time_point now);

    /// \brief Advances as far as the progress allows. Call at least every 100 ms while stopping.
    std::vector<stop_action> tick(const stop_progress& progress, time_point now);

    /// \returns The present step.
    stop_step step() const { return step_; }

    /// \returns When the present step began; meaningless while serving.
    time_point since() const { return since_; }

    /// \returns Whether the router may appear in address answers.
    bool is_listed() const { return step_ == stop_step::serving; }

    /// \returns Whether new connections are accepted.
    bool accepts_connections() const;

    /// \returns The condition that the present step waits for.
    stop_obstacle obstacle(const stop_progress& progress) const;

private:
    void enter(stop_step step, time_point now);
    bool answers_expired(time_point now) const;

    stop_config config_;
    stop_step step_ = stop_step::serving;
    time_point since_;
};

} // namespace endivestage
