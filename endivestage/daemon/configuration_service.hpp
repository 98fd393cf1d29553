/// \file
/// \brief Configuration, zones and endpoints of a running router.
#pragma once

#include <endivestage/configuration.hpp>
#include <endivestage/daemon/node_context.hpp>
#include <endivestage/endpoint.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/zone.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief Another router as the configuration service reaches it.
struct peer_router
{
    router_id id;
    peer_address address;
};

/// \brief Keeps the configuration in force, the zone registers and the endpoint registry.
class configuration_service
{
public:
    explicit configuration_service(node_context& node);

    /// \brief Sets how other routers are found and told.
    /// \param peers Returns the other live routers.
    /// \param spread Pushes a small versioned value to all routers.
    void connect(std::function<std::vector<peer_router>()> peers,
                 std::function<void(announcement)> spread);

    /// \brief Sets a function that is called after the usable endpoints may have changed.
    void on_change(std::function<void()> callback) { changed_ = std::move(callback); }

    /// \brief Starts to poll the platform and to answer peers.
    void start();

    /// \returns The configuration in force, or null before the first.
    std::shared_ptr<const fleet_configuration> current() const;

    /// \returns Whether the router may serve, and if not, why.
    replica_state state() const;

    /// \returns Stamp of the configuration in force.
    configuration_stamp in_force() const;

    /// \returns Endpoints of a pool that may get new work.
    std::vector<usable_endpoint> usable(const pool_id& pool) const;

    /// \returns Endpoints of a service that may get new work, those of this region first.
    std::vector<usable_endpoint> usable(const service_id& service) const;

    /// \returns Why an endpoint does or does not get new work.
    endpoint_status status(const endpoint_id& endpoint) const;

    /// \returns Whether the zone gets new work.
    bool in_service(const zone_id& zone) const;

    /// \brief Result of a probe or a new connection to an endpoint.
    void on_probe(const endpoint_id& endpoint, bool success);
    /// \copydoc on_probe
    void on_connection(const endpoint_id& endpoint, bool success);

    /// \brief An operator's change of a zone.
    /// \returns Whether the table already holds it, or errc::not_found for an unknown zone.
    awaitable<result<zone_storage>> set_zone(zone_id zone, zone_state state, std::string author);

    /// \returns The registers of all configured zones with where they are stored.
    std::vector<std::pair<zone_register, zone_storage>> zones() const;

    /// \brief A value that another router spread.
    /// \param from Router that the value came from.
    void on_announcement(const announcement& item, const router_id& from);

    /// \brief Validates and commits a new configuration.
    awaitable<commit_finished> commit(configuration_commit_request apply);

    /// \returns Routers of the last host list.
    std::vector<router_host> routers() const;

    /// \brief Sets a function that is called with each reading of the host list.
    void on_hosts(std::function<void(std::span<const router_host>)> callback)
    {
        hosts_read_ = std::move(callback);
    }

private:
    void run(std::vector<replica_action> actions);
    void run(std::vector<zone_action> actions);
    awaitable<void> ask(configuration_source source);
    awaitable<void> fetch(configuration_stamp stamp, configuration_source source);
    awaitable<void> poll_store();
    awaitable<void> poll_zones();
    awaitable<void> poll_hosts();
    awaitable<rpc_answer> answer_fetch(const boost::json::object& body) const;
    awaitable<result<std::string>> fetch_from(const configuration_stamp& stamp,
                                              const configuration_source& source);
    std::optional<peer_address> address_of(const router_id& peer) const;
    bool polls_store() const;
    void spread_stamp(const configuration_stamp& stamp);

    node_context& node_;
    std::function<std::vector<peer_router>()> peers_;
    std::function<void(announcement)> spread_;
    std::function<void()> changed_;
    std::function<void(std::span<const router_host>)> hosts_read_;

    mutable std::mutex mutex_; ///< Guards the members below.
    configuration_replica replica_;
    zone_table zones_;
    endpoint_registry registry_;
    std::vector<router_host> routers_;
    std::string body_; ///< Canonical text of the configuration in force.
};

} // namespace endivestage::daemon
