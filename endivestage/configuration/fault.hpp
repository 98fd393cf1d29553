/// \file
/// \brief Faults found in configuration files.
#pragma once

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief Kind of a fault in a configuration file.
enum class configuration_fault_kind
{
    syntax,             ///< The content is not a JSON document.
    duplicate_key,      ///< An object contains a key twice, or two files have the same name.
    unknown_key,        ///< The schema defines no such key here.
    wrong_type,         ///< The JSON type of the value is not the one the key requires.
    out_of_range,       ///< The value has the right type but is not a permitted value.
    missing_key,        ///< No file sets a required key.
    dangling_reference, ///< The value or a removal refers to an entry that does not exist.
    duplicate_address,  ///< Another endpoint has the same host and port.
    duplicate_id,       ///< Another endpoint or pool has the same id.
    duplicate_route,    ///< Two routes of a service have the same method and prefix.
};

/// \returns The snake_case name of the kind. Operators see the names, so they must not change.
std::string_view to_string(configuration_fault_kind kind);

/// \brief A fault and its location.
struct configuration_fault
{
    configuration_fault_kind kind = configuration_fault_kind::syntax;
    std::string file;   ///< Name of the file that set the value.
    std::string path;   ///< Keys and list positions joined with '.'; empty for the whole document.
    std::string reason; ///< Human-readable explanation.

    bool operator==(const configuration_fault&) const = default;
};

} // namespace endivestage
