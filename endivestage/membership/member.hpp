/// \file
/// \brief Identity and addresses of a router process.
#pragma once

#include <cstdint>
#include <endivestage/core/ids.hpp>
#include <string>

namespace endivestage
{

/// \brief One run of a router process, as the other routers see it.
struct member
{
    router_id id;
    zone_id zone;
    std::string host;           ///< IP address.
    std::uint16_t port = 0;     ///< TCP port of peer calls.
    std::uint16_t udp_port = 0; ///< UDP port of probes.
    /// Increases with each start of the process. It must be larger than in every earlier run of
    /// the same router: a restart loses the state that the earlier run had promised to keep.
    std::uint64_t incarnation = 0;
    bool leaving = false; ///< Is being stopped by an operator; owns no engines.

    bool operator==(const member&) const = default;
};

/// \returns Whether \p a and \p b are the same run of the same router.
inline bool same_run(const member& a, const member& b)
{
    return a.incarnation == b.incarnation && a.id == b.id;
}

} // namespace endivestage
