/// \file
/// \brief Umbrella header of the replication module: copies of the platform's tables on all
/// routers, of which only a few (the relays) poll the platform's table service.
///
/// Contents:
///  - table_position (replication/table_position.hpp): era and revision, which order changes
///  - table_replica, change_batch, replicated_row (replication/table_replica.hpp): table copies
///  - era_transition (replication/era_transition.hpp): rows that are believed after a restore
///  - encoded_change_cache, change_encoder (replication/encoded_change_cache.hpp): changes encoded
///    once for all followers
///  - source_choice, relay_candidate (replication/source_choice.hpp): choice between the table
///    service and a relay
///  - poll_progress (replication/poll_progress.hpp): pauses after answers that tell nothing new
///  - service_outage (replication/service_outage.hpp): outages during which rows may have expired
///  - start_sequence (replication/start_sequence.hpp): whom a starting router asks for the tables
///  - replication_timing (replication/timing.hpp): intervals and age limits
#pragma once

#include <endivestage/replication/encoded_change_cache.hpp>
#include <endivestage/replication/era_transition.hpp>
#include <endivestage/replication/poll_progress.hpp>
#include <endivestage/replication/service_outage.hpp>
#include <endivestage/replication/source_choice.hpp>
#include <endivestage/replication/start_sequence.hpp>
#include <endivestage/replication/table_replica.hpp>
#include <endivestage/replication/timing.hpp>
