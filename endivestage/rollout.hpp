/// \file
/// \brief Umbrella header of the rollout module: moving a service to another version, and back.
///
/// Contents:
///  - rollout_order, rollout_record, rollout_phase (rollout/record.hpp): orders and their state
///  - traffic_rule, choose_version, rollout_book (rollout/traffic.hpp): who gets which version
///  - evidence_counts, compare_versions (rollout/evidence.hpp): whether a version is worse
///  - rollout_controller (rollout/controller.hpp): what is written next
#pragma once

#include <endivestage/rollout/controller.hpp>
#include <endivestage/rollout/evidence.hpp>
#include <endivestage/rollout/record.hpp>
#include <endivestage/rollout/traffic.hpp>
