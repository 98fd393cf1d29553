/// \file
/// \brief Umbrella header of the routing module: the decisions of a router that works on local
/// copies of the platform's tables. No decision about a request needs agreement among routers.
///
/// Contents:
///  - route_table, route, service_profile (routing/route_table.hpp): one configuration version
///  - endpoint_directory, endpoint_state (routing/endpoint_directory.hpp): state of all endpoints
///  - endpoint_notices (routing/endpoint_notices.hpp): what endpoints say of themselves in answers
///  - rank_endpoints (routing/endpoint_choice.hpp): order in which endpoints are tried
///  - decide_next_step, first_response_timeout (routing/attempt_policy.hpp): retry decisions
///  - repeat_budget, cold_send_share (routing/send_limits.hpp): one router's share of fleet limits
///  - brittle_endpoints (routing/brittle_endpoints.hpp): endpoints that state a limit of rejections
///  - rejection_limit (routing/rejection_limit.hpp): one router's share of that limit
///  - load_aggregator (routing/load_aggregator.hpp): open requests per engine over all routers
///  - prefix_directory (routing/prefix_directory.hpp): engines that have parts of prompts cached
///  - prompt_quarantine (routing/prompt_quarantine.hpp): parts of prompts that crash engines
///  - quarantine_records (routing/quarantine_records.hpp): who stores these parts for restarts
///  - start_hold (routing/start_hold.hpp): requests that wait for the tables of a starting router
///  - may_act (routing/staggering.hpp): which routers do work first that any of them can do
///  - buffer_budget (routing/buffer_budget.hpp): memory for answers that are being read
///  - request_memory (routing/request_memory.hpp): memory for requests of callers
///  - time_estimator (routing/time_estimate.hpp): when an endpoint would answer a request
///  - observed_times (routing/observed_times.hpp): the time_estimator that learns from answers
///  - first_event_waits (routing/first_event_waits.hpp): when a first event is late
///  - remote_clock, freshness_lease (routing/freshness_lease.hpp): how long table copies are valid
#pragma once

#include <endivestage/routing/attempt_policy.hpp>
#include <endivestage/routing/brittle_endpoints.hpp>
#include <endivestage/routing/buffer_budget.hpp>
#include <endivestage/routing/endpoint_choice.hpp>
#include <endivestage/routing/endpoint_directory.hpp>
#include <endivestage/routing/endpoint_notices.hpp>
#include <endivestage/routing/first_event_waits.hpp>
#include <endivestage/routing/freshness_lease.hpp>
#include <endivestage/routing/load_aggregator.hpp>
#include <endivestage/routing/observed_times.hpp>
#include <endivestage/routing/prefix_directory.hpp>
#include <endivestage/routing/prompt_quarantine.hpp>
#include <endivestage/routing/quarantine_records.hpp>
#include <endivestage/routing/rejection_limit.hpp>
#include <endivestage/routing/request_memory.hpp>
#include <endivestage/routing/route_table.hpp>
#include <endivestage/routing/send_limits.hpp>
#include <endivestage/routing/staggering.hpp>
#include <endivestage/routing/start_hold.hpp>
#include <endivestage/routing/time_estimate.hpp>
