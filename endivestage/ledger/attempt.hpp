/// \file
/// \brief State machine of one attempt of a non-idempotent request (section 2.6).
#pragma once

#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief The present instant on both clocks.
struct current_time
{
    time_point now;  ///< Monotonic clock of this router.
    time_point wall; ///< Wall clock.
};

/// \brief What an attempt is asked to run.
struct attempt_request
{
    team_id team;
    std::string key;         ///< The caller's Idempotency-Key.
    std::string body_digest; ///< Digest of the body; equal for equal bodies.
    attempt_id attempt;      ///< Never used before, on any router.
    router_id router;        ///< This router.
    time_point deadline;     ///< Monotonic clock of this router; nothing is sent after it.
    /// True when the caller may have submitted this key before. Without access to the store a
    /// router cannot exclude that an earlier attempt runs, so it then says unknown.
    bool repeated = false;
    /// The attempt whose not_run answer made the caller (or this router, when it kept that answer
    /// to itself) submit the key again; empty when there is none. It may be replaced at once,
    /// without waiting for the clock skew.
    attempt_id replaces;
};

/// \brief Action: carry out a table operation and hand its table_result to on_table_result.
struct submit_operation
{
    table_operation operation;
    time_point not_before; ///< Monotonic clock; in the future when the operation is repeated.
};

/// \brief Action: send the request to the endpoint now. Given at most once by an attempt.
struct send_to_endpoint
{
};

/// \brief Action: answer the caller. Given exactly once by an attempt.
struct answer_caller
{
    errc error = errc::ok; ///< errc::ok when result is the answer.
    execution ran = execution::unknown;
    endpoint_result result; ///< Set when error is errc::ok.
};

/// \brief Action: the attempt needs no more input and can be destroyed.
struct attempt_finished
{
};

using attempt_action =
    std::variant<submit_operation, send_to_endpoint, answer_caller, attempt_finished>;
using attempt_actions = std::vector<attempt_action>;

/// \brief Input: the endpoint's complete answer.
struct endpoint_answered
{
    endpoint_result result;
};

/// \brief Input: the connection failed and not one byte of the request was written to it.
struct endpoint_not_reached
{
};

/// \brief Input: the connection broke or the answer timed out after a byte was written.
struct endpoint_connection_lost
{
};

using endpoint_outcome =
    std::variant<endpoint_answered, endpoint_not_reached, endpoint_connection_lost>;

/// \brief One attempt. The adapter carries out the actions in order, at most one table operation is
/// outstanding, and each gets exactly one table_result (lost after the adapter's timeout).
class request_attempt
{
public:
    /// \param random Used for pauses between tries; must outlive the attempt.
    request_attempt(attempt_request request, const ledger_config& limits, random_source& random);

    /// \brief Begins; call once. The deadline is cut to limits.max_deadline from now.
    attempt_actions start(current_time t);

    /// \brief Takes the result of the outstanding table operation.
    attempt_actions on_table_result(const table_result& given, current_time t);

    /// \brief Takes what became of the send; call once after send_to_endpoint.
    attempt_actions on_endpoint_outcome(const endpoint_outcome& outcome, current_time t);

    /// \brief Gives the attempt up before the send, for example because no permit was granted. Has
    /// no effect after the send.
    /// \param reason Error of the answer when the row could be set to not_run.
    attempt_actions abort(errc reason, current_time t);

    /// \brief Answers unknown when the endpoint has not answered by the deadline. A later answer is
    /// still recorded.
    attempt_actions on_tick(current_time t);

    /// \returns When on_tick has work; nothing when only other inputs are awaited.
    std::optional<time_point> next_tick() const;

    /// \returns Whether the caller was answered.
    bool answered() const { return answered_; }

private:
    /// What the attempt is trying to make the row say.
    enum class goal
    {
        none,
        reserve,
        mark_sending,
        wait_for_endpoint,
        settle_not_run,
        record_unknown,
        record_done,
    };

    void pursue(goal next, current_time t);
    void retry(current_time t);
    void on_row(const table_row& row, current_time t);
    void on_own_row(const ledger_row& value, current_time t);
    void on_other_row(const table_row& row, const ledger_row& value, current_time t);
    void on_no_row(current_time t);
    void on_goal_reached(current_time t);
    void give_up(current_time t);
    void answer(errc error, execution ran, current_time t);
    void answer_from(const ledger_row& value, current_time t);
    void finish();
    void write_goal(current_time t);
    void replace_other(const table_row& row, current_time t);
    void settle_again(const table_row& row, current_time t);
    void settle_other(const table_row& row, current_time t);
    void submit(table_operation operation, current_time t);
    millis pause();
    bool past_deadline(current_time t) const { return t.now >= request_.deadline; }
    bool may_take_over(const ledger_row& value, current_time t) const;
    bool may_write_over(ledger_state state) const;
    execution refused() const;
    ledger_state target() const;
    attempt_actions take();

    attempt_request request_;
    const ledger_config limits_;
    random_source& random_;
    attempt_actions actions_;
    table_operation last_;
    ledger_row own_;
    time_point started_wall_;
    time_point record_until_;
    goal goal_ = goal::reserve;
    errc reason_ = errc::deadline_exceeded;
    endpoint_result result_;
    std::uint64_t version_ = 0;
    int tries_ = 0;
    bool outstanding_ = false;
    bool row_possible_ = false;
    bool read_back_ = false;
    bool key_seen_ = false;
    bool sent_ = false;
    bool endpoint_ended_ = false;
    bool answered_ = false;
};

} // namespace endivestage
