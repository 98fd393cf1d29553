/// \file
/// \brief Combines configuration, host list, zone state and suspicion into usable endpoints.
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

/// \brief One line of the host list; hosts that are gone have none.
struct host_entry
{
    std::string host;             ///< IP address.
    std::uint64_t generation = 0; ///< Grows when the host is replaced or restarted.
    host_state state = host_state::live;
};

/// \brief One reading of the host list.
struct host_list
{
    std::uint64_t revision = 0; ///< Grows with each change; older readings are ignored.
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

/// \brief Why an endpoint gets no new work; the first that applies, in this order.
enum class endpoint_status
{
    usable,
    unknown,             ///< Not in the configuration.
    leaving,             ///< The host list or the endpoint says so; overrides everything else.
    zone_out_of_service, ///< Operators took its zone out of service.
    gone,                ///< Its host is not in the host list.
    suspected,           ///< A probe and a new connection both failed.
    held_down,           ///< It came back after repeated failures and must stay up for a while.
};

/// \returns The stable snake_case name of a status.
std::string_view to_string(endpoint_status status);

/// \brief Times of suspicion and flap damping.
struct endpoint_health_config
{
    millis suspicion_window{3'000};  ///< A failed probe and connection count together within this.
    millis initial_hold_down{2'000}; ///< After the second failure; doubles with each further one.
    millis max_hold_down{60'000};
    millis failure_count_ttl{
        300'000}; ///< A failure-free time after which past failures do not count.
};

/// \brief The router's picture of all endpoints.
class endpoint_registry
{
public:
    explicit endpoint_registry(endpoint_health_config settings = {}) : settings_(settings) {}

    /// \brief Input: a configuration is in force. Endpoints that stay keep their state.
    void apply(std::shared_ptr<const fleet_configuration> configuration);

    /// \brief Input: a reading of the host list. A reading with an older revision is ignored.
    ///
    /// A host stays leaving until it is missing from a reading or shows a higher start.
    void on_host_list(const host_list& reading, time_point now);

    /// \brief Input: the endpoint itself or a peer says that it is leaving.
    void on_leaving(const endpoint_id& id);

    /// \brief Input: a probe of the endpoint failed or succeeded.
    void on_probe(const endpoint_id& id, bool success, time_point now);

    /// \brief Input: a new connection to the endpoint failed or succeeded.
    void on_connection(const endpoint_id& id, bool success, time_point now);

    /// \returns Why the endpoint does or does not get new work.
    endpoint_status status(const endpoint_id& id, const zone_table& zones, time_point now) const;

    /// \returns Endpoints of a model pool that may get new work, in order of ids; empty when the
    ///     pool is unknown. Held-down endpoints are included when there are no others.
    std::vector<usable_endpoint> find_usable(const pool_id& id, const zone_table& zones,
                                             time_point now) const;

    /// \returns The same for a plain service, over all its pools of a region.
    /// \param region Empty: all regions.
    std::vector<usable_endpoint> find_usable(const service_id& id, const region_id& region,
                                             const zone_table& zones, time_point now) const;

private:
    struct endpoint_health
    {
        endpoint_entry entry;
        std::optional<time_point> probe_failed;
        std::optional<time_point> connection_failed;
        bool suspected = false;
        bool announced_leaving = false;
        std::uint32_t failures = 0;
        std::optional<time_point> last_failure;
        std::optional<time_point> held_until;
    };

    struct known_host
    {
        std::uint64_t generation = 0;
        bool leaving = false;
        bool gone = false;
    };

    void insert(std::map<endpoint_id, endpoint_health>& next, const endpoint_entry& entry) const;
    endpoint_health* find(const endpoint_id& id);
    const known_host* host_of(const endpoint_health& health) const;
    bool is_leaving(const endpoint_health& health) const;
    bool is_gone(const endpoint_health& health) const;
    void record(endpoint_health& health, std::optional<time_point>& failed, bool success,
                time_point now) const;
    void count_failure(endpoint_health& health, time_point now) const;
    void hold_down(endpoint_health& health, time_point now) const;
    void suspect_if_both_failed(endpoint_health& health, time_point now) const;
    void update_host(const host_entry& entry, time_point now);
    void mark_missing(const host_list& reading, time_point now);
    void on_host_returned(const std::string& host, time_point now);
    void on_host_gone(const std::string& host, time_point now);
    endpoint_status status_of(const endpoint_health& health, const zone_table& zones,
                              time_point now) const;
    std::vector<usable_endpoint> select(std::span<const endpoint_entry* const> entries,
                                        const zone_table& zones, time_point now) const;

    endpoint_health_config settings_;
    std::shared_ptr<const fleet_configuration> configuration_;
    std::map<endpoint_id, endpoint_health> endpoints_;
    std::map<std::string, known_host> hosts_;
    std::optional<std::uint64_t> revision_;
};

} // namespace endivestage
