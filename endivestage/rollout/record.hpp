/// \file
/// \brief Orders to move a service to a version, and the fleet's record of how far it has come.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/table_position.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace endivestage
{

/// \brief The operator's order to move a service to another version.
struct rollout_order
{
    service_id service;
    std::string to; ///< The version that is to get the service's traffic.
    millis duration{0};
    std::uint64_t revision = 0; ///< Revision of the order's row; a later order has a higher one.
    std::uint64_t era = 0;      ///< Of the revision.
    /// Position of the order's row now. It differs after a restore of the table service: the row
    /// was written again, the order is the same.
    table_position row;

    /// \returns What tells the order from others; it increases from order to order.
    table_position identity() const { return {revision, era}; }
};

/// \returns Whether two orders ask for the same.
bool has_same_content(const rollout_order& a, const rollout_order& b);

/// \brief Phases of a roll-out. They only move forward.
enum class rollout_phase
{
    serving,   ///< The new version gets a small share of the requests.
    switching, ///< The new version gets all new requests; the old one ends what it runs.
    completed, ///< The old version gets nothing and is stopped.
    reverted,  ///< The new version gets nothing.
};

/// \returns The snake_case name of a phase.
std::string_view to_string(rollout_phase phase);

/// \returns The phase with this name; nothing for an unknown one.
std::optional<rollout_phase> parse_rollout_phase(std::string_view name);

/// \returns Whether no other phase follows.
bool is_final(rollout_phase phase);

/// \brief The fleet's record of a roll-out, which all routers follow.
struct rollout_record
{
    service_id service;
    std::uint64_t order_revision = 0;
    std::uint64_t order_era = 0;
    std::string to;
    rollout_phase phase = rollout_phase::serving;
    /// The operator was told the final phase. All routers act on it some time before, so that no
    /// request is sent to a version after the operator was told that it gets none.
    bool announced = false;
    double share = 0.0;    ///< Part of the requests that the new version gets while serving.
    std::string reason;    ///< Why this phase or share was chosen.
    time_point ordered_at; ///< Wall clock of the first writer when it read the order.
    std::string base;      ///< The only old version; empty if all others are old ones.
    std::set<std::string> excluded; ///< Versions of earlier orders that must not get requests.
    std::uint64_t row_revision = 0; ///< Of the stored row; 0 before the first write.
    std::uint64_t row_era = 0;      ///< Of \ref row_revision.
    /// A restore of the table service has taken this record back; the row is older or gone.
    bool lost = false;

    table_position order_identity() const { return {order_revision, order_era}; }
};

/// \returns Whether nothing more is to be done.
bool is_ended(const rollout_record& record);

/// \brief The record with which the roll-out of an order begins.
/// \param previous Record of the service's latest order before; null if there is none.
rollout_record begin_rollout(const rollout_order& order, const rollout_record* previous,
                             time_point wall_now);

/// \returns Whether \p next may replace \p current: it belongs to a later order, or to the same one
/// and neither goes back nor leaves a final phase, except to announce it.
bool may_replace(const rollout_record& next, const rollout_record& current);

} // namespace endivestage
