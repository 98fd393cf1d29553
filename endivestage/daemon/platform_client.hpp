/// \file
/// \brief Client of the platform's table service, object store and host list.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_types.hpp>
#include <endivestage/daemon/settings.hpp>
#include <endivestage/endpoint/registry.hpp>
#include <endivestage/ledger/write_batch.hpp>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief A router of the platform's host list.
struct router_host
{
    router_id id;
    zone_id zone;
    region_id region;
    std::string host;
    std::uint16_t port = 0; ///< For callers.
    std::uint16_t peer_port = 0;
    std::uint16_t udp_port = 0;
    bool leaving = false;
};

/// \brief A reading of the host list, split by role.
struct platform_hosts
{
    host_list hosts; ///< All hosts.
    std::vector<router_host> routers;
};

/// \brief Receives the result of one table operation.
using table_callback = std::function<void(const table_result&)>;

/// \brief Calls the platform's services. Thread-safe.
///
/// Table operations of all users are grouped into one call (design page, 2.6).
class platform_client
{
public:
    /// \param timeout Of one call; after it a write counts as lost.
    platform_client(boost::asio::io_context& context, platform_addresses addresses,
                    const clock& time, millis timeout);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// \brief Runs one operation; \p done is called once, on any thread.
    void submit(table_operation operation, table_callback done);

    /// \brief Coroutine form of submit.
    awaitable<table_result> table(table_operation operation);

    /// \returns The rows whose keys begin with \p prefix, at most 1000.
    awaitable<result<std::vector<table_row>>> rows(std::string prefix);

    /// \brief Stores an object. Repeating it is harmless.
    awaitable<std::error_code> put_object(std::string key, std::string body);

    /// \returns The object, errc::not_found or errc::store_unavailable.
    awaitable<result<std::string>> get_object(std::string key);

    /// \returns The present host list, or errc::store_unavailable.
    awaitable<result<platform_hosts>> hosts();

    /// \returns Whether the last table call was answered.
    bool store_available() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace endivestage::daemon
