/// \file
/// \brief Text form of IP addresses.
#pragma once

#include <string>
#include <string_view>

namespace endivestage::internal
{

/// \returns The usual text form of an IPv4 or IPv6 address, so that two spellings of one address
///     are equal; empty when \p text is not an address.
std::string canonical_address(std::string_view text);

} // namespace endivestage::internal
