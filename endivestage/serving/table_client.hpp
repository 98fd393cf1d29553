/// \file
/// \brief Interface to the platform's table service.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/replication.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivestage::serving
{

/// \brief Tables of which every router keeps a copy.
enum class shared_table
{
    operations, ///< Written by the operator: configuration, zones out of service.
    endpoints,  ///< Written by the endpoints: their own records.
    routers,    ///< Written by routers: their addresses, and quarantined parts of prompts.
};

/// \brief All values of shared_table.
inline constexpr std::array<shared_table, 3> shared_tables{
    shared_table::operations, shared_table::endpoints, shared_table::routers};
/// Tables whose changes must be in force within a bound; routers state the ages of their copies.
inline constexpr std::array<shared_table, 2> aged_tables{shared_table::operations,
                                                         shared_table::endpoints};

/// \returns "operations", "endpoints" or "routers".
std::string_view to_string(shared_table table);

/// \brief Rows with the time at which the table service read them.
struct timestamped_batch
{
    change_batch batch;
    time_point timestamp; ///< Time of the response on the service's clock.
};

/// \brief A step of a roll-out, to be stored if nothing has changed since it was decided.
struct rollout_write
{
    service_id service;
    table_position order;        ///< Of the order's row.
    table_position known_record; ///< Of the record's row; revision 0 if there is none yet.
    std::string record_key;      ///< In the routers' table.
    std::string record;
    std::string to;            ///< Told to the operator.
    std::string_view progress; ///< Told to the operator: "serving", "completed" or "reverted".
};

/// \brief Client of the platform's table service.
///
/// Batches state the era of their revisions. Responses of an era before the latest one that the
/// client knows count as failed.
///
/// Errors: errc::stale_view when the service no longer has the changes since a revision;
/// errc::overloaded when it refuses calls; errc::store_unavailable otherwise.
class table_client
{
public:
    virtual ~table_client() = default;

    /// \returns All rows of a table.
    virtual daemon::awaitable<result<timestamped_batch>> list(shared_table table) = 0;

    /// \brief Waits for rows that changed after \p revision.
    /// \returns These rows as soon as there is one; no rows when \p max_wait has elapsed.
    virtual daemon::awaitable<result<timestamped_batch>>
    fetch_changes(shared_table table, std::uint64_t revision, millis max_wait) = 0;

    /// \brief Writes a row unconditionally.
    virtual daemon::awaitable<std::error_code> write(shared_table table, std::string key,
                                                     std::string data) = 0;

    /// \brief Deletes a row.
    virtual daemon::awaitable<std::error_code> erase(shared_table table, std::string key) = 0;

    /// \brief Writes the record and the operator's status of a roll-out, both or neither.
    /// \returns errc::conflict when the order or the record has changed, or the position of one
    /// belongs to an earlier era; errc::store_unavailable when an era has ended meanwhile, so that
    /// it is unknown which rows the revisions meant.
    virtual daemon::awaitable<std::error_code> write_rollout(rollout_write change) = 0;

protected:
    table_client() = default;
    table_client(const table_client&) = default;
    table_client& operator=(const table_client&) = default;
};

} // namespace endivestage::serving
