/// \file
/// \brief Settings file of a router.
#pragma once

#include <endivestage/daemon/network_address.hpp>
#include <endivestage/serving/router_state.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief Settings of a router: its identity, its addresses and the platform's bounds.
struct server_settings
{
    router_id name;
    zone_id zone;
    region_id region;
    std::string host;            ///< IP address of this host.
    std::uint16_t peer_port = 0; ///< TCP and UDP port for other routers.
    daemon::network_address callers;
    daemon::network_address readiness;
    daemon::network_address directory;
    daemon::network_address metrics;
    daemon::network_address table_service;
    bool first_start = false; ///< The whole fleet starts for the first time.
    double cpu_share = 1.0;   ///< Processor cores that the host grants; may be a fraction.
    std::size_t memory = router_state::default_host_memory; ///< Bytes that the host grants.
    /// Descriptors that the host grants; by default what the operating system allows the process.
    std::optional<std::size_t> descriptors;
    server_bounds bounds;
    overload_config overload;
};

/// \brief An invalid or missing setting.
struct settings_fault
{
    std::string key; ///< Path of the member, such as "bounds.revocation_ms".
    errc code = errc::invalid_settings;
    std::string_view reason; ///< One of fixed texts, such as "missing" or "not_an_address".
};

/// \brief The parsed settings and all faults found in them.
struct settings_outcome
{
    server_settings settings;
    std::vector<settings_fault> faults; ///< Empty when the settings may be used.
};

/// \brief Parses settings from JSON. Unknown members are ignored.
settings_outcome parse_server_settings(std::string_view text);

} // namespace endivestage::serving
