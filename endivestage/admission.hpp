/// \file
/// \brief Umbrella header of the admission module: how much work an engine gets, and whose.
///
/// Contents:
///  - permit_request, permit, permit_answer, permit_outcome, queue_decision (admission/permit.hpp)
///  - engine_gate (admission/engine_gate.hpp): issues the permits of one engine at its owner
///  - load_bound, pool_mean, bounded_limit (admission/load_bound.hpp): limit from the pool's mean
///  - pool_aggregate, engine_load (admission/pool_aggregate.hpp): the pool's sums
///  - cold_start_ramp (admission/cold_start_ramp.hpp): permit count of a cold engine
///  - team_queue (admission/team_queue.hpp): order of waiting requests
///  - retry_budget, retry_backoff (admission/retry.hpp): limits on retries
#pragma once

#include <endivestage/admission/cold_start_ramp.hpp>
#include <endivestage/admission/engine_gate.hpp>
#include <endivestage/admission/load_bound.hpp>
#include <endivestage/admission/permit.hpp>
#include <endivestage/admission/pool_aggregate.hpp>
#include <endivestage/admission/retry.hpp>
#include <endivestage/admission/team_queue.hpp>
