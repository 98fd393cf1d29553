/// \file
/// \brief Differences between two configurations.
#pragma once

#include <endivestage/configuration/model.hpp>

#include <string>
#include <vector>

namespace endivestage
{

/// \brief Kind of a changed entry.
enum class configuration_subject
{
    pool,             ///< A pool, except for its engines.
    pool_engine,      ///< An engine of a pool; the parent is the pool.
    service,          ///< A service: its routes changed, or it was added or removed.
    service_pool,     ///< A pool of a service, except for its endpoints; the parent is the service.
    service_endpoint, ///< An endpoint of a service; the parent is the service.
    team,
    zone,
    priority,
    limits, ///< The fleet limits; the id is empty.
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
    std::string parent; ///< Id of the enclosing pool or service; empty for top-level entries.
    std::string id;

    bool operator==(const configuration_change&) const = default;
};

/// \returns The changes from \p before to \p after, grouped by subject and sorted by parent and id;
///     versions are not compared.
std::vector<configuration_change> diff_configurations(const fleet_configuration& before,
                                                      const fleet_configuration& after);

} // namespace endivestage
