/// \file
/// \brief Settings file of a router.
#pragma once

#include <endivestage/daemon/network_address.hpp>
#include <endivestage/serving/router_state.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivestage::serving
{

/// \brief What a router is told about itself and its platform.
struct server_settings
{
    router_id name;
    zone_id zone;
    region_id region;
    std::string host;            ///< IP address of this host.
    std::uint16_t peer_port = 0; ///< TCP and UDP, for other routers.
    daemon::network_address callers;
    daemon::network_address readiness;
    daemon::network_address directory;
    daemon::network_address metrics;
    daemon::network_address table_service;
    double cpu_share = 1.0; ///< Part of a core that the host gives.
    server_bounds bounds;
};

/// \brief Something wrong in a settings file.
struct settings_fault
{
    std::string key; ///< Path of the member, such as "bounds.revocation_ms".
    errc code = errc::invalid_settings;
    std::string_view reason; ///< A fixed text: "missing", "not_an_address", ...
};

/// \brief The settings, or everything that is wrong with them.
struct settings_outcome
{
    server_settings settings;
    std::vector<settings_fault> faults; ///< Empty when the settings may be used.
};

/// \brief Reads settings from JSON. Members that are not known are ignored.
settings_outcome parse_server_settings(std::string_view text);

} // namespace endivestage::serving
