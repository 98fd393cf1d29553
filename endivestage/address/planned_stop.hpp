/// \file
/// \brief Planned stop of a router without interrupting a request.
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
    serving,           ///< No stop asked for.
    leaving,           ///< Marked as leaving and in no new answer; old answers may still be in use.
    refusing,          ///< New connections are refused; open requests finish.
    returning_permits, ///< No request is left; permits and owned engines are handed over.
    exited,            ///< The process may end.
};

/// \returns The stable snake_case name of a step.
std::string_view to_string(stop_step step);

/// \brief What the daemon does on entering a step.
enum class stop_action
{
    mark_leaving,       ///< In gossip and in the view; also stops its own address answers.
    refuse_connections, ///< Close the listening sockets; keep open connections.
    close_idle,         ///< Close each kept connection once it carries no request.
    return_permits,
    exit,
};

/// \brief What still holds a stop.
enum class stop_obstacle
{
    none,
    old_answers, ///< Callers may hold an address answer that names this router.
    requests,    ///< Open requests.
    permits,     ///< Permits not yet returned.
    view,        ///< The router is still a member of the view.
};

/// \returns The stable snake_case name of an obstacle.
std::string_view to_string(stop_obstacle obstacle);

/// \brief Times of a planned stop.
struct stop_config
{
    millis answer_lifetime{5'000};
    /// Time for the leaving mark to reach all routers, which answer with this address until then.
    millis propagation_delay{2'000};
};

/// \brief What the daemon counts.
struct stop_progress
{
    std::size_t open_requests = 0;
    std::size_t permits = 0; ///< Held by this router on any engine.
    /// Whether another router must still take over from this one in the view. False also for the
    /// only member, whose place nobody can take.
    bool in_view = true;
};

/// \brief State machine of section 2.10 of the design page.
class planned_stop
{
public:
    explicit planned_stop(stop_config settings = {}) : settings_(settings) {}

    /// \brief Starts the stop; further calls change nothing.
    std::vector<stop_action> begin(time_point now);

    /// \brief Moves on as far as the progress allows. Call at least every 100 ms while stopping.
    std::vector<stop_action> tick(const stop_progress& progress, time_point now);

    /// \returns The present step.
    stop_step step() const { return step_; }

    /// \returns When the present step was entered; meaningless while serving.
    time_point since() const { return since_; }

    /// \returns Whether the router may appear in address answers.
    bool is_listed() const { return step_ == stop_step::serving; }

    /// \returns Whether a new connection is accepted.
    bool accepts_connections() const;

    /// \returns What the present step waits for.
    stop_obstacle obstacle(const stop_progress& progress) const;

private:
    void enter(stop_step step, time_point now);
    bool answers_expired(time_point now) const;

    stop_config settings_;
    stop_step step_ = stop_step::serving;
    time_point since_;
};

} // namespace endivestage
