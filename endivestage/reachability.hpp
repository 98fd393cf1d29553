/// \file
/// \brief Whether a router reaches the endpoints, and what it does with requests while it does
/// not; see reachability/GUIDE.md.
///
///  - endpoint_reach (reachability/endpoint_reach.hpp): tells a cut router from lost endpoints
///  - fleet_reach (reachability/fleet_reach.hpp): which other routers are cut off
///  - handover_choice (reachability/handover_choice.hpp): the router that a request is handed to
#pragma once

#include <endivestage/reachability/endpoint_reach.hpp>
#include <endivestage/reachability/fleet_reach.hpp>
#include <endivestage/reachability/handover_choice.hpp>
