/// \file
/// \brief Umbrella header of the core module: value types shared by all other modules.
///
/// Contents:
///  - millis, time_point, clock (core/clock.hpp): time in milliseconds
///  - id<Tag>, router_id, endpoint_id, zone_id, ... (core/ids.hpp): strong identifiers
///  - errc, execution, result<T> (core/error.hpp): error codes and results
///  - hash64, rendezvous_score, rank_by_rendezvous (core/hashing.hpp): hashing for placement
///  - table_row, table_operation, table_result (core/table.hpp): operations on the table
///    service
///  - random_source, seeded_random (core/random.hpp): repeatable random numbers
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/hashing.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/core/random.hpp>
#include <endivestage/core/table.hpp>
