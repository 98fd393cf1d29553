/// \file
/// \brief Digests of request bodies and tokens.
#pragma once

#include <string>
#include <string_view>

namespace endivestage::daemon
{

/// \returns The SHA-256 digest of \p data as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

} // namespace endivestage::daemon
