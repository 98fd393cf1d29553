#include <endivestage/ledger/attempt.hpp>

#include <endivestage/ledger/settle.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

request_attempt::request_attempt(attempt_request request, const ledger_config& limits,
                                 random_source& random)
    : request_(std::move(request)),
      limits_(limits),
      random_(random)
{
    assert(!request_.attempt.empty());
}

attempt_actions request_attempt::start(current_time t)
{
    started_wall_ = t.wall;
    request_.deadline = std::min(request_.deadline, t.now + limits_.max_deadline);
    own_.attempt = request_.attempt;
    own_.router = request_.router;
    own_.body_digest = request_.body_digest;
    own_.deadline = t.wall + (request_.deadline - t.now);
    errc refusal = check_key(request_.key, t.wall, limits_);
    if (refusal == errc::ok && past_deadline(t))
    {
        refusal = errc::deadline_exceeded;
    }
    if (refusal != errc::ok)
    {
        answer(refusal, refused(), t);
        finish();
        return take();
    }
    pursue(goal::reserve, t);
    return take();
}

attempt_actions request_attempt::abort(errc reason, current_time t)
{
    if (!answered_ && !sent_ && goal_ != goal::settle_not_run)
    {
        reason_ = reason;
        pursue(goal::settle_not_run, t);
    }
    return take();
}

attempt_actions request_attempt::on_tick(current_time t)
{
    if (next_tick() && past_deadline(t))
    {
        answer(errc::outcome_unknown, execution::unknown, t);
        pursue(goal::record_unknown, t);
    }
    return take();
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
    record_until_ = t.now + limits_.record_window;
    if (const endpoint_answered* answered = std::get_if<endpoint_answered>(&outcome))
    {
        result_ = answered->result;
        answer(errc::ok, execution::done, t);
        pursue(goal::record_done, t);
    }
    else if (std::holds_alternative<endpoint_not_reached>(outcome))
    {
        // No byte left, and this attempt never sends again: the row may still become not_run.
        reason_ = errc::endpoint_unavailable;
        pursue(goal::settle_not_run, t);
    }
    else
    {
        answer(errc::outcome_unknown, execution::unknown, t);
        pursue(goal::record_unknown, t);
    }
    return take();
}

void request_attempt::on_goal_reached(current_time t)
{
    switch (goal_)
    {
    case goal::reserve:
        pursue(past_deadline(t) ? goal::settle_not_run : goal::mark_sending, t);
        break;
    case goal::mark_sending:
        // Checked after the row says sending: the router may have been paused before.
        if (past_deadline(t))
        {
            pursue(goal::settle_not_run, t);
            break;
        }
        sent_ = true;
        goal_ = goal::wait_for_endpoint;
        actions_.emplace_back(send_to_endpoint{});
        break;
    case goal::settle_not_run:
        answer(reason_, execution::not_run, t);
        finish();
        break;
    default:
        finish();
        break;
    }
}

void request_attempt::give_up(current_time t)
{
    if (!answered_)
    {
        answer(row_possible_ ? errc::outcome_unknown : errc::store_unavailable, refused(), t);
    }
    if (!sent_)
    {
        // Nothing was sent and nothing will be: the row is settled in the background.
        goal_ = goal::settle_not_run;
    }
    if (!row_possible_ || t.now >= record_until_)
    {
        finish();
        return;
    }
    write_goal(t);
}

void request_attempt::answer(errc error, execution ran, current_time t)
{
    if (answered_)
    {
        return;
    }
    answered_ = true;
    record_until_ = t.now + limits_.record_window;
    actions_.emplace_back(
        answer_caller{error, ran, error == errc::ok ? result_ : endpoint_result{}});
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

execution request_attempt::refused() const
{
    const bool only_attempt = !request_.repeated && !key_seen_ && !row_possible_;
    return only_attempt ? execution::not_run : execution::unknown;
}

bool request_attempt::may_take_over(const ledger_row& value, current_time t) const
{
    if (goal_ != goal::reserve || past_deadline(t))
    {
        return false;
    }
    if (value.state == ledger_state::reserved)
    {
        return is_expired(value, t.wall, limits_);
    }
    // The caller of the earlier attempt may have read not_run as the last word on its key. Only an
    // attempt that began after that may run the key, not one that was delayed until then.
    const bool began_after =
        value.attempt == request_.replaces || started_wall_ > value.changed + limits_.clock_skew;
    return value.state == ledger_state::not_run && began_after;
}

attempt_actions request_attempt::take()
{
    return std::exchange(actions_, {});
}

} // namespace endivestage
