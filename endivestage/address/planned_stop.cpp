#include <endivestage/address/planned_stop.hpp>

namespace endivestage
{

std::string_view to_string(stop_step step)
{
    switch (step)
    {
    case stop_step::serving:
        return "serving";
    case stop_step::leaving:
        return "leaving";
    case stop_step::refusing:
        return "refusing";
    case stop_step::returning_permits:
        return "returning_permits";
    case stop_step::exited:
        break;
    }
    return "exited";
}

std::string_view to_string(stop_obstacle obstacle)
{
    switch (obstacle)
    {
    case stop_obstacle::none:
        return "none";
    case stop_obstacle::old_answers:
        return "old_answers";
    case stop_obstacle::requests:
        return "requests";
    case stop_obstacle::permits:
        return "permits";
    case stop_obstacle::view:
        break;
    }
    return "view";
}

std::vector<stop_action> planned_stop::begin(time_point now)
{
    if (step_ != stop_step::serving)
    {
        return {};
    }
    enter(stop_step::leaving, now);
    return {stop_action::mark_leaving};
}

std::vector<stop_action> planned_stop::tick(const stop_progress& progress, time_point now)
{
    std::vector<stop_action> actions;
    if (step_ == stop_step::leaving && answers_expired(now))
    {
        enter(stop_step::refusing, now);
        actions = {stop_action::refuse_connections, stop_action::close_idle};
        // A connection may have been accepted after the progress was counted.
        return actions;
    }
    if (step_ == stop_step::refusing && progress.open_requests == 0)
    {
        enter(stop_step::returning_permits, now);
        actions.push_back(stop_action::return_permits);
    }
    if (step_ == stop_step::returning_permits && obstacle(progress) == stop_obstacle::none)
    {
        enter(stop_step::exited, now);
        actions.push_back(stop_action::exit);
    }
    return actions;
}

bool planned_stop::accepts_connections() const
{
    return step_ == stop_step::serving || step_ == stop_step::leaving;
}

stop_obstacle planned_stop::obstacle(const stop_progress& progress) const
{
    if (step_ == stop_step::serving || step_ == stop_step::exited)
    {
        return stop_obstacle::none;
    }
    if (step_ == stop_step::leaving)
    {
        return stop_obstacle::old_answers;
    }
    if (progress.open_requests > 0)
    {
        return stop_obstacle::requests;
    }
    if (progress.permits > 0)
    {
        return stop_obstacle::permits;
    }
    return progress.in_view ? stop_obstacle::view : stop_obstacle::none;
}

void planned_stop::enter(stop_step step, time_point now)
{
    step_ = step;
    since_ = now;
}

bool planned_stop::answers_expired(time_point now) const
{
    return now - since_ >= config_.propagation_delay + config_.answer_lifetime;
}

} // namespace endivestage
