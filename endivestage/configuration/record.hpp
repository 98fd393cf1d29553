/// \file
/// \brief The row of the table service that lists the committed configurations.
#pragma once

#include <endivestage/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief Key of the configuration row; there is only one.
inline constexpr std::string_view configuration_row_key = "configuration";

/// \brief Identifies a committed configuration.
struct configuration_stamp
{
    std::uint64_t version = 0; ///< 0 if nothing has been committed.
    std::string digest; ///< Digest of the body (canonical JSON text); see configuration_digest.

    bool operator==(const configuration_stamp&) const = default;
};

/// \brief A commit as recorded in the row.
struct configuration_commit_entry
{
    configuration_stamp stamp;
    std::string author;
    std::string apply_id; ///< Unique id of the `config apply` run; stored under the key "apply".

    bool operator==(const configuration_commit_entry&) const = default;
};

/// \brief Value of the configuration row.
struct configuration_record
{
    /// Maximum number of recorded commits. A run whose answer was lost finds its own entry among
    /// them even after others have committed later versions.
    static constexpr std::size_t max_entries = 16;

    std::vector<configuration_commit_entry> entries; ///< Newest first; consecutive versions.

    /// \returns The stamp of the newest commit; version 0 if there are no entries.
    configuration_stamp current() const;

    bool operator==(const configuration_record&) const = default;
};

/// \returns The record as JSON text, the value of the row.
std::string to_json(const configuration_record& record);

/// \returns The record parsed from the value of the row, or errc::invalid_configuration.
result<configuration_record> configuration_record_from_json(std::string_view text);

} // namespace endivestage
