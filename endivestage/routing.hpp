/// \file
/// \brief Umbrella header of the routing module: the decisions of a router that works on copies of
/// the platform's tables, without agreement among routers for a request.
///
/// Contents:
///  - route_table, route, service_profile (routing/route_table.hpp): one configuration version
///  - endpoint_directory, endpoint_state (routing/endpoint_directory.hpp): beliefs about endpoints
///  - rank_endpoints (routing/endpoint_choice.hpp): which endpoints to try, in order
///  - decide_next_step, first_response_timeout (routing/attempt_policy.hpp): after a failed attempt
///  - repeat_budget, cold_send_share (routing/send_limits.hpp): shares of limits over all routers
///  - load_aggregator (routing/load_aggregator.hpp): loads of engines as all routers saw them
///  - prefix_directory (routing/prefix_directory.hpp): engines that hold parts of prompts
///  - remote_clock, freshness_lease (routing/freshness_lease.hpp): how long copies may be trusted
#pragma once

#include <endivestage/routing/attempt_policy.hpp>
#include <endivestage/routing/endpoint_choice.hpp>
#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/freshness_lease.hpp>
#include <endivestage/routing/load_aggregator.hpp>
#include <endivestage/routing/prefix_directory.hpp>
#include <endivestage/routing/route_table.hpp>
#include <endivestage/routing/send_limits.hpp>
