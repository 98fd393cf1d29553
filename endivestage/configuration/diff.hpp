/// \file
/// \brief Differences between two configurations as typed changes.
#pragma once

#include <endivestage/configuration/model.hpp>

#include <string>
#include <vector>

namespace endivestage
{

/// \brief What kind of entry changed.
enum class configuration_subject
{
    pool,             ///< Settings of a pool other than its engines.
    pool_engine,      ///< An engine; parent is its pool.
    service,          ///< Routes of a service, or its presence.
    service_pool,     ///< A pool of a service; parent is the service.
    service_endpoint, ///< An endpoint of a service; parent is the service.
    team,
    zone,
    priority,
    limits, ///< The fleet's limits; id is empty.
};

/// \brief How an entry changed.
enum class configuration_change_kind
{
    added,
    removed,
    changed,
};

/// \brief One entry that differs.
struct configuration_change
{
    configuration_subject subject = configuration_subject::pool;
    configuration_change_kind kind = configuration_change_kind::changed;
    std::string parent; ///< Id of the enclosing pool or service; empty at the top.
    std::string id;

    bool operator==(const configuration_change&) const = default;
};

/// \returns What turns \p before into \p after, grouped by subject and in order of ids; versions
///     are not compared.
std::vector<configuration_change> diff_configurations(const fleet_configuration& before,
                                                      const fleet_configuration& after);

} // namespace endivestage
