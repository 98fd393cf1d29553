/// \file
/// \brief Drives endpoints to their desired state.
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

/// \brief What an endpoint should run or reports to run.
struct engine_state
{
    std::string model;
    std::string adapter;
    std::string model_version;
    std::string role;

    bool operator==(const engine_state&) const = default;
};

/// \brief Target of one endpoint.
struct desired_state
{
    engine_state state;
    std::uint64_t version = 0;      ///< Grows with each change of the target.
    std::uint64_t weight_bytes = 0; ///< What a load fetches from the weight store.
    bool supports_fencing = true;   ///< Whether the endpoint refuses old fencing numbers.
};

/// \brief What an endpoint says about itself.
struct endpoint_report
{
    engine_state running;
    std::optional<engine_state> loading; ///< Target of a load in progress.
};

/// \brief Action: tell an endpoint to reach a state; answer with on_order_result.
struct send_order
{
    endpoint_id endpoint;
    engine_state state;
    std::uint64_t version = 0;
    std::uint64_t fencing_token = 0;
    time_point not_after; ///< Must not be sent at or after this instant: the lease may be over.
};

/// \brief Action: read the state of an endpoint; answer with on_report.
struct read_endpoint
{
    endpoint_id endpoint;
};

/// \brief Action: carry this to the table; answer with on_table_result.
struct call_lease_table
{
    table_operation operation;
};

using order_action = std::variant<send_order, read_endpoint, call_lease_table>;

/// \brief Rates and times of an order_controller.
struct order_config
{
    lease_config lease;
    std::uint64_t weight_bytes_per_second = 1'000'000'000; ///< This pool's share of the rate.
    millis read_interval{5'000};          ///< Between reads of an endpoint that honours fencing.
    millis unfenced_read_interval{1'000}; ///< Shorter: only a read shows an old controller's order.
    millis order_timeout{5'000};          ///< An order without an answer is repeated after this.
};

/// \brief Controller of one pool; only the holder of the pool's lease sends orders.
///
/// Level-triggered: each step compares the newest report with the target, whatever happened before.
class order_controller
{
public:
    order_controller(const pool_id& pool, router_id self, order_config settings = {});

    /// \brief Sets the target of an endpoint; a target with a lower version is ignored.
    void set_desired(const endpoint_id& endpoint, const desired_state& desired);

    /// \brief Stops driving an endpoint.
    void remove(const endpoint_id& endpoint);

    /// \brief Renews the lease, reads states and sends due orders. Call at least every 250 ms.
    std::vector<order_action> tick(time_point now);

    /// \brief Input: the answer to the outstanding call_lease_table.
    void on_table_result(const table_result& answer, time_point now);

    /// \brief Input: the state of an endpoint.
    void on_report(const endpoint_id& endpoint, const endpoint_report& report, time_point now);

    /// \brief Input: an order was answered.
    /// \param code errc::ok when accepted; errc::stale_fencing_token when the endpoint knows a
    ///     higher number, after which nothing is sent to it until the lease is taken anew.
    void on_order_result(const endpoint_id& endpoint, errc code);

    /// \returns Whether this router may send orders at \p now.
    bool is_leader(time_point now) const { return lease_.is_held(now); }

    /// \returns Whether the newest report of every endpoint matches its target.
    bool is_converged() const;

private:
    struct target
    {
        desired_state desired;
        std::optional<endpoint_report> report; ///< Read in the present tenure.
        std::optional<time_point> read_at;
        std::optional<time_point> ordered_at;
        bool load_booked = false; ///< The load in progress is already in the weight budget.
        bool refused = false;     ///< The endpoint knows a higher fencing number than this tenure.
    };

    void begin_tenure(time_point now);
    void read_if_due(const endpoint_id& id, target& entry, std::vector<order_action>& actions,
                     time_point now) const;
    void order_if_due(const endpoint_id& id, target& entry, std::vector<order_action>& actions,
                      time_point now);
    static bool matches(const target& entry);
    bool needs_order(const target& entry, time_point now) const;
    bool may_load(time_point now) const;
    void book_load(target& entry, time_point now);

    order_config settings_;
    lease_manager lease_;
    std::map<endpoint_id, target> targets_;
    std::uint64_t tenure_ = 0; ///< Fencing number of the tenure that the reports belong to.
    time_point tenure_began_;
    time_point next_load_; ///< The weight store's share is booked up to here.
};

} // namespace endivestage
