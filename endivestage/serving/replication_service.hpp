/// \file
/// \brief Keeps the copies of the shared tables up to date and serves them to other routers.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/routing.hpp>
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

/// \brief A peer that may relay, with its address.
struct relay_peer
{
    relay_candidate candidate;
    daemon::network_address address;
};

/// \brief What the service calls.
struct replication_callbacks
{
    /// Rows changed. \p settling: the table was out of reach until shortly before.
    std::function<void(shared_table, std::span<const replicated_row>, bool settling)>
        on_rows_changed;
    /// The copy of the operator's table was current at this local instant.
    std::function<void(time_point)> on_current;
    /// A copy was brought up to date, with or without changes.
    std::function<void()> on_updated;
    /// What this router has open at engines.
    std::function<std::vector<engine_requests>()> open_requests;
    /// Sums of what all routers have open at engines.
    std::function<void(const load_changes&)> on_fleet_loads;
    /// Sends the sums of this relay's followers to another relay.
    std::function<void(const router_id&, std::span<const engine_requests>)> send_to_relay;
    /// The routers that are believed alive.
    std::function<std::vector<relay_peer>()> live_routers;
};

/// \brief Follows the table service, or a relay, for all shared tables.
class replication_service
{
public:
    /// \param time,source Must outlive the io_context's run.
    replication_service(boost::asio::io_context& context, const clock& time, table_client& source,
                        router_id self, source_choice choice, replication_callbacks callbacks);

    /// \brief Starts the coroutines.
    /// \param routers The routers' table, which was read before.
    void start(const change_batch& routers);

    /// \returns Whether all tables were read at least once.
    bool is_complete() const;

    /// \brief Answers a peer: changes after the revisions it names, as soon as there are any.
    daemon::awaitable<daemon::http_response> handle_peer_request(daemon::http_request request);

    /// \brief Takes the sums of the followers of another relay.
    /// \param relay Hash of its id.
    void record_group_loads(std::uint64_t relay, std::span<const engine_requests> loads);

    /// \returns Age of the copy of the operator's table.
    std::optional<millis> age() const;

    std::uint64_t store_calls() const { return store_calls_; }
    bool is_relaying() const { return relaying_; }

    const table_replica& replica(shared_table table) const { return replicas_.at(table); }

private:
    daemon::awaitable<void> follow_service(shared_table table);
    daemon::awaitable<millis> poll_service(shared_table table, millis wait);
    daemon::awaitable<void> refresh();
    void note_source(const change_source& source);
    daemon::awaitable<void> follow_relays();
    daemon::awaitable<void> ask_relay(relay_peer relay);
    daemon::awaitable<void> share_loads();
    std::vector<relay_candidate> candidates() const;
    std::error_code take_peer_answer(std::string_view body, time_point asked);
    void apply(shared_table table, const change_batch& batch, bool settling);
    void note_service(shared_table table, std::error_code ec);
    void renew(time_point instant);
    daemon::awaitable<void> wait_for_change(millis time);
    bool settling(shared_table table) const;

    struct service_state
    {
        bool reached = false;      ///< The last call succeeded.
        std::int64_t failures = 0; ///< In a row.
        time_point last_success{-1};
        time_point settled_at{-1}; ///< Deletions before this may be lapses of an outage.
    };

    router_id self_;
    boost::asio::io_context& context_;
    const clock& time_;
    table_client& service_;
    source_choice choice_;
    replication_callbacks callbacks_;
    std::map<shared_table, table_replica> replicas_;
    std::map<shared_table, service_state> services_;
    remote_clock service_clock_;
    freshness_lease freshness_{millis{0}};
    std::set<boost::asio::steady_timer*> waiters_;
    std::shared_ptr<daemon::http_connection> relay_;
    router_id relay_id_;
    bool relaying_ = false;
    router_id source_; ///< Relay asked last; empty for the table service.
    std::uint64_t store_calls_ = 0;
    load_aggregator board_;
    std::uint64_t loads_seen_ = 0; ///< Number of the relay's board up to which loads are known.
};

} // namespace endivestage::serving
