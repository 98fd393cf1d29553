/// \file
/// \brief Umbrella header of the configuration module: the served pools and services, the teams and
/// the limits.
///
/// Contents:
///  - fleet_configuration, pool, service, service_pool, service_route, team, zone, endpoint_entry,
///    fleet_limits (configuration/model.hpp)
///  - configuration_fault, configuration_fault_kind (configuration/fault.hpp)
///  - configuration_file, configuration_merge_result, merge_configuration
///    (configuration/merge.hpp)
///  - to_json, from_json, configuration_digest (configuration/serialize.hpp)
///  - configuration_change, configuration_change_kind, configuration_subject, diff_configurations
///    (configuration/diff.hpp)
///  - configuration_stamp, configuration_commit_entry, configuration_record
///    (configuration/record.hpp)
///  - configuration_replica (configuration/replica.hpp)
///  - configuration_commit, configuration_commit_request (configuration/commit.hpp)
///
/// \sa configuration/GUIDE.md
#pragma once

#include <endivestage/configuration/commit.hpp>
#include <endivestage/configuration/diff.hpp>
#include <endivestage/configuration/fault.hpp>
#include <endivestage/configuration/merge.hpp>
#include <endivestage/configuration/model.hpp>
#include <endivestage/configuration/record.hpp>
#include <endivestage/configuration/replica.hpp>
#include <endivestage/configuration/serialize.hpp>
