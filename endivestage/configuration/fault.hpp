/// \file
/// \brief Typed faults of configuration files.
#pragma once

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief What is wrong at one place of a configuration file.
enum class configuration_fault_kind
{
    syntax,             ///< The content is not a JSON document.
    duplicate_key,      ///< One object holds a key twice, or two files have one name.
    unknown_key,        ///< No such key is defined here.
    wrong_type,         ///< The value has another JSON type than the key asks for.
    out_of_range,       ///< The value has the right type but is not allowed.
    missing_key,        ///< A required key is in no file.
    dangling_reference, ///< The value names an entry that does not exist.
    duplicate_address,  ///< Another endpoint has the same host and port.
    duplicate_id,       ///< Another endpoint or pool has the same id.
    duplicate_route,    ///< The service has this method and prefix twice.
};

/// \returns The stable snake_case name of a kind.
std::string_view to_string(configuration_fault_kind kind);

/// \brief One fault with its place.
struct configuration_fault
{
    configuration_fault_kind kind = configuration_fault_kind::syntax;
    std::string file;   ///< Name of the file that set the value.
    std::string path;   ///< Keys joined with '.', list positions as numbers; empty: the document.
    std::string reason; ///< Text for people.

    bool operator==(const configuration_fault&) const = default;
};

} // namespace endivestage
