/// \file
/// \brief IP address and port of a process.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace endivestage::daemon
{

/// \brief Where a process listens.
struct network_address
{
    std::string host; ///< IPv4 or IPv6 literal, without brackets.
    std::uint16_t port = 0;

    auto operator<=>(const network_address&) const = default;
};

/// \returns "host:port", with brackets around an IPv6 host.
inline std::string to_string(const network_address& address)
{
    const bool v6 = address.host.find(':') != std::string::npos;
    return (v6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

} // namespace endivestage::daemon
