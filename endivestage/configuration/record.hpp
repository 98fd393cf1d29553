/// \file
/// \brief The configuration row of the table service.
#pragma once

#include <endivestage/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief Key of the only configuration row.
inline constexpr std::string_view configuration_row_key = "configuration";

/// \brief Names one committed body.
struct configuration_stamp
{
    std::uint64_t version = 0; ///< 0: nothing committed.
    std::string digest;        ///< Of the body; see configuration_digest.

    bool operator==(const configuration_stamp&) const = default;
};

/// \brief One commit as the row remembers it.
struct configuration_commit_entry
{
    configuration_stamp stamp;
    std::string author;
    std::string apply_id; ///< Unique id of the run of `config apply` that wrote it.

    bool operator==(const configuration_commit_entry&) const = default;
};

/// \brief Value of the configuration row.
struct configuration_record
{
    /// A run whose answer was lost finds its own entry here even after others committed on top.
    static constexpr std::size_t max_entries = 16;

    std::vector<configuration_commit_entry> entries; ///< Newest first, versions descending by one.

    /// \returns The newest stamp; version 0 when there are no entries.
    configuration_stamp current() const;

    bool operator==(const configuration_record&) const = default;
};

/// \returns The record as JSON text for the row.
std::string to_json(const configuration_record& record);

/// \returns The record of a row value, or errc::invalid_configuration.
result<configuration_record> configuration_record_from_json(std::string_view text);

} // namespace endivestage
