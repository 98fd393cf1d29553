/// \file
/// \brief Merge of configuration files into one validated configuration.
#pragma once

#include <endivestage/configuration/fault.hpp>
#include <endivestage/configuration/model.hpp>

#include <span>
#include <string>
#include <vector>

namespace endivestage
{

/// \brief A configuration file: a JSON document with a name.
struct configuration_file
{
    std::string name;
    std::string content;
};

/// \brief Outcome of a merge.
struct configuration_merge_result
{
    fleet_configuration configuration;       ///< Meaningful only if there are no faults.
    std::vector<configuration_fault> faults; ///< Sorted by file and path.

    /// \returns Whether the files form a valid configuration.
    bool ok() const { return faults.empty(); }
};

/// \brief Merges files in order of their names and validates the result.
///
/// Objects are merged by key as in RFC 7396 (JSON Merge Patch): a later file overrides or extends
/// the entry with the same id, and null removes an entry. Lists are replaced as a whole.
/// \param files In any order; names must differ.
/// \returns The configuration with version 0, or all faults found.
configuration_merge_result merge_configuration(std::span<const configuration_file> files);

} // namespace endivestage
