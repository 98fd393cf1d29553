/// \file
/// \brief Keeps this router's copies of the shared tables current and serves them to other routers.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/change_encoding.hpp>
#include <endivestage/serving/sum_datagram.hpp>
#include <endivestage/serving/table_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace endivestage::serving
{

/// \brief A router that may act as a relay, with its address.
struct relay_peer
{
    relay_candidate candidate;
    daemon::network_address address;
};

/// \brief Functions that the replication service calls.
struct replication_callbacks
{
    /// Applies changed rows. \p rewritten_by is set after an outage of the table service: deletions
    /// may be records that expired meanwhile and are written again by then.
    std::function<void(shared_table, std::span<const replicated_row>,
                       std::optional<time_point> rewritten_by)>
        on_rows_changed;
    /// Receives all rows of a table after a restore of the table service from an older copy, and
    /// when their writers have written lost ones again. \ref on_rows_changed gets them if this is
    /// empty.
    std::function<void(shared_table, std::span<const replicated_row>, time_point rewritten_by)>
        on_era_entered;
    /// Receives a local instant at which the copy of the operator's table was current.
    std::function<void(time_point)> on_current;
    /// Called after each update of a copy, with or without changes.
    std::function<void()> on_updated;
    /// Receives the earliest time at which the first copies can be complete, after a call to the
    /// table service has failed; optional.
    std::function<void(time_point)> on_start_delayed;
    /// Returns this router's open requests by engine.
    std::function<std::vector<engine_requests>()> open_requests;
    /// Receives changed sums of all routers' open requests by engine.
    std::function<void(const load_changes&)> on_fleet_loads;
    /// Returns the endpoints that fail by this router's own outcomes, with 1 each.
    std::function<std::vector<engine_requests>()> failing_endpoints;
    /// Receives changed numbers of routers that see an endpoint fail.
    std::function<void(const load_changes&)> on_fleet_failures;
    /// Sends sums over this relay's followers to another relay.
    std::function<void(const router_id&, sum_kind, std::span<const engine_requests>)> send_to_relay;
    /// Returns the routers that are considered alive, this one included.
    std::function<std::vector<relay_peer>()> live_routers;
    /// Returns the routers that have registered and are not known to be dead, this one included. A
    /// starting router has not heard from any of them yet.
    std::function<std::vector<relay_peer>()> registered_routers;
};

/// \brief Carries counts of roll-outs along with loads.
class rollout_exchange
{
public:
    virtual ~rollout_exchange() = default;

    /// \returns Whether a roll-out is under way, so that records must be read without a pause.
    virtual bool is_active() const = 0;
    /// \returns This router's report to its relay as a JSON object; empty when there is none. The
    /// same report is returned until \ref acknowledge_report.
    virtual std::string pending_report() = 0;
    /// \brief The relay has the report.
    virtual void acknowledge_report() = 0;
    /// \brief Receives the report of a router that follows this relay.
    virtual void apply_report(std::uint64_t router, const boost::json::object& report) = 0;
    /// \brief Sends the sums over this relay's followers to another relay.
    virtual void send_to_relay(const router_id& relay) = 0;

protected:
    rollout_exchange() = default;
    rollout_exchange(const rollout_exchange&) = default;
    rollout_exchange& operator=(const rollout_exchange&) = default;
};

/// \brief Fetches changes of all shared tables from the table service or from a relay.
class replication_service
{
public:
    /// \param time,tables Must outlive the io_context's run.
    replication_service(boost::asio::io_context& context, const clock& time, table_client& tables,
                        router_id self, source_choice choice, replication_callbacks callbacks);

    /// \brief Starts the coroutines.
    /// \param routers Rows of the routers' table, which the caller has read already.
    /// \param first_start Whether the whole fleet starts for the first time. Its routers register
    /// within the same second, so this one reads the routers' table again before it chooses a
    /// source.
    void start(const change_batch& routers, bool first_start);

    /// \brief Sets what carries counts of roll-outs; must outlive the io_context's run.
    void set_rollouts(rollout_exchange& rollouts) { rollouts_ = &rollouts; }

    /// \returns Whether each table was read at least once.
    bool is_complete() const;

    /// \brief Handles a follower's poll.
    /// \returns Changes after the revisions that it names, as soon as there are any or the time
    /// that it waits has elapsed.
    daemon::awaitable<daemon::http_response> handle_peer_request(daemon::http_request request);

    /// \brief Makes sure that the copy of a table includes all changes up to now.
    /// \returns False if the table service does not answer within \p max_wait, or has not answered
    /// such a call a moment ago.
    daemon::awaitable<bool> confirm(shared_table table, millis max_wait);

    /// \brief Records the sums over the followers of another relay.
    void record_group_sums(const group_sums& sums);

    /// \returns Age of the copy of a table; nothing before the first copy. The age of the routers'
    /// table is known only on routers that poll the table service.
    std::optional<millis> age(shared_table table) const;

    /// \brief Applies changed intervals and age limits from the next poll on.
    void set_timing(const replication_timing& timing) { source_choice_.set_timing(timing); }

    /// \returns Calls made to the table service since start.
    std::uint64_t store_calls() const { return store_calls_; }
    /// \returns Latest era of the copies.
    std::uint64_t era() const;
    /// \returns How often the table service was restored since start, as far as this router knows.
    std::uint64_t restores() const { return restores_; }
    /// \returns Whether this router serves changes to other routers.
    bool is_relaying() const { return relaying_; }
    /// \returns Whether this router polls the table service for the fleet.
    bool is_primary() const { return primary_; }

    const table_replica& replica(shared_table table) const { return replicas_.at(table); }

private:
    /// Each router that sees an endpoint fail counts, so every change is published at once.
    static load_aggregator_config make_failure_aggregator_config()
    {
        load_aggregator_config config;
        config.min_change = 1;
        config.min_change_ratio = 0.0;
        return config;
    }

    void apply_follower_failures(const daemon::http_target& target);
    void exchange_failures(std::span<const router_id> relays, time_point now);
    daemon::awaitable<void> follow_service(shared_table table);
    bool polls_service(shared_table table) const;
    millis poll_wait(shared_table table) const;
    daemon::awaitable<millis> poll_service(shared_table table, millis max_wait);
    /// \brief A read of the tables by a router that does not poll the table service.
    struct table_read
    {
        bool done = false;
        bool reached = false; ///< The table service answered for both tables.
        bool overdue = false; ///< Counted as failed before it was done.
        millis pause{0};      ///< Until the next read.
    };

    daemon::awaitable<void> read_tables(std::shared_ptr<table_read> read);
    daemon::awaitable<void> refresh();
    /// \brief Reads the tables whenever the copies get too old, whatever the relays do.
    daemon::awaitable<void> refresh_old_copies();
    std::vector<relay_candidate> live_candidates() const;
    daemon::awaitable<void> confirm_once(shared_table table);
    void update_source(const change_source& source);
    daemon::awaitable<void> follow_relays();
    daemon::awaitable<std::error_code> poll_relay(relay_peer relay);
    daemon::awaitable<std::error_code> connect_to_relay(relay_peer relay);
    daemon::awaitable<std::error_code> request_changes(relay_peer relay);
    daemon::awaitable<void> start_from_relay(const change_source& source,
                                             std::vector<relay_peer> live);
    daemon::awaitable<void> exchange_loads();
    std::error_code apply_peer_response(std::string_view body, time_point sent_at);
    void encode_peer_response(const daemon::http_target& target,
                              std::span<const shared_table> changed, time_point now,
                              daemon::http_response& response);
    /// \returns Whether the batch changed the copy.
    bool apply(shared_table table, const change_batch& batch);
    void record_service_result(shared_table table, time_point sent, std::error_code ec);
    /// \brief Records that this router does not reach the table service.
    void record_cut_off(shared_table table, std::string_view cause);
    /// \brief Records that it does, once calls for all tables succeed.
    void record_reached();
    /// \returns The pause before the next poll; none if the answer makes progress.
    millis record_progress(shared_table table, const poll_answer& answer);
    void renew_freshness(shared_table table, time_point instant);
    /// \returns Age of the older one of the operator's and the endpoints' table, whose changes must
    /// be in force within a bound; nothing before the first copies.
    std::optional<millis> age() const;
    daemon::awaitable<void> wait_for_change(millis max_wait);
    void end_waits();
    /// \returns Whether a follower that polls gets an answer at once, since its copy is overdue and
    /// this router's is younger.
    bool helps_follower(millis follower_age) const;
    /// \brief Records whether the relay knows of an outage, before its rows are applied.
    void record_relay_answer(const boost::json::object& response, time_point sent_at);
    bool is_settling() const;
    /// \returns Whether a source of changes is in a later era than all copies.
    bool is_restored(std::uint64_t source_era) const;

    struct service_state
    {
        bool reachable = false;    ///< The last call succeeded.
        std::int64_t failures = 0; ///< Consecutive failures.
        poll_progress progress;
        int confirming = 0;                       ///< Calls of \ref confirm that are under way.
        time_point confirm_sent_at;               ///< When the latest of them was sent.
        std::optional<time_point> unconfirmed_at; ///< When the last such call failed.
    };

    /// \brief Encoded changes of a table for followers.
    struct served_changes
    {
        explicit served_changes(shared_table table) : encoder(table), cache(encoder) {}

        json_change_encoder encoder;
        encoded_change_cache cache;
    };

    router_id self_;
    boost::asio::io_context& context_;
    const clock& time_;
    table_client& tables_;
    source_choice source_choice_;
    replication_callbacks callbacks_;
    std::map<shared_table, table_replica> replicas_;
    std::map<shared_table, service_state> service_states_;
    std::map<shared_table, served_changes> served_changes_;
    remote_clock service_clock_;
    std::map<shared_table, freshness_lease> freshness_;
    service_outage outage_;
    std::set<boost::asio::steady_timer*> waiters_;
    std::shared_ptr<daemon::http_connection> relay_connection_;
    router_id connected_relay_;
    bool relaying_ = false;
    bool primary_ = false;
    router_id current_relay_;                ///< Relay polled last; empty for the table service.
    std::optional<millis> relay_answer_age_; ///< Age that the relay has stated in this poll.
    std::string relay_answer_source_;        ///< Source that it has stated, if its copy is old.
    int reads_under_way_ = 0;
    bool reads_routers_again_ = false;
    time_point probes_known_at_; ///< From then on the failure detector tells which routers live.
    std::optional<start_sequence> start_sequence_; ///< Set until this router has its first copies.
    bool starts_from_service_ = false; ///< Reads tables without a copy from the table service.
    std::uint64_t store_calls_ = 0;
    std::uint64_t restores_ = 0;
    load_aggregator load_aggregator_;
    rollout_exchange* rollouts_ = nullptr;
    std::uint64_t loads_sequence_ = 0; ///< Sequence number up to which the relay's loads were read.
    /// Sums the routers that see an endpoint fail, as load_aggregator_ sums open requests.
    load_aggregator failure_aggregator_{make_failure_aggregator_config()};
    std::uint64_t failures_sequence_ = 0; ///< The same for failures.
    bool sent_failures_ = false;          ///< The last sums that were sent were not empty.
};

} // namespace endivestage::serving
