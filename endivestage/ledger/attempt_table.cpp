// The part of request_attempt that reads and writes the row.
#include <endivestage/ledger/attempt.hpp>

#include <endivestage/ledger/settle.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

attempt_actions request_attempt::on_table_result(const table_result& given, current_time t)
{
    assert(outstanding_);
    outstanding_ = false;
    const bool is_write = last_.what != table_operation::kind::read;
    switch (given.what)
    {
    case table_result::outcome::applied:
        row_possible_ = row_possible_ || is_write;
        read_back_ = false;
        on_row({last_.key, given.row.version, is_write ? last_.value : given.row.value}, t);
        break;
    case table_result::outcome::conflict:
        read_back_ = false;
        on_row(given.row, t);
        break;
    case table_result::outcome::not_found:
        read_back_ = false;
        on_no_row(t);
        break;
    case table_result::outcome::lost:
        row_possible_ = row_possible_ || is_write;
        read_back_ = true;
        retry(t);
        break;
    case table_result::outcome::unavailable:
        // Rule 6: refused at once while no write of this attempt can have taken effect.
        row_possible_ ? retry(t) : give_up(t);
        break;
    }
    return take();
}

void request_attempt::on_row(const table_row& row, current_time t)
{
    const result<ledger_row> value = decode_row(row.value);
    if (value && value->attempt == request_.attempt)
    {
        version_ = row.version;
        on_own_row(*value, t);
        return;
    }
    version_ = 0;
    key_seen_ = true;
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
    if (value.state == target())
    {
        on_goal_reached(t);
    }
    else if (value.state == ledger_state::not_run && !sent_)
    {
        // Another router settled the row because its deadline had passed.
        answer(reason_, execution::not_run, t);
        finish();
    }
    else if (may_write_over(value.state))
    {
        retry(t);
    }
    else if (goal_ == goal::mark_sending && value.state == ledger_state::unknown)
    {
        // Another router settled the row before its change to sending was confirmed here.
        pursue(goal::settle_not_run, t);
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
    else if (may_take_over(value, t))
    {
        replace_other(row, t);
        return;
    }
    else if (value.state == ledger_state::not_run)
    {
        settle_again(row, t);
        return;
    }
    else if (value.state == ledger_state::sending && is_expired(value, t.wall, limits_))
    {
        settle_other(row, t);
        return;
    }
    else
    {
        answer_from(value, t);
    }
    finish();
}

void request_attempt::answer_from(const ledger_row& value, current_time t)
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
        result_ = value.answer;
        answer(value.body_stored ? errc::ok : errc::too_large, execution::done, t);
        break;
    case ledger_state::not_run:
        assert(false);
        break;
    }
}

void request_attempt::on_no_row(current_time t)
{
    version_ = 0;
    if (sent_ || answered_)
    {
        // The row was erased, or an insert that was given up never arrived; if it arrives later,
        // its deadline settles it.
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

void request_attempt::pursue(goal next, current_time t)
{
    goal_ = next;
    tries_ = 0;
    if (!outstanding_)
    {
        write_goal(t);
    }
}

void request_attempt::retry(current_time t)
{
    if (++tries_ >= limits_.max_tries)
    {
        give_up(t);
        return;
    }
    write_goal(t);
}

void request_attempt::write_goal(current_time t)
{
    if (read_back_)
    {
        submit({table_operation::kind::read, {}, 0, {}}, t);
        return;
    }
    own_.state = target();
    own_.changed = t.wall;
    if (own_.state == ledger_state::done)
    {
        own_.answer = result_;
        own_.body_stored = result_.body.size() <= limits_.max_recorded_body;
    }
    const table_operation::kind what =
        version_ == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    submit({what, {}, version_, encode_row(own_)}, t);
}

void request_attempt::replace_other(const table_row& row, current_time t)
{
    if (++tries_ >= limits_.max_tries)
    {
        give_up(t);
        return;
    }
    own_.state = ledger_state::reserved;
    own_.changed = t.wall;
    submit({table_operation::kind::replace, {}, row.version, encode_row(own_)}, t);
}

void request_attempt::settle_again(const table_row& row, current_time t)
{
    // The row that was read may be out of date, an attempt that began earlier may replace it, and a
    // write of this attempt may still arrive. The write of an own not_run row excludes all three.
    if (goal_ == goal::reserve && !past_deadline(t))
    {
        reason_ = errc::conflict;
    }
    goal_ = goal::settle_not_run;
    version_ = row.version;
    retry(t);
}

void request_attempt::settle_other(const table_row& row, current_time t)
{
    if (++tries_ >= limits_.max_tries)
    {
        give_up(t);
        return;
    }
    submit(*settle_expired(row, t.wall, limits_), t);
}

void request_attempt::submit(table_operation operation, current_time t)
{
    operation.key = row_key(request_.team, request_.key);
    last_ = std::move(operation);
    outstanding_ = true;
    actions_.emplace_back(submit_operation{last_, t.now + pause()});
}

millis request_attempt::pause()
{
    if (tries_ == 0)
    {
        return {0};
    }
    // Equal jitter: routers that lost the store together do not return together.
    const std::int64_t full =
        std::min(limits_.initial_retry_delay.count << std::min(tries_ - 1, 20),
                 limits_.max_retry_delay.count);
    const std::int64_t half = full / 2;
    return {half + static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half) + 1))};
}

ledger_state request_attempt::target() const
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

bool request_attempt::may_write_over(ledger_state state) const
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
