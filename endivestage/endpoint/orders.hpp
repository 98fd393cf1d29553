/// \file
/// \brief Brings endpoints to their desired state through orders.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/endpoint/lease.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endivestage
{

/// \brief What an endpoint runs, or should run.
struct engine_state
{
    std::string model;
    std::string adapter;
    std::string model_version;
    std::string role;

    bool operator==(const engine_state&) const = default;
};

/// \brief Target state of one endpoint.
struct desired_state
{
    engine_state state;
    std::uint64_t version = 0;      ///< Increases with each change of the target.
    std::uint64_t weight_bytes = 0; ///< Bytes that a load reads from the weight store.
    bool supports_fencing = true;   ///< Whether the endpoint rejects old fencing tokens.
};

/// \brief State that an endpoint reports.
struct endpoint_report
{
    engine_state running;
    std::optional<engine_state> loading; ///< Target of a load in progress.
};

/// \brief Action: order an endpoint to reach a state; report the result with on_order_result.
struct send_order
{
    endpoint_id endpoint;
    engine_state state;
    std::uint64_t version = 0;
    std::uint64_t fencing_token = 0;
    time_point not_after; ///< Must not be sent at or after this time: the lease may have expired.
};

/// \brief Action: read the state of an endpoint; pass it to on_report.
struct read_endpoint
{
    endpoint_id endpoint;
};

/// \brief Action: send the operation to the table service; pass the result to on_table_result.
struct call_lease_table
{
    table_operation operation;
};

using order_action = std::variant<send_order, read_endpoint, call_lease_table>;

/// \brief Rate and times of an order_controller.
struct order_config
{
    lease_config lease;
    /// This pool's share of the weight store's rate.
    std::uint64_t weight_bytes_per_second = 1'000'000'000;
    /// Interval of reads of endpoints that support fencing and match their target.
    millis read_interval{5'000};
    /// Interval of reads of all other endpoints. It is shorter because, without fencing, only a
    /// read shows that an endpoint has followed an order of an old controller.
    millis unfenced_read_interval{1'000};
    /// An order is repeated when it has had no effect for this time.
    millis order_timeout{5'000};
};

/// \brief Controller of one pool; only the holder of the pool's lease sends orders.
///
/// The controller is level-triggered: each step compares the newest report with the target,
/// regardless of earlier orders.
class order_controller
{
public:
    order_controller(const pool_id& pool, router_id self, order_config config = {});

    /// \brief Sets the target of an endpoint; a target whose version is not higher is ignored.
    void set_desired(const endpoint_id& endpoint, const desired_state& desired);

    /// \brief Removes an endpoint; it gets no further orders.
    void remove(const endpoint_id& endpoint);

    /// \brief Renews the lease, reads states and sends due orders. To be called at least every
    /// 250 ms.
    std::vector<order_action> tick(time_point now);

    /// \brief Processes the result of the outstanding call_lease_table.
    void on_table_result(const table_result& answer, time_point now);

    /// \brief Processes the state of an endpoint.
    void on_report(const endpoint_id& endpoint, const endpoint_report& report, time_point now);

    /// \brief Processes the response to an order.
    /// \param code errc::ok when the order was accepted; errc::stale_fencing_token when the
    ///     endpoint has seen a higher token. The endpoint then gets no orders until this router
    ///     acquires the lease again.
    void on_order_result(const endpoint_id& endpoint, errc code);

    /// \returns Whether this router may send orders at \p now.
    bool is_leader(time_point now) const { return lease_.is_held(now); }

    /// \returns Whether the newest report of every endpoint matches its target.
    bool is_converged() const;

private:
    struct target
    {
        desired_state desired;
        std::optional<endpoint_report> report; ///< Newest report of the current tenure.
        std::optional<time_point> read_at;
        std::optional<time_point> ordered_at;
        bool load_reserved = false; ///< Whether the load in progress counts in next_load_.
        bool rejected = false;      ///< Whether the endpoint has seen a higher fencing token.
    };

    void begin_tenure(time_point now);
    void read_if_due(const endpoint_id& id, target& entry, std::vector<order_action>& actions,
                     time_point now) const;
    void order_if_due(const endpoint_id& id, target& entry, std::vector<order_action>& actions,
                      time_point now);
    static bool matches(const target& entry);
    bool needs_order(const target& entry, time_point now) const;
    bool can_load(time_point now) const;
    void reserve_load(target& entry, time_point now);

    order_config config_;
    lease_manager lease_;
    std::map<endpoint_id, target> targets_;
    std::uint64_t tenure_ = 0; ///< Fencing token of the tenure in which the reports were read.
    time_point tenure_start_;
    time_point next_load_; ///< Until then, the share of the weight store's rate is reserved.
};

} // namespace endivestage
