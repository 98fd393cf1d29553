/// \file
/// \brief Umbrella header of the admission module: limits the load of each engine and divides its
/// capacity between teams.
///
/// Contents:
///  - permit_request, permit, permit_answer, permit_outcome, queue_decision (admission/permit.hpp)
///  - engine_gate (admission/engine_gate.hpp): issues the permits of one engine at its owner
///  - load_bound, pool_mean (admission/load_bound.hpp): load limit relative to the pool's mean load
///  - bounded_limit (placement/bounded_limit.hpp): the same limit in whole requests
///  - pool_aggregate, engine_load (admission/pool_aggregate.hpp): load and capacity of a pool
///  - cold_start_ramp (admission/cold_start_ramp.hpp): permits of an engine that is not warm yet
///  - team_queue (admission/team_queue.hpp): order in which waiting requests are served
///  - retry_budget, retry_backoff (admission/retry.hpp): limits on retries
#pragma once

#include <endivestage/admission/cold_start_ramp.hpp>
#include <endivestage/admission/engine_gate.hpp>
#include <endivestage/admission/load_bound.hpp>
#include <endivestage/admission/permit.hpp>
#include <endivestage/admission/pool_aggregate.hpp>
#include <endivestage/admission/retry.hpp>
#include <endivestage/admission/team_queue.hpp>
