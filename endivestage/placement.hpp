/// \file
/// \brief Umbrella header of the placement module: chooses the engine that serves a request.
///
/// Contents:
///  - placement_config (placement/config.hpp): parameters
///  - pool_engine, candidate_ranking, chat_key (placement/candidates.hpp): candidates of a chat
///  - recency_index (placement/recency_index.hpp): estimate of an engine's prefix cache
///  - bounded_limit (placement/bounded_limit.hpp): load limit in whole requests
///  - placement_offer, engine_status, choose_offer (placement/offer.hpp): choice between offers
///  - placement_attempt (placement/attempt.hpp): rounds of permit requests for one request
#pragma once

#include <endivestage/placement/attempt.hpp>
#include <endivestage/placement/bounded_limit.hpp>
#include <endivestage/placement/candidates.hpp>
#include <endivestage/placement/config.hpp>
#include <endivestage/placement/offer.hpp>
#include <endivestage/placement/recency_index.hpp>
