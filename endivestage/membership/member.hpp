/// \file
/// \brief A router as the other routers know it.
#pragma once

#include <cstdint>
#include <endivestage/core/ids.hpp>
#include <string>

namespace endivestage
{

/// \brief Identity and addresses of one run of a router process.
struct member
{
    router_id id;
    zone_id zone;
    std::string host;           ///< IP address.
    std::uint16_t port = 0;     ///< TCP port of peer calls.
    std::uint16_t udp_port = 0; ///< UDP port of probes.
    /// Grows with each start of the process. Must be larger than that of any earlier run of the
    /// same router, since state that an earlier run promised to keep is gone.
    std::uint64_t incarnation = 0;
    bool leaving = false; ///< Stops on an operator's order; owns no engines.

    bool operator==(const member&) const = default;
};

/// \returns Whether both are the same run of the same router.
inline bool same_run(const member& a, const member& b)
{
    return a.incarnation == b.incarnation && a.id == b.id;
}

} // namespace endivestage
