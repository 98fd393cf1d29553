/// \file
/// \brief Validation and conversion of text from external sources.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endivestage
{

/// \returns Whether \p text is valid UTF-8.
bool is_utf8(std::string_view text);

/// \returns The bytes of \p data as upper-case hexadecimal digits.
std::string to_hex(std::string_view data);

/// \returns The bytes that \p digits encode; nothing when it is not an even number of hexadecimal
/// digits.
std::optional<std::string> from_hex(std::string_view digits);

} // namespace endivestage
