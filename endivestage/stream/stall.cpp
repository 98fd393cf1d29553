#include <endivestage/stream/stall.hpp>

namespace endivestage
{

stall_detector::stall_detector(const stall_config& config, time_point now)
    : config_(config),
      timer_start_(now)
{
}

void stall_detector::on_progress(time_point now)
{
    if (state_ != state::ended)
    {
        rounds_without_progress_ = 0;
        start_watching(now);
    }
}

void stall_detector::set_paused(bool paused, time_point now)
{
    paused_ = paused;
    if (state_ == state::watching)
    {
        timer_start_ = now;
    }
}

stall_actions stall_detector::on_ping(bool succeeded, time_point now)
{
    if (state_ != state::probing)
    {
        return {};
    }
    ping_succeeded_ = succeeded;
    return evaluate_probe(now);
}

stall_actions stall_detector::on_resume(bool succeeded, time_point now)
{
    if (state_ != state::probing)
    {
        return {};
    }
    resume_succeeded_ = succeeded;
    return evaluate_probe(now);
}

stall_actions stall_detector::on_tick(time_point now)
{
    const std::optional<time_point> next_timeout = next_tick();
    if (!next_timeout || now < *next_timeout)
    {
        return {};
    }
    if (state_ == state::probing)
    {
        ping_succeeded_ = ping_succeeded_.value_or(false);
        resume_succeeded_ = resume_succeeded_.value_or(false);
        return evaluate_probe(now);
    }
    state_ = state::probing;
    timer_start_ = now;
    ping_succeeded_.reset();
    resume_succeeded_.reset();
    return {ping_endpoint{}, resume_on_new_connection{}};
}

std::optional<time_point> stall_detector::next_tick() const
{
    switch (state_)
    {
    case state::watching:
        return paused_ ? std::nullopt
                       : std::optional<time_point>(timer_start_ + config_.progress_timeout);
    case state::probing:
        return timer_start_ + config_.probe_timeout;
    case state::ended:
        break;
    }
    return std::nullopt;
}

stall_actions stall_detector::evaluate_probe(time_point now)
{
    if (resume_succeeded_ == true)
    {
        // Only new bytes reset the number of rounds. An endpoint that accepts each resume but sends
        // nothing would otherwise keep the stream open forever.
        return finish_round(now);
    }
    if (!ping_succeeded_ || !resume_succeeded_)
    {
        return {};
    }
    if (!*ping_succeeded_)
    {
        state_ = state::ended;
        return {suspect_endpoint{}};
    }
    return finish_round(now);
}

stall_actions stall_detector::finish_round(time_point now)
{
    if (++rounds_without_progress_ >= config_.max_rounds)
    {
        state_ = state::ended;
        return {abandon_stream{}};
    }
    start_watching(now);
    return {};
}

void stall_detector::start_watching(time_point now)
{
    state_ = state::watching;
    timer_start_ = now;
}

} // namespace endivestage
