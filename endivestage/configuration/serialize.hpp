/// \file
/// \brief Canonical text of a configuration and its digest.
#pragma once

#include <endivestage/configuration/model.hpp>
#include <endivestage/core/error.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \returns The canonical JSON text: equal configurations give equal bytes.
std::string to_json(const fleet_configuration& configuration);

/// \brief Reads a text that to_json wrote.
/// \returns The configuration, or errc::invalid_configuration when any check of
///     merge_configuration fails.
result<fleet_configuration> from_json(std::string_view text);

/// \brief Names a body in the object store and in config/fetch.
///
/// It detects damage and mix-ups, not forgery: calls between routers are authenticated apart.
/// \returns 32 lower-case hexadecimal digits computed from the bytes of \p body.
std::string configuration_digest(std::string_view body);

} // namespace endivestage
