#include <endivestage/ledger/attempt.hpp>

#include <endivestage/ledger/settle.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

request_attempt::request_attempt(attempt_request request, const ledger_config& config,
                                 random_source& random)
    : request_(std::move(request)),
      config_(config),
      random_(random)
{
    assert(!request_.attempt.empty());
}

attempt_actions request_attempt::start(current_time t)
{
    started_at_ = t.wall;
    request_.deadline = std::min(request_.deadline, t.now + config_.max_deadline);
    own_row_.attempt = request_.attempt;
    own_row_.router = request_.router;
    own_row_.body_digest = request_.body_digest;
    own_row_.deadline = t.wall + (request_.deadline - t.now);
    errc refusal = check_key(request_.key, t.wall, config_);
    if (refusal == errc::ok && past_deadline(t))
    {
        refusal = errc::deadline_exceeded;
    }
    if (refusal != errc::ok)
    {
        answer(refusal, refusal_execution(), t);
        finish();
        return release_actions();
    }
    start_goal(goal::reserve, t);
    return release_actions();
}

attempt_actions request_attempt::abort(errc reason, current_time t)
{
    if (!answered_ && !sent_ && goal_ != goal::settle_not_run)
    {
        not_run_reason_ = reason;
        start_goal(goal::settle_not_run, t);
    }
    return release_actions();
}

attempt_actions request_attempt::on_tick(current_time t)
{
    if (next_tick() && past_deadline(t))
    {
        answer(errc::outcome_unknown, execution::unknown, t);
        start_goal(goal::record_unknown, t);
    }
    return release_actions();
}

std::optional<time_point> request_attempt::next_tick() const
{
    return goal_ == goal::wait_for_endpoint && !answered_
               ? std::optional<time_point>(request_.deadline)
               : std::nullopt;
}

attempt_actions request_attempt::on_endpoint_outcome(const endpoint_outcome& outcome,
                                                     current_time t)
{
    assert(sent_ && !endpoint_ended_);
    endpoint_ended_ = true;
    record_deadline_ = t.now + config_.record_window;
    if (const endpoint_answered* answered = std::get_if<endpoint_answered>(&outcome))
    {
        endpoint_result_ = answered->result;
        answer(errc::ok, execution::done, t);
        start_goal(goal::record_done, t);
    }
    else if (std::holds_alternative<endpoint_not_reached>(outcome))
    {
        // No byte was sent, and this attempt does not send again, so the row may become not_run.
        not_run_reason_ = errc::endpoint_unavailable;
        start_goal(goal::settle_not_run, t);
    }
    else
    {
        answer(errc::outcome_unknown, execution::unknown, t);
        start_goal(goal::record_unknown, t);
    }
    return release_actions();
}

void request_attempt::on_goal_reached(current_time t)
{
    switch (goal_)
    {
    case goal::reserve:
        start_goal(past_deadline(t) ? goal::settle_not_run : goal::mark_sending, t);
        break;
    case goal::mark_sending:
        // Checked after the row was set to sending, since the router may have been paused before.
        if (past_deadline(t))
        {
            start_goal(goal::settle_not_run, t);
            break;
        }
        sent_ = true;
        goal_ = goal::wait_for_endpoint;
        actions_.emplace_back(send_to_endpoint{});
        break;
    case goal::settle_not_run:
        answer(not_run_reason_, execution::not_run, t);
        finish();
        break;
    default:
        finish();
        break;
    }
}

void request_attempt::answer_without_table(current_time t)
{
    if (!answered_)
    {
        answer(may_have_written_ ? errc::outcome_unknown : errc::store_unavailable,
               refusal_execution(), t);
    }
    if (!sent_)
    {
        // Nothing was sent and nothing will be sent. Settles the row after the caller was answered.
        goal_ = goal::settle_not_run;
    }
    if (!may_have_written_ || t.now >= record_deadline_)
    {
        finish();
        return;
    }
    submit_goal(t);
}

void request_attempt::answer(errc error, execution ran, current_time t)
{
    if (answered_)
    {
        return;
    }
    answered_ = true;
    record_deadline_ = t.now + config_.record_window;
    actions_.emplace_back(
        answer_caller{error, ran, error == errc::ok ? endpoint_result_ : endpoint_result{}});
}

void request_attempt::finish()
{
    if (sent_ && !endpoint_ended_)
    {
        goal_ = goal::wait_for_endpoint;
        return;
    }
    goal_ = goal::none;
    actions_.emplace_back(attempt_finished{});
}

execution request_attempt::refusal_execution() const
{
    const bool only_attempt = !request_.repeated && !found_other_row_ && !may_have_written_;
    return only_attempt ? execution::not_run : execution::unknown;
}

bool request_attempt::may_replace(const ledger_row& value, current_time t) const
{
    if (goal_ != goal::reserve || past_deadline(t))
    {
        return false;
    }
    if (value.state == ledger_state::reserved)
    {
        return is_expired(value, t.wall, config_);
    }
    // The caller of the earlier attempt may have taken not_run as the final result for its key.
    // Only an attempt that started after that answer may run the key, not one that was delayed.
    const bool started_after_answer =
        value.attempt == request_.replaces || started_at_ > value.changed + config_.clock_skew;
    return value.state == ledger_state::not_run && started_after_answer;
}

attempt_actions request_attempt::release_actions()
{
    return std::exchange(actions_, {});
}

} // namespace endivestage
