/// \file
/// \brief Rows of the routers' table that list the versions of a service that served lately.
#pragma once

#include <endivestage/core.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \returns The key of a service's row. Its prefix tells it from the rows of routers.
std::string version_row_key(const service_id& service);

/// \returns The service of a row with such a key; nothing for other rows of the table.
std::optional<service_id> parse_version_row_key(std::string_view key);

/// \param versions Names, see version_name.
std::string encode_version_row(std::span<const std::string> versions);

/// \returns The names, or errc::invalid_request if the data cannot be read.
result<std::vector<std::string>> decode_version_row(std::string_view data);

} // namespace endivestage::serving
