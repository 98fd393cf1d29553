/// \file
/// \brief Umbrella header of the replication module: copies of the platform's tables on all
/// routers, of which only a few ask the platform.
///
/// Contents:
///  - table_replica, change_batch, replicated_row (replication/table_replica.hpp)
///  - source_choice, relay_candidate (replication/source_choice.hpp): table service or relay
#pragma once

#include <endivestage/replication/source_choice.hpp>
#include <endivestage/replication/table_replica.hpp>
