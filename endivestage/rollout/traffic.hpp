/// \file
/// \brief Which versions of a service may get requests, and which requests go to which.
#pragma once

#include <endivestage/rollout/record.hpp>
#include <endivestage/routing/endpoint_directory.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Versions that may get requests of a service.
struct traffic_rule
{
    std::string to;         ///< The version of the latest order.
    double new_share = 0.0; ///< Part of the requests that \ref to gets; 0 forbids it.
    bool old_allowed = true;
    std::string base;               ///< The only old version; empty if all others are.
    std::set<std::string> excluded; ///< Never get requests.
    std::uint64_t order_revision = 0;
    /// The order's row was removed: if no endpoint is allowed any more, all are.
    bool order_removed = false;
};

/// \param order Null without an order.
/// \param record Null if no phase has been read.
/// \returns The rule; nothing if neither an order nor a record calls for one.
std::optional<traffic_rule> make_traffic_rule(const rollout_order* order,
                                              const rollout_record* record);

/// \returns Whether endpoints of this version may get requests.
bool allows(const traffic_rule& rule, std::string_view version);

/// \brief Endpoints for one request.
struct version_choice
{
    std::vector<const endpoint_state*> preferred;
    std::vector<const endpoint_state*> fallback; ///< Of the other version, if none is left.
};

/// \brief Chooses the version for a request and the endpoints of that version.
///
/// Equal keys get the same version as long as the share does not fall. A small share goes to as
/// many new endpoints as its part of the old ones, so that these get the load of an old endpoint.
/// \param tried Endpoints that do not count as canaries any more.
/// \param key_hash Of the chat, or of the request without one.
/// \param pinned Version that a response has begun with; only this one may go on.
version_choice choose_version(const traffic_rule& rule,
                              std::span<const endpoint_state* const> endpoints,
                              std::span<const endpoint_id> tried, std::uint64_t key_hash,
                              const std::optional<std::string>& pinned);

/// \brief Orders and records of all services, with the rules that follow from them.
class rollout_book
{
public:
    /// \returns False if the order is known, or older than the known one. One that was written
    /// again after a restore of the table service stays the order that it was.
    bool set_order(rollout_order order);
    void remove_order(const service_id& service);
    /// \returns Whether the record replaced the known one. One that is behind it after a restore of
    /// the table service marks the known one as lost, with the row that is to be replaced.
    bool set_record(const rollout_record& record);
    /// \brief Notes that a restore of the table service has lost the row of a record.
    /// \param position Of the table without the row.
    void record_missing(const service_id& service, const table_position& position);

    /// \returns The rule of a service; null if endpoints of all versions may get requests.
    const traffic_rule* rule(const service_id& service) const;
    const rollout_order* order(const service_id& service) const;
    const rollout_record* record(const service_id& service) const;
    const std::map<service_id, rollout_order>& orders() const { return orders_; }
    const std::map<service_id, rollout_record>& records() const { return records_; }

    /// \returns Whether the order's roll-out has not ended, so that evidence is collected.
    bool is_active(const service_id& service) const;

    /// \returns Whether the record of the service's order has to be written again.
    bool is_lost(const service_id& service) const;

private:
    void update(const service_id& service);

    std::map<service_id, rollout_order> orders_;
    std::map<service_id, rollout_record> records_;
    std::map<service_id, traffic_rule> rules_;
};

} // namespace endivestage
