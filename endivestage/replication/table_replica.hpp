/// \file
/// \brief A router's copy of one table, kept up to date from a feed of changes.
#pragma once

#include <endivestage/core.hpp>

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
    std::string data;           ///< Opaque to this module.
    std::uint64_t revision = 0; ///< Of the transaction that wrote it; grows over the whole table.
    bool deleted = false;

    bool operator==(const replicated_row&) const = default;
};

/// \brief An answer of a source of changes.
struct change_batch
{
    std::vector<replicated_row> rows; ///< In order of their revisions.
    std::uint64_t revision = 0;       ///< The rows include everything up to this.
    bool complete = false;            ///< All rows of the table, not only changed ones.
};

/// \brief Rows of one table with a bounded history of changes.
///
/// The same class follows the table service and serves other routers. A batch that is older than
/// what is known changes nothing, so a router never goes back.
class table_replica
{
public:
    /// \param history Changes kept for \ref changes_since.
    explicit table_replica(std::size_t history = 512) : history_(history) {}

    /// \brief Takes a batch.
    /// \returns The rows that differ from before, deletions included, in order.
    std::vector<replicated_row> apply(const change_batch& batch);

    /// \returns What changed after \p revision; all rows when the history does not reach so far.
    change_batch changes_since(std::uint64_t revision) const;

    /// \returns Everything up to this revision is known; nothing before the first batch.
    std::optional<std::uint64_t> revision() const { return revision_; }

    const replicated_row* find(std::string_view key) const;

    std::vector<replicated_row> rows() const;

private:
    bool take(const replicated_row& row);

    std::size_t history_;
    std::optional<std::uint64_t> revision_;
    std::uint64_t history_start_ = 0; ///< Changes after this revision are in log_.
    std::map<std::string, replicated_row, std::less<>> rows_;
    std::deque<replicated_row> log_;
};

} // namespace endivestage
