/// \file
/// \brief Zone registers of a router and their storage in the table service.
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

/// \brief Action: broadcast the register to the other routers immediately.
struct broadcast_zone
{
    zone_register value;
};

/// \brief Action: execute the operation on the table service and pass its result to
/// zone_table::on_table_result.
struct call_zone_table
{
    zone_id zone;
    table_operation operation;
};

using zone_action = std::variant<broadcast_zone, call_zone_table>;

/// \brief Whether the present register of a zone is stored.
enum class zone_storage
{
    stored,     ///< The table row holds it.
    not_stored, ///< In force, but not yet stored.
    unknown,    ///< Received from a peer; the row has not been read since.
};

/// \brief Registers of all zones, as one router sees them.
///
/// A change takes effect immediately in the router that makes or receives it; the table service
/// only makes it durable. A router stores the changes of its own operators, and those that its
/// polling finds missing from the table.
class zone_table
{
public:
    /// \param retry_interval Time after which a failed or lost operation is repeated; positive.
    explicit zone_table(millis retry_interval = {1'000}) : retry_interval_(retry_interval) {}

    /// \brief Input: a change by an operator at this router. Its counter is one higher than that of
    ///     the present register.
    std::vector<zone_action> set(const zone_id& zone, zone_state state, std::string_view author,
                                 time_point now);

    /// \brief Input: a register from a peer.
    /// \returns A broadcast_zone when the register superseded the present one, so that it is
    ///     forwarded.
    std::vector<zone_action> merge(const zone_register& value);

    /// \brief Input: the result of a call_zone_table. Each call needs exactly one result; a call
    ///     without an answer has the outcome lost.
    std::vector<zone_action> on_table_result(const zone_id& zone, const table_result& answer,
                                             time_point now);

    /// \brief Input: a row read by polling. Stores the present register when it supersedes the row.
    /// \param row The row found; its version is 0 when there is none.
    std::vector<zone_action> on_polled(const zone_id& zone, const table_row& row, time_point now);

    /// \brief Repeats unfinished operations. Call at least once per retry interval.
    std::vector<zone_action> tick(time_point now);

    /// \returns Whether new requests may be sent to the zone; true for a zone without a register.
    bool in_service(const zone_id& zone) const;

    /// \returns The present register; its counter is 0 when it was never changed.
    zone_register current(const zone_id& zone) const;

    /// \returns All registers that were ever changed, in order of zones; the content of gossip.
    std::vector<zone_register> all() const;

    /// \returns Whether the present register is stored.
    zone_storage storage(const zone_id& zone) const;

private:
    struct entry
    {
        zone_register value;
        zone_storage storage = zone_storage::unknown;
        std::uint64_t row_version = 0; ///< Version of the row last seen; 0 when there was none.
        bool row_known = false;        ///< Whether row_version was reported by the table service.
        bool needs_store = false;
        bool in_flight = false;
        bool reading = false;  ///< Whether the operation in flight is a read.
        zone_register written; ///< Register of the write in flight.
        time_point sent_at;
    };

    entry& find_or_add(const zone_id& zone);
    void apply_row(entry& it, const table_row& row, std::vector<zone_action>& actions);
    void apply_missing_row(entry& it);
    void apply_success(entry& it, const table_result& answer, std::vector<zone_action>& actions);
    void store(entry& it, std::vector<zone_action>& actions, time_point now);

    millis retry_interval_;
    std::map<zone_id, entry> entries_;
};

} // namespace endivestage
