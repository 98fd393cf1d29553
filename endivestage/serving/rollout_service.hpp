/// \file
/// \brief Follows roll-outs, collects their evidence, and decides on them if this router polls the
/// table service.
#pragma once

#include <endivestage/serving/replication_service.hpp>
#include <endivestage/serving/rollout_rows.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace endivestage::serving
{

/// \brief What the service asks of the other components.
struct rollout_sources
{
    std::function<bool()> is_primary;  ///< This router polls the table service and decides.
    std::function<bool()> is_relaying; ///< This router sums the counts of followers.
    std::function<std::optional<millis>()> copy_age; ///< Of the older of the tables' copies.
    std::function<void(const router_id&, std::string_view)> send; ///< To another relay.
};

/// \brief Orders, records and counts of all roll-outs on one router.
///
/// A record takes effect only when it was read from the routers' table, also on the router that
/// wrote it. Without an order it makes no calls and sends nothing.
class rollout_service final : public rollout_exchange
{
public:
    /// \param state,tables Must outlive the io_context's run.
    rollout_service(boost::asio::io_context& context, router_state& state, table_client& tables);

    void start(rollout_sources sources);

    /// \param order An order, or one without a version if it was removed.
    /// \param starting The router reads its tables for the first time, so the order may be old.
    void apply_order(const rollout_order& order, bool starting);

    /// \brief Applies a row of the routers' table with a record.
    /// \param era Of the row.
    void apply_record(const replicated_row& row, std::uint64_t era);

    /// \brief Records the sums of another relay's followers.
    void apply_relay_counts(std::uint64_t relay, std::string_view text);

    bool is_active() const override;
    std::string pending_report() override;
    void acknowledge_report() override;
    void apply_report(std::uint64_t router, const boost::json::object& report) override;
    void send_to_relay(const router_id& relay) override;

    /// \returns All roll-outs as JSON, for operators.
    std::string describe() const;

private:
    struct relay_counts
    {
        evidence_counts latest;  ///< The relay's sums since its start.
        evidence_counts earlier; ///< Its sums of earlier runs.
        time_point heard_at;
    };

    /// \brief State of one order.
    struct progress
    {
        table_position order;
        time_point first_seen;
        bool seen_at_start = false; ///< The order may be older than first_seen.
        rollout_controller controller{{}};
        evidence_counts group;                        ///< Of this relay and its followers.
        std::map<std::uint64_t, relay_counts> relays; ///< By hash of the relay's id.
        bool writing = false;
        table_position written_over; ///< Of the row that the last write replaced.
        time_point next_write_at;
    };

    daemon::awaitable<void> run();
    void decide(const rollout_order& order, progress& state);
    daemon::awaitable<void> write(rollout_order order, rollout_record next);
    millis elapsed_since(const rollout_order& order, const progress& state) const;
    rollout_observation observe(const rollout_order& order, const progress& state) const;
    evidence_counts sum(const progress& state) const;
    bool hears_relays(const progress& state) const;
    progress* find(const service_id& service, const table_position& order);
    void collect();

    boost::asio::io_context& context_;
    router_state& state_;
    table_client& tables_;
    rollout_sources sources_;
    std::map<service_id, progress> progress_;
    std::string report_;                             ///< Sent, but not acknowledged.
    std::map<service_id, evidence_counts> reported_; ///< What \ref report_ holds.
    std::uint64_t report_number_ = 0;
    std::map<std::uint64_t, std::uint64_t> last_reports_; ///< By hash of the follower's id.
    std::map<std::uint64_t, time_point> sent_to_;         ///< Other relays, by hash of the id.
};

} // namespace endivestage::serving
