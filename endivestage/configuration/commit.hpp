/// \file
/// \brief Commits a new configuration version.
#pragma once

#include <endivestage/configuration/model.hpp>
#include <endivestage/configuration/record.hpp>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace endivestage
{

/// \brief A configuration to commit.
struct configuration_commit_request
{
    fleet_configuration configuration; ///< Validated; its version is set by the commit.
    std::string author;
    /// Unique id of the run. It shows whether a row found after a lost answer was written by this
    /// run or by a concurrent one.
    std::string apply_id;
    /// Version that the operator edited; the commit fails if it is not the current one. None to
    /// accept any current version.
    std::optional<std::uint64_t> base_version;
    std::uint32_t max_attempts = 6; ///< Attempts for each of the three steps; positive.
    millis retry_delay{500};        ///< Delay before a retry.
};

/// \brief Action: write the body to the object store under its digest; report the outcome with
/// on_body_stored.
struct store_body
{
    std::string digest;
    std::string body;
    millis delay; ///< Delay before the action.
};

/// \brief Action: send the operation to the table service; report the result with on_table_result.
struct call_table
{
    table_operation operation;
    millis delay; ///< Delay before the action.
};

/// \brief Final action of a commit.
struct commit_finished
{
    /// - errc::ok: committed as stamp.version.
    /// - errc::conflict: not committed; conflicting_commit is the commit that prevented it.
    /// - errc::store_unavailable: not committed.
    /// - errc::outcome_unknown: the write may or may not have taken effect.
    /// - errc::invalid_configuration: the row could not be parsed.
    errc code = errc::ok;
    configuration_stamp stamp;
    configuration_commit_entry conflicting_commit;
    bool superseded = false; ///< Committed, but the row already holds a later version.
};

using commit_action = std::variant<store_body, call_table, commit_finished>;

/// \brief State machine of `config apply`: reads the row, stores the body, then updates the row by
/// compare-and-set.
///
/// Exactly one action is outstanding at any time. After a write whose answer was lost, the row is
/// read again, because only the row shows whether the commit took effect.
class configuration_commit
{
public:
    explicit configuration_commit(configuration_commit_request request);

    /// \brief Starts the commit. Must be called once, first.
    commit_action start();

    /// \brief Input: the write of the body has completed or failed.
    /// \param stored Whether the object store confirmed the write. Repeating the write is harmless.
    commit_action on_body_stored(bool stored);

    /// \brief Input: the result of the outstanding call_table.
    commit_action on_table_result(const table_result& answer);

    /// \returns Whether commit_finished was returned; no input is allowed after it.
    bool finished() const { return step_ == step::finished; }

private:
    enum class step
    {
        created,
        reading,
        storing,
        writing,
        resolving,
        finished,
    };

    commit_action on_read(const table_result& answer);
    commit_action on_write(const table_result& answer);
    commit_action on_resolving_read(const table_result& answer);
    commit_action prepare(const table_row& row);
    commit_action resolve(const table_row& row);
    commit_action read_row(step next, millis delay);
    commit_action write_body(millis delay);
    commit_action write_row(millis delay);
    commit_action finish(errc code);
    commit_action finish_conflict(const configuration_commit_entry& conflicting_commit);
    bool consume_attempt();
    errc failure_code() const;

    configuration_commit_request request_;
    step step_ = step::created;
    std::uint32_t attempts_left_ = 0;
    bool may_be_written_ = false;
    configuration_stamp stamp_;
    std::string body_;
    table_operation row_write_;
};

} // namespace endivestage
