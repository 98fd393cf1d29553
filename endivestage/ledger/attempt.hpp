/// \file
/// \brief State machine of one attempt of a non-idempotent request.
///
/// An attempt reserves the request's row, sets it to sending before it sends, and then records the
/// outcome in it.
#pragma once

#include <endivestage/ledger/key.hpp>
#include <endivestage/ledger/row.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief The current time on both clocks.
struct current_time
{
    time_point now;  ///< Monotonic clock of this router.
    time_point wall; ///< Wall clock of this router.
};

/// \brief The request that an attempt runs.
struct attempt_request
{
    team_id team;
    std::string key;         ///< The caller's Idempotency-Key.
    std::string body_digest; ///< Digest of the body; equal for equal bodies.
    attempt_id attempt;      ///< Must not have been used before, on any router.
    router_id router;        ///< This router.
    time_point deadline;     ///< Monotonic clock of this router; nothing is sent from then on.
    /// Whether the caller may have submitted this key before. If the store is unavailable, the
    /// router cannot exclude that an earlier attempt runs, and answers execution::unknown.
    bool repeated = false;
    /// The earlier attempt whose not_run answer caused this submission, by the caller or by this
    /// router if it did not forward that answer; empty if there is none. The row of that attempt
    /// may be replaced immediately, without allowing for the clock skew.
    attempt_id replaces;
};

/// \brief Action: run a table operation and pass its table_result to on_table_result.
struct submit_operation
{
    table_operation operation;
    time_point not_before; ///< Monotonic clock; in the future if the operation is a retry.
};

/// \brief Action: send the request to the endpoint now. An attempt returns it at most once.
struct send_to_endpoint
{
};

/// \brief Action: answer the caller. An attempt returns it exactly once.
struct answer_caller
{
    errc error = errc::ok;              ///< errc::ok if result is the answer.
    execution ran = execution::unknown; ///< Whether the request ran, if known.
    endpoint_result result;             ///< Set if error is errc::ok.
};

/// \brief Action: the attempt needs no more input and can be destroyed.
struct attempt_finished
{
};

using attempt_action =
    std::variant<submit_operation, send_to_endpoint, answer_caller, attempt_finished>;
using attempt_actions = std::vector<attempt_action>;

/// \brief Outcome: the endpoint answered completely.
struct endpoint_answered
{
    endpoint_result result;
};

/// \brief Outcome: the connection failed before any byte of the request was written to it.
struct endpoint_not_reached
{
};

/// \brief Outcome: the connection was lost or the answer timed out after a byte was written.
struct endpoint_connection_lost
{
};

using endpoint_outcome =
    std::variant<endpoint_answered, endpoint_not_reached, endpoint_connection_lost>;

/// \brief One attempt of a request.
///
/// The embedding program performs the returned actions in order. At most one table operation is
/// outstanding, and each gets exactly one table_result; an operation without a result is reported
/// as lost after a timeout of the embedding program.
class request_attempt
{
public:
    /// \param random Source of the jitter of retry delays; must outlive the attempt.
    request_attempt(attempt_request request, const ledger_config& config, random_source& random);

    /// \brief Starts the attempt; must be called once. The deadline is limited to
    /// ledger_config::max_deadline from now.
    attempt_actions start(current_time t);

    /// \brief Processes the result of the outstanding table operation.
    attempt_actions on_table_result(const table_result& given, current_time t);

    /// \brief Processes the outcome of the send; must be called once after send_to_endpoint.
    attempt_actions on_endpoint_outcome(const endpoint_outcome& outcome, current_time t);

    /// \brief Aborts the attempt before the send, for example because no permit was granted. Has no
    /// effect after the send.
    /// \param reason Error in the answer to the caller if the row could be set to not_run.
    attempt_actions abort(errc reason, current_time t);

    /// \brief Answers execution::unknown if the endpoint has not answered by the deadline. A later
    /// answer of the endpoint is still recorded.
    attempt_actions on_tick(current_time t);

    /// \returns When on_tick must be called; nothing if it has no work.
    std::optional<time_point> next_tick() const;

    /// \returns Whether the answer to the caller was returned.
    bool answered() const { return answered_; }

private:
    /// The state that the attempt tries to establish in the row, or the event that it waits for.
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

    void start_goal(goal next, current_time t);
    void retry(current_time t);
    void on_row(const table_row& row, current_time t);
    void on_own_row(const ledger_row& value, current_time t);
    void on_other_row(const table_row& row, const ledger_row& value, current_time t);
    void on_no_row(current_time t);
    void on_goal_reached(current_time t);
    void answer_without_table(current_time t);
    void answer(errc error, execution ran, current_time t);
    void answer_from_row(const ledger_row& value, current_time t);
    void finish();
    void submit_goal(current_time t);
    void replace_other_row(const table_row& row, current_time t);
    void settle_as_own_row(const table_row& row, current_time t);
    void settle_other_row(const table_row& row, current_time t);
    void submit(table_operation operation, current_time t);
    millis retry_delay();
    bool past_deadline(current_time t) const { return t.now >= request_.deadline; }
    bool may_replace(const ledger_row& value, current_time t) const;
    bool may_overwrite(ledger_state state) const;
    execution refusal_execution() const;
    ledger_state target_state() const;
    attempt_actions release_actions();

    attempt_request request_;
    const ledger_config config_;
    random_source& random_;
    attempt_actions actions_;
    table_operation last_operation_;
    ledger_row own_row_;
    time_point started_at_;
    time_point record_deadline_;
    goal goal_ = goal::reserve;
    errc not_run_reason_ = errc::deadline_exceeded;
    endpoint_result endpoint_result_;
    std::uint64_t row_version_ = 0;
    int tries_ = 0;
    bool has_outstanding_operation_ = false;
    bool may_have_written_ = false;
    bool must_read_row_ = false;
    bool found_other_row_ = false;
    bool sent_ = false;
    bool endpoint_ended_ = false;
    bool answered_ = false;
};

} // namespace endivestage
