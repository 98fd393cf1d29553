/// \file
/// \brief Commit of a new configuration version.
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

/// \brief What to apply.
struct configuration_commit_request
{
    fleet_configuration configuration; ///< Validated; its version is set by the commit.
    std::string author;
    std::string
        apply_id; ///< Unique per run, so that a lost answer can be told from a rival's commit.
    std::optional<std::uint64_t>
        base_version;               ///< Version the operator started from; none: the present one.
    std::uint32_t max_attempts = 6; ///< Times that each of the three steps is tried; positive.
    millis retry_delay{500};        ///< Wait before a repeated attempt.
};

/// \brief Action: write the body under its digest; answer with on_body_stored.
struct store_body
{
    std::string digest;
    std::string body;
    millis delay; ///< Wait this long first.
};

/// \brief Action: carry this to the table; answer with on_table_result.
struct call_table
{
    table_operation operation;
    millis delay; ///< Wait this long first.
};

/// \brief Final action of a commit.
struct commit_finished
{
    /// errc::ok: committed as stamp.version. errc::conflict: not committed, conflicting_commit
    /// names the commit that is in the way. errc::store_unavailable: not committed.
    /// errc::outcome_unknown: the write may or may not have taken effect.
    /// errc::invalid_configuration: the row is unreadable.
    errc code = errc::ok;
    configuration_stamp stamp;
    configuration_commit_entry conflicting_commit;
    bool superseded = false; ///< Committed, and a later version was already found on top of it.
};

using commit_action = std::variant<store_body, call_table, commit_finished>;

/// \brief State machine of `config apply`: read the row, store the body, compare-and-set the row.
///
/// Exactly one action is outstanding at any time. A write whose answer is lost is settled by
/// reading the row: only the row tells whether the commit happened.
class configuration_commit
{
public:
    explicit configuration_commit(configuration_commit_request apply);

    /// \brief Starts the commit. Must be called once, first.
    commit_action start();

    /// \brief Input: the body write ended.
    /// \param stored Whether the object store confirmed it. A body write may be repeated freely.
    commit_action on_body_stored(bool stored);

    /// \brief Input: the answer to the outstanding call_table.
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
        settling,
        finished,
    };

    commit_action on_read(const table_result& answer);
    commit_action on_write(const table_result& answer);
    commit_action on_settling_read(const table_result& answer);
    commit_action prepare(const table_row& row);
    commit_action settle(const table_row& row);
    commit_action read_row(step next, millis delay);
    commit_action write_body(millis delay);
    commit_action write_row(millis delay);
    commit_action finish(errc code);
    commit_action finish_conflict(const configuration_commit_entry& conflicting_commit);
    bool spend_attempt();
    errc failure_code() const;

    configuration_commit_request apply_;
    step step_ = step::created;
    std::uint32_t attempts_left_ = 0;
    bool maybe_written_ = false;
    configuration_stamp stamp_;
    std::string body_;
    table_operation write_;
};

} // namespace endivestage
