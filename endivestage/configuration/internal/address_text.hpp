/// \file
/// \brief Text form of IP addresses.
#pragma once

#include <string>
#include <string_view>

namespace endivestage::internal
{

/// \returns The canonical text form of an IPv4 or IPv6 address, so that different spellings of an
///     address compare equal; empty if \p text is not an address.
std::string canonical_address(std::string_view text);

} // namespace endivestage::internal
