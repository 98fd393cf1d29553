// Implements the reads and writes of the row by request_attempt.
#include <endivestage/ledger/attempt.hpp>

#include <endivestage/ledger/settle.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

attempt_actions request_attempt::on_table_result(const table_result& given, current_time t)
{
    assert(has_outstanding_operation_);
    has_outstanding_operation_ = false;
    const bool is_write = last_operation_.what != table_operation::kind::read;
    switch (given.what)
    {
    case table_result::outcome::applied:
        may_have_written_ = may_have_written_ || is_write;
        must_read_row_ = false;
        on_row({last_operation_.key, given.row.version,
                is_write ? last_operation_.value : given.row.value},
               t);
        break;
    case table_result::outcome::conflict:
        must_read_row_ = false;
        on_row(given.row, t);
        break;
    case table_result::outcome::not_found:
        must_read_row_ = false;
        on_no_row(t);
        break;
    case table_result::outcome::lost:
        may_have_written_ = may_have_written_ || is_write;
        must_read_row_ = true;
        retry(t);
        break;
    case table_result::outcome::unavailable:
        // The request is refused immediately while no write of this attempt can have taken effect.
        // Afterwards the operation is retried, since the row may be in the table.
        may_have_written_ ? retry(t) : answer_without_table(t);
        break;
    }
    return release_actions();
}

void request_attempt::on_row(const table_row& row, current_time t)
{
    const result<ledger_row> value = decode_row(row.value);
    if (value && value->attempt == request_.attempt)
    {
        row_version_ = row.version;
        on_own_row(*value, t);
        return;
    }
    row_version_ = 0;
    found_other_row_ = true;
    if (value && !answered_)
    {
        on_other_row(row, *value, t);
        return;
    }
    answer(errc::internal, execution::unknown, t);
    finish();
}

void request_attempt::on_own_row(const ledger_row& value, current_time t)
{
    if (value.state == target_state())
    {
        on_goal_reached(t);
    }
    else if (value.state == ledger_state::not_run && !sent_)
    {
        // Another router settled the row after its deadline.
        answer(not_run_reason_, execution::not_run, t);
        finish();
    }
    else if (may_overwrite(value.state))
    {
        retry(t);
    }
    else if (goal_ == goal::mark_sending && value.state == ledger_state::unknown)
    {
        // Another router settled the row before this router received the result of its change to
        // sending.
        start_goal(goal::settle_not_run, t);
    }
    else
    {
        answer(errc::outcome_unknown, execution::unknown, t);
        finish();
    }
}

void request_attempt::on_other_row(const table_row& row, const ledger_row& value, current_time t)
{
    if (value.body_digest != request_.body_digest)
    {
        answer(errc::key_reused, execution::not_run, t);
    }
    else if (may_replace(value, t))
    {
        replace_other_row(row, t);
        return;
    }
    else if (value.state == ledger_state::not_run)
    {
        settle_as_own_row(row, t);
        return;
    }
    else if (value.state == ledger_state::sending && is_expired(value, t.wall, config_))
    {
        settle_other_row(row, t);
        return;
    }
    else
    {
        answer_from_row(value, t);
    }
    finish();
}

void request_attempt::answer_from_row(const ledger_row& value, current_time t)
{
    switch (value.state)
    {
    case ledger_state::reserved:
    case ledger_state::sending:
        answer(errc::outcome_pending, execution::unknown, t);
        break;
    case ledger_state::unknown:
        answer(errc::outcome_unknown, execution::unknown, t);
        break;
    case ledger_state::done:
        endpoint_result_ = value.answer;
        answer(value.body_stored ? errc::ok : errc::too_large, execution::done, t);
        break;
    case ledger_state::not_run:
        assert(false);
        break;
    }
}

void request_attempt::on_no_row(current_time t)
{
    row_version_ = 0;
    if (sent_ || answered_)
    {
        // The row was erased, or an abandoned insert did not arrive. If the insert arrives later,
        // the row is settled after its deadline.
        answer(errc::outcome_unknown, execution::unknown, t);
        finish();
        return;
    }
    if (goal_ == goal::mark_sending)
    {
        goal_ = goal::settle_not_run;
    }
    retry(t);
}

void request_attempt::start_goal(goal next, current_time t)
{
    goal_ = next;
    tries_ = 0;
    if (!has_outstanding_operation_)
    {
        submit_goal(t);
    }
}

void request_attempt::retry(current_time t)
{
    if (++tries_ >= config_.max_tries)
    {
        answer_without_table(t);
        return;
    }
    submit_goal(t);
}

void request_attempt::submit_goal(current_time t)
{
    if (must_read_row_)
    {
        submit({table_operation::kind::read, {}, 0, {}}, t);
        return;
    }
    own_row_.state = target_state();
    own_row_.changed = t.wall;
    if (own_row_.state == ledger_state::done)
    {
        own_row_.answer = endpoint_result_;
        own_row_.body_stored = endpoint_result_.body.size() <= config_.max_recorded_body;
    }
    const table_operation::kind what =
        row_version_ == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    submit({what, {}, row_version_, encode_row(own_row_)}, t);
}

void request_attempt::replace_other_row(const table_row& row, current_time t)
{
    if (++tries_ >= config_.max_tries)
    {
        answer_without_table(t);
        return;
    }
    own_row_.state = ledger_state::reserved;
    own_row_.changed = t.wall;
    submit({table_operation::kind::replace, {}, row.version, encode_row(own_row_)}, t);
}

void request_attempt::settle_as_own_row(const table_row& row, current_time t)
{
    // The row that was read may be outdated, an attempt that started earlier may replace it, and a
    // write of this attempt may still arrive. Writing a not_run row of this attempt excludes all
    // three.
    if (goal_ == goal::reserve && !past_deadline(t))
    {
        not_run_reason_ = errc::conflict;
    }
    goal_ = goal::settle_not_run;
    row_version_ = row.version;
    retry(t);
}

void request_attempt::settle_other_row(const table_row& row, current_time t)
{
    if (++tries_ >= config_.max_tries)
    {
        answer_without_table(t);
        return;
    }
    submit(*settle_expired(row, t.wall, config_), t);
}

void request_attempt::submit(table_operation operation, current_time t)
{
    operation.key = row_key(request_.team, request_.key);
    last_operation_ = std::move(operation);
    has_outstanding_operation_ = true;
    actions_.emplace_back(submit_operation{last_operation_, t.now + retry_delay()});
}

millis request_attempt::retry_delay()
{
    if (tries_ == 0)
    {
        return {0};
    }
    // Equal jitter keeps routers that lost the store at the same time from retrying at the same
    // time.
    const std::int64_t delay =
        std::min(config_.initial_retry_delay.count << std::min(tries_ - 1, 20),
                 config_.max_retry_delay.count);
    const std::int64_t half = delay / 2;
    return {half + static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half) + 1))};
}

ledger_state request_attempt::target_state() const
{
    switch (goal_)
    {
    case goal::reserve:
        return ledger_state::reserved;
    case goal::mark_sending:
    case goal::wait_for_endpoint:
        return ledger_state::sending;
    case goal::settle_not_run:
        return ledger_state::not_run;
    case goal::record_done:
        return ledger_state::done;
    case goal::record_unknown:
    case goal::none:
        break;
    }
    return ledger_state::unknown;
}

bool request_attempt::may_overwrite(ledger_state state) const
{
    switch (goal_)
    {
    case goal::mark_sending:
        return state == ledger_state::reserved;
    case goal::settle_not_run:
        return state != ledger_state::done;
    case goal::record_unknown:
        return state == ledger_state::sending;
    case goal::record_done:
        return true;
    default:
        return false;
    }
}

} // namespace endivestage
