/// \file
/// \brief A router process: its listening sockets, its components and its planned stop.
#pragma once

#include <endivestage/address.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/serving/peer_service.hpp>
#include <endivestage/serving/reach_service.hpp>
#include <endivestage/serving/replication_service.hpp>
#include <endivestage/serving/request_service.hpp>
#include <endivestage/serving/rollout_service.hpp>
#include <endivestage/serving/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace endivestage::serving
{

/// \brief Decodes rows of the operator's and the endpoints' tables.
class record_decoder
{
public:
    virtual ~record_decoder() = default;

    /// \returns The configuration in a row, or errc::invalid_configuration; nothing when the row
    /// holds no configuration.
    virtual std::optional<result<route_table>> decode_routes(const replicated_row& row) const = 0;

    /// \returns The zone that a row takes out of service; nothing when the row holds no zone.
    virtual std::optional<zone_id> decode_zone(const replicated_row& row) const = 0;

    /// \returns The order of a roll-out in a row, without a version if the row was deleted, or
    /// errc::invalid_configuration; nothing when the row holds no such order.
    virtual std::optional<result<rollout_order>>
    decode_rollout(const replicated_row& row) const = 0;

    /// \returns The endpoint that a row describes, or errc::invalid_configuration.
    virtual result<endpoint_record> decode_endpoint(const replicated_row& row) const = 0;

protected:
    record_decoder() = default;
    record_decoder(const record_decoder&) = default;
    record_decoder& operator=(const record_decoder&) = default;
};

class server;

/// \brief Handles requests for router addresses and for the readiness of this router.
class discovery_handler
{
public:
    virtual ~discovery_handler() = default;

    virtual http_response handle_readiness_request(const http_request& request,
                                                   bool ready) const = 0;

    /// \param addresses Returns the addresses for a caller in a zone and region.
    virtual http_response handle_directory_request(
        const http_request& request,
        const std::function<address_answer(zone_id, region_id)>& addresses) const = 0;

protected:
    discovery_handler() = default;
    discovery_handler(const discovery_handler&) = default;
    discovery_handler& operator=(const discovery_handler&) = default;
};

/// \brief The platform-specific parts of a router.
struct platform_adapter
{
    std::unique_ptr<wire_codec> codec;
    std::unique_ptr<record_decoder> records;
    std::unique_ptr<discovery_handler> discovery;
    std::unique_ptr<table_client> tables;
};

/// \brief Runs a router until it is stopped.
class server
{
public:
    server(boost::asio::io_context& context, server_settings settings, platform_adapter platform);

    /// \brief Opens the listening sockets and starts the coroutines.
    /// \returns The first error of a socket.
    std::error_code start();

    /// \brief Begins the planned stop and stops the io_context when it is complete.
    void stop();

    /// \brief Applies the bounds of changed settings; changes of other settings need a restart.
    void reload(const server_settings& settings);

private:
    daemon::awaitable<void> join_fleet();
    daemon::awaitable<void> announce_self();
    std::vector<relay_peer> with_self(std::vector<relay_peer> peers) const;
    daemon::awaitable<void> gossip();
    daemon::awaitable<void> run_maintenance();
    void record_loop_delay(millis delay);
    daemon::awaitable<void> shut_down();
    void apply_changes(shared_table table, std::span<const replicated_row> rows,
                       std::optional<time_point> rewritten_by);
    /// \brief Applies the rows of a restored table service, except those that this router does not
    /// believe yet.
    void enter_era(shared_table table, std::span<const replicated_row> rows,
                   time_point rewritten_by);
    /// \brief Applies rows that were not believed and have not been written since.
    void apply_deferred_rows();
    /// \brief Keeps an endpoint leaving whose record of before says that it is not.
    bool defer_if_leaving(const replicated_row& row);
    void apply_operations(std::span<const replicated_row> rows);
    void apply_endpoints(std::span<const replicated_row> rows,
                         std::optional<time_point> rewritten_by);
    void apply_routes(route_table routes);
    void apply_routers(std::span<const replicated_row> rows);
    void apply_quarantine_row(std::uint64_t part, const replicated_row& row);
    void apply_version_row(const service_id& service, const replicated_row& row);
    /// \brief Notes an endpoint's version; tells other routers of this one's streams when it is the
    /// second of the service.
    void record_version(const endpoint_record& endpoint);
    void maintain_versions();
    /// \brief Applies a new configuration to what is known of streams and versions.
    void configure_streams();
    daemon::awaitable<void> store_versions(version_row row);
    void write_quarantine_records(time_point now);
    daemon::awaitable<void> store_quarantine(quarantine_record record);
    daemon::awaitable<void> erase_quarantine(std::uint64_t part);
    void apply_rollout_order(const replicated_row& row, const result<rollout_order>& order);
    void start_rollouts();
    void update_rollout_metrics();
    void apply_part_report(const part_report& report);
    void update_routers();
    void update_metrics();
    void update_lifecycle();
    address_answer addresses(zone_id zone, region_id region);
    /// \returns Whether callers should use this router.
    bool accepts_callers() const;

    boost::asio::io_context& context_;
    daemon::process_clock time_;
    server_settings settings_;
    platform_adapter platform_;
    router_state state_;
    request_service request_service_;
    daemon::http_server caller_server_;
    daemon::http_server readiness_server_;
    daemon::http_server directory_server_;
    daemon::http_server peer_server_;
    daemon::http_server metrics_server_;
    std::unique_ptr<peer_service> peer_service_;
    std::unique_ptr<origin_service> origin_service_;
    std::unique_ptr<reach_service> reach_service_;
    std::unique_ptr<replication_service> replication_;
    rollout_service rollout_service_;
    std::map<shared_table, era_transition> eras_;
    std::set<zone_id> zones_out_of_service_;
    planned_stop planned_stop_;
    quarantine_records quarantine_records_;
    time_point versions_refreshed_at_{-1000000};
    std::vector<service_id> streaming_services_; ///< With routes whose streams may be taken up.
    bool stopping_ = false;
    std::uint64_t rotation_ = 0;
};

/// \brief Runs a router with the settings in a file until a signal stops it.
/// \param make_adapter Creates the platform's adapter for the settings.
/// \returns The exit code of the process.
int run_server(const std::string& settings_file,
               const std::function<platform_adapter(boost::asio::io_context&,
                                                    const server_settings&)>& make_adapter);

} // namespace endivestage::serving
