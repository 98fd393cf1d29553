/// \file
/// \brief A router's copy of one table, kept up to date from a feed of changes.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/table_position.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief A row as the table service stores it.
struct replicated_row
{
    std::string key;
    std::string data; ///< Not interpreted by this module.
    /// Revision of the transaction that wrote the row; increases over the whole table within an
    /// era.
    std::uint64_t revision = 0;
    bool deleted = false;

    bool operator==(const replicated_row&) const = default;
};

/// \brief Rows that a source of changes answers with.
struct change_batch
{
    std::vector<replicated_row> rows; ///< In order of their revisions.
    std::uint64_t revision = 0;       ///< The rows include all changes up to this revision.
    bool complete = false;            ///< The rows are the whole table, not only changes.
    std::uint64_t era = 0;            ///< Of the revisions; 0 if the table service states none.

    table_position position() const { return {revision, era}; }
};

/// \brief Copy of the rows of one table, with a bounded history of changes.
///
/// A relay uses the same object to follow the table service and to serve its followers. A batch
/// with an older position than the copy is ignored, so that a copy never returns to an older state.
/// A later era begins with a complete batch: changes since a revision of an earlier era lack the
/// rows that were written under lower revisions. Of a row that was written several times only the
/// newest version is kept and passed on.
class table_replica
{
public:
    /// \param max_history Number of changes kept for \ref changes_since.
    explicit table_replica(std::size_t max_history = 512) : max_history_(max_history) {}

    /// \brief Applies a batch.
    /// \returns The rows that this changed, deletions included, in the order of the batch, without
    /// versions that the same batch replaces; rows that a complete batch lacks follow as deletions.
    /// All rows of the first batch of an era count as changed, since their revisions are new.
    std::vector<replicated_row> apply(const change_batch& batch);

    /// \returns The changes after \p since; all rows if the history does not reach back that far;
    /// none if \p since belongs to a later era than the copy.
    change_batch changes_since(const table_position& since) const;

    /// \returns Whether \ref changes_since would return a row or the whole table.
    bool has_changes_since(const table_position& since) const;

    /// \returns Whether the history has all changes after \p since.
    bool has_history_since(const table_position& since) const
    {
        return since.era == era() && since.revision >= history_start_;
    }

    /// \returns Whether \p since belongs to a later era than the copy.
    bool is_behind(const table_position& since) const { return since.era > era(); }

    /// \returns A number that differs whenever the result of \ref changes_since may differ.
    std::uint64_t generation() const { return generation_; }

    /// \returns Position up to which the copy includes all changes; nothing before the first batch.
    const std::optional<table_position>& position() const { return position_; }

    /// \returns Revision of \ref position.
    std::optional<std::uint64_t> revision() const
    {
        return position_ ? std::optional<std::uint64_t>(position_->revision) : std::nullopt;
    }

    /// \returns Era of the copy's revisions; 0 before the first batch.
    std::uint64_t era() const { return position_ ? position_->era : 0; }

    /// \returns The row with this key; null if there is none.
    const replicated_row* find(std::string_view key) const;

    std::vector<replicated_row> rows() const;

private:
    /// \brief A change in the history; the data is in rows_.
    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    /// \returns Whether no later version has replaced the row that this change wrote.
    bool is_newest(const change& entry) const;
    /// \returns Whether the row differed from the copy.
    bool apply_row(const replicated_row& row);
    /// \brief Replaces all rows by those of a complete batch of a later era.
    std::vector<replicated_row> replace(const change_batch& batch);

    std::size_t max_history_;
    std::optional<table_position> position_;
    std::uint64_t history_start_ = 0; ///< log_ has all changes after this revision.
    std::map<std::string, replicated_row, std::less<>> rows_;
    std::deque<change> log_;
    std::uint64_t generation_ = 0;
};

} // namespace endivestage
