/// \file
/// \brief Canonical JSON text of a configuration and its digest.
#pragma once

#include <endivestage/configuration/model.hpp>
#include <endivestage/core/error.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \returns The canonical JSON text: equal configurations yield identical bytes.
std::string to_json(const fleet_configuration& configuration);

/// \brief Parses the output of to_json.
/// \returns The configuration, or errc::invalid_configuration if the version is missing or
///     any check of merge_configuration fails.
result<fleet_configuration> from_json(std::string_view text);

/// \brief Digest that identifies a body (canonical JSON text) in the object store and in
/// config/fetch.
///
/// It detects corrupted and mixed-up bodies but not forged ones; calls between routers are
/// authenticated separately.
/// \returns 32 lower-case hexadecimal digits computed from the bytes of \p body.
std::string configuration_digest(std::string_view body);

} // namespace endivestage
