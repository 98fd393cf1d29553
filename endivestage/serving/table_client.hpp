/// \file
/// \brief Where rows of the platform's tables come from.
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

/// \brief Tables that every router has a copy of.
enum class shared_table
{
    operations, ///< What the operator wants: configuration, zones out of service.
    endpoints,  ///< Endpoints that describe themselves.
    routers,    ///< Routers and where their peers reach them.
};

/// \brief All values of shared_table.
inline constexpr std::array<shared_table, 3> shared_tables{
    shared_table::operations, shared_table::endpoints, shared_table::routers};

/// \returns "operations", "endpoints" or "routers".
std::string_view to_string(shared_table table);

/// \brief Rows with the table service's time of the answer.
struct timestamped_batch
{
    change_batch batch;
    time_point timestamp; ///< On the service's clock.
};

/// \brief The platform's table service. Errors: errc::stale_view when the history does not reach
/// back so far; errc::overloaded when it refuses calls; errc::store_unavailable otherwise.
class table_client
{
public:
    virtual ~table_client() = default;

    /// \returns All rows of a table.
    virtual daemon::awaitable<result<timestamped_batch>> list(shared_table table) = 0;

    /// \returns Rows changed after \p revision, as soon as there is one, or none after \p wait.
    virtual daemon::awaitable<result<timestamped_batch>>
    fetch_changes(shared_table table, std::uint64_t revision, millis wait) = 0;

    /// \brief Writes a row whatever it held before.
    virtual daemon::awaitable<std::error_code> write(shared_table table, std::string key,
                                                     std::string data) = 0;

    /// \brief Deletes a row.
    virtual daemon::awaitable<std::error_code> erase(shared_table table, std::string key) = 0;

protected:
    table_client() = default;
    table_client(const table_client&) = default;
    table_client& operator=(const table_client&) = default;
};

} // namespace endivestage::serving
