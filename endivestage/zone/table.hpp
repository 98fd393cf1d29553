/// \file
/// \brief All zone registers of a router, and their way to the store.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/table.hpp>
#include <endivestage/zone/register.hpp>

#include <map>
#include <span>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief Action: send the register to the other routers at once.
struct broadcast_zone
{
    zone_register value;
};

/// \brief Action: carry this to the table; answer with zone_table::on_table_result.
struct call_zone_table
{
    zone_id zone;
    table_operation operation;
};

using zone_action = std::variant<broadcast_zone, call_zone_table>;

/// \brief Where a zone's present register is known to be.
enum class zone_storage
{
    stored,     ///< The table row holds it.
    not_stored, ///< In force, not yet stored.
    unknown,    ///< Learned from a peer; whether the row holds it was not read.
};

/// \brief Registers of all zones as one router sees them.
///
/// A change takes effect in the router that makes or learns it at once; the store is only where
/// it lasts. A router stores its own operators' changes and whatever its polling finds missing.
class zone_table
{
public:
    /// \param retry Interval after which a failed or lost operation is repeated; positive.
    explicit zone_table(millis retry = {1'000}) : retry_(retry) {}

    /// \brief Input: an operator's change at this router. Counts one past the present register.
    std::vector<zone_action> set(const zone_id& zone, zone_state state, std::string_view author,
                                 time_point now);

    /// \brief Input: a register from a peer.
    /// \returns A broadcast_zone when it changed anything, so that news travels on.
    std::vector<zone_action> merge(const zone_register& value);

    /// \brief Input: the answer to a call_zone_table. Each one must be answered; an operation
    ///     without an answer counts as lost.
    std::vector<zone_action> on_table_result(const zone_id& zone, const table_result& answer,
                                             time_point now);

    /// \brief Input: a row read by polling; stores the present register when it supersedes the row.
    /// \param row The row found; version 0 when there is none.
    std::vector<zone_action> on_polled(const zone_id& zone, const table_row& row, time_point now);

    /// \brief Repeats unfinished writes. Call at least every retry interval.
    std::vector<zone_action> tick(time_point now);

    /// \returns Whether the zone may get new work; true for a zone without a register.
    bool in_service(const zone_id& zone) const;

    /// \returns The present register; counter 0 when it was never changed.
    zone_register current(const zone_id& zone) const;

    /// \returns All registers ever changed, in order of zones; what gossip spreads.
    std::vector<zone_register> all() const;

    /// \returns Where the present register is known to be.
    zone_storage storage(const zone_id& zone) const;

private:
    struct slot
    {
        zone_register value;
        zone_storage storage = zone_storage::unknown;
        std::uint64_t row_version = 0; ///< Of the row last seen.
        bool row_known = false;        ///< Whether row_version is the result of an answer.
        bool must_store = false;
        bool in_flight = false;
        bool reading = false;  ///< Whether the outstanding operation is a read.
        zone_register written; ///< Register of the outstanding write.
        time_point sent;
    };

    slot& slot_of(const zone_id& zone);
    void learn_row(slot& entry, const table_row& row, std::vector<zone_action>& actions);
    void learn_absence(slot& entry);
    void on_applied(slot& entry, const table_result& answer, std::vector<zone_action>& actions);
    void store(slot& entry, std::vector<zone_action>& actions, time_point now);

    millis retry_;
    std::map<zone_id, slot> slots_;
};

} // namespace endivestage
