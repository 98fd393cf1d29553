/// \file
/// \brief Determines the usable endpoints from configuration, host list, zone state and failures.
#pragma once

#include <endivestage/configuration/model.hpp>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/zone/table.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief State of a host in the platform's host list.
enum class host_state
{
    live,
    leaving,
};

/// \brief One entry of the host list; removed hosts have none.
struct host_entry
{
    std::string host;             ///< IP address.
    std::uint64_t generation = 0; ///< Increases when the host is replaced or restarted.
    host_state state = host_state::live;
};

/// \brief One version of the host list.
struct host_list
{
    std::uint64_t revision = 0; ///< Increases with each change of the list.
    std::vector<host_entry> hosts;
};

/// \brief An endpoint that may get new work.
struct usable_endpoint
{
    endpoint_id id;
    std::string host;
    std::uint16_t port = 0;
    zone_id zone;
    double capacity = 1.0;

    bool operator==(const usable_endpoint&) const = default;
};

/// \brief Whether and why an endpoint gets no new work.
///
/// If several reasons apply, the status is the first of them in the order of the enumerators.
enum class endpoint_status
{
    usable,
    unknown,             ///< Not in the configuration.
    leaving,             ///< The host list or the endpoint announced it; overrides all later ones.
    zone_out_of_service, ///< An operator has taken its zone out of service.
    gone,                ///< Its host is not in the host list.
    suspected,           ///< A probe and a new connection have both failed.
    held_down,           ///< It recovered from repeated failures and has to stay up for a while.
};

/// \returns The stable snake_case name of a status.
std::string_view to_string(endpoint_status status);

/// \brief Times of suspicion and flap damping.
struct endpoint_health_config
{
    /// A probe and a connection that both fail within this time make an endpoint suspected.
    millis suspicion_window{3'000};
    /// Hold-down after the second failure; doubles with each further failure.
    millis initial_hold_down{2'000};
    millis max_hold_down{60'000};
    /// Time without failures after which past failures no longer count.
    millis failure_count_ttl{300'000};
};

/// \brief The router's view of all endpoints.
class endpoint_registry
{
public:
    explicit endpoint_registry(endpoint_health_config config = {}) : config_(config) {}

    /// \brief Applies a configuration. Endpoints that keep their id and address keep their state.
    void apply(std::shared_ptr<const fleet_configuration> configuration);

    /// \brief Processes a host list. A list whose revision is not newer is ignored.
    ///
    /// A host stays leaving until a list does not contain it or contains a higher generation of it.
    void on_host_list(const host_list& list, time_point now);

    /// \brief Records that the endpoint itself or a peer announced that the endpoint is leaving.
    void on_leaving(const endpoint_id& id);

    /// \brief Records the result of a probe of the endpoint.
    void on_probe(const endpoint_id& id, bool success, time_point now);

    /// \brief Records whether a new connection to the endpoint succeeded.
    void on_connection(const endpoint_id& id, bool success, time_point now);

    /// \returns Whether the endpoint gets new work, else the reason.
    endpoint_status status(const endpoint_id& id, const zone_table& zones, time_point now) const;

    /// \returns Endpoints of a model pool that may get new work, in order of ids; empty when the
    ///     pool is unknown. If all of them are held down, these are returned.
    std::vector<usable_endpoint> find_usable(const pool_id& id, const zone_table& zones,
                                             time_point now) const;

    /// \returns The same for a plain service, over all its pools in a region.
    /// \param region Region of the pools; empty for all regions.
    std::vector<usable_endpoint> find_usable(const service_id& id, const region_id& region,
                                             const zone_table& zones, time_point now) const;

private:
    struct endpoint_health
    {
        endpoint_entry entry;
        std::optional<time_point> probe_failed_at;
        std::optional<time_point> connection_failed_at;
        bool suspected = false;
        bool announced_leaving = false;
        std::uint32_t failure_count = 0;
        std::optional<time_point> last_failure_at;
        std::optional<time_point> held_down_until;
    };

    struct known_host
    {
        std::uint64_t generation = 0;
        bool leaving = false;
        bool gone = false; ///< Whether the newest host list does not contain the host.
    };

    void insert(std::map<endpoint_id, endpoint_health>& next, const endpoint_entry& entry) const;
    endpoint_health* find(const endpoint_id& id);
    const known_host* find_host(const endpoint_health& health) const;
    bool is_leaving(const endpoint_health& health) const;
    bool is_gone(const endpoint_health& health) const;
    void record_result(endpoint_health& health, std::optional<time_point>& failed_at, bool success,
                       time_point now) const;
    void count_failure(endpoint_health& health, time_point now) const;
    void start_hold_down(endpoint_health& health, time_point now) const;
    void suspect_if_both_failed(endpoint_health& health, time_point now) const;
    void update_host(const host_entry& entry, time_point now);
    void mark_missing_hosts(const host_list& list, time_point now);
    void on_host_returned(const std::string& host, time_point now);
    void on_host_gone(const std::string& host, time_point now);
    endpoint_status status_of(const endpoint_health& health, const zone_table& zones,
                              time_point now) const;
    std::vector<usable_endpoint> select(std::span<const endpoint_entry* const> entries,
                                        const zone_table& zones, time_point now) const;

    endpoint_health_config config_;
    std::shared_ptr<const fleet_configuration> configuration_;
    std::map<endpoint_id, endpoint_health> endpoints_;
    std::map<std::string, known_host> hosts_;
    std::optional<std::uint64_t> revision_;
};

} // namespace endivestage
