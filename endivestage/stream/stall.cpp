#include <endivestage/stream/stall.hpp>

namespace endivestage
{

stall_detector::stall_detector(const stall_config& limits, time_point now)
    : limits_(limits),
      since_(now)
{
}

void stall_detector::on_progress(time_point now)
{
    if (state_ != state::ended)
    {
        rounds_ = 0;
        watch(now);
    }
}

void stall_detector::set_paused(bool paused, time_point now)
{
    paused_ = paused;
    if (state_ == state::watching)
    {
        since_ = now;
    }
}

stall_actions stall_detector::on_ping(bool succeeded, time_point now)
{
    if (state_ != state::probing)
    {
        return {};
    }
    ping_ = succeeded;
    return judge(now);
}

stall_actions stall_detector::on_resume(bool succeeded, time_point now)
{
    if (state_ != state::probing)
    {
        return {};
    }
    resume_ = succeeded;
    return judge(now);
}

stall_actions stall_detector::on_tick(time_point now)
{
    const std::optional<time_point> due = next_tick();
    if (!due || now < *due)
    {
        return {};
    }
    if (state_ == state::probing)
    {
        ping_ = ping_.value_or(false);
        resume_ = resume_.value_or(false);
        return judge(now);
    }
    state_ = state::probing;
    since_ = now;
    ping_.reset();
    resume_.reset();
    return {ping_endpoint{}, resume_on_new_connection{}};
}

std::optional<time_point> stall_detector::next_tick() const
{
    switch (state_)
    {
    case state::watching:
        return paused_ ? std::nullopt
                       : std::optional<time_point>(since_ + limits_.progress_timeout);
    case state::probing:
        return since_ + limits_.probe_timeout;
    case state::ended:
        break;
    }
    return std::nullopt;
}

stall_actions stall_detector::judge(time_point now)
{
    if (resume_ == true)
    {
        // Only bytes on the new connection reset the number of rounds; accepting a resume and
        // staying silent would otherwise go on without end.
        return next_round(now);
    }
    if (!ping_ || !resume_)
    {
        return {};
    }
    if (!*ping_)
    {
        state_ = state::ended;
        return {suspect_endpoint{}};
    }
    return next_round(now);
}

stall_actions stall_detector::next_round(time_point now)
{
    if (++rounds_ >= limits_.max_rounds)
    {
        state_ = state::ended;
        return {abandon_stream{}};
    }
    watch(now);
    return {};
}

void stall_detector::watch(time_point now)
{
    state_ = state::watching;
    since_ = now;
}

} // namespace endivestage
