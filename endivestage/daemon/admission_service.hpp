/// \file
/// \brief Permits of a running router: as the owner of engines and as a holder.
#pragma once

#include <endivestage/admission.hpp>
#include <endivestage/daemon/cluster_service.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/daemon/node_context.hpp>
#include <endivestage/daemon/wire.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

/// \brief A permit held by this router, with what is needed to use and return it.
struct holding
{
    endpoint_id engine;
    granted_permit granted;
    request_id request;
    chat_id chat;
    time_point asked; ///< When the request, or the renewal that the permit names, was sent.
};

/// \brief When a permit request and its renewals were sent. Thread-safe.
class renewal_times
{
public:
    /// \returns The number of the renewal; 0 for the request itself.
    std::uint32_t add(time_point sent)
    {
        const std::scoped_lock lock(mutex_);
        times_.push_back(sent);
        return static_cast<std::uint32_t>(times_.size() - 1);
    }

    /// \returns When a renewal was sent; nothing when it never was.
    std::optional<time_point> find(std::uint32_t renewal) const
    {
        const std::scoped_lock lock(mutex_);
        return renewal < times_.size() ? std::optional(times_[renewal]) : std::nullopt;
    }

    /// \brief The request was answered; it needs no more renewals.
    void finish()
    {
        const std::scoped_lock lock(mutex_);
        finished_ = true;
    }

    /// \returns Whether finish was called.
    bool finished() const
    {
        const std::scoped_lock lock(mutex_);
        return finished_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<time_point> times_;
    bool finished_ = false;
};

/// \brief Issues permits for owned engines and gets permits for requests of this router.
class admission_service
{
public:
    admission_service(node_context& node, configuration_service& configuration,
                      cluster_service& cluster);

    /// \brief Starts reports, digests and queues, and answers peers.
    void start();

    /// \brief Gets a permit for a request from the owner of an engine.
    /// \param remaining Time until the deadline of the request.
    /// \returns The permit, held by this router until released, or a typed refusal (not_run).
    awaitable<result<holding>> acquire(endpoint_id engine, permit_request request,
                                       millis remaining);

    /// \brief Whether the permit may be used now (R5). Check immediately before sending.
    std::error_code check(const holding& held) const;

    /// \brief Returns a permit to the owner.
    void release(const holding& held, const permit_outcome& outcome);

    /// \returns Number of permits that this router holds.
    std::size_t held_count() const;

    /// \brief State of each owned engine for `endivestage status`.
    boost::json::array describe() const;

    void on_became_owner(const ownership_acquired& takeover);
    void on_stopped_owning(const ownership_lost& ended);
    void on_router_dead(const router_id& router);

    /// \brief Takes over service states and policies after configuration, zones or hosts changed.
    void refresh();

private:
    static constexpr millis peer_timeout{1000}; ///< Of calls to other routers that do not wait.

    using answer_callback = std::function<void(rpc_answer)>;
    using pending_calls = std::vector<std::function<void()>>;
    using waiting_key = std::pair<router_id, request_id>;

    struct waiting_caller
    {
        queue_ticket ticket;
        answer_callback done;
        time_point renewed; ///< When the request or its last renewal was received.
    };

    struct owned_engine
    {
        engine_gate gate;
        gate_config policy;
        pool_id pool;
        network_address address;
        std::map<waiting_key, waiting_caller> waiting;
        owner_rebuild rebuild;                   ///< Decides when the count is complete (R6).
        std::map<permit_key, time_point> issued; ///< Own permits that are out, by issue time.
        std::uint64_t view_number = 0;
        std::uint64_t incarnation = 0; ///< Of the engine, as last reported.
        bool polling = false;          ///< A load report is under way.
    };

    struct kept_handover
    {
        engine_handover value;
        time_point until; ///< When it is dropped.
    };

    struct owned_aggregate
    {
        pool_aggregate sums;
        time_point used;
    };

    /// What a pool's configuration says about one engine.
    struct engine_configuration
    {
        pool_id pool;
        network_address address;
        gate_config policy;
    };

    using held_key = std::pair<endpoint_id, permit_key>;
    using gate_work = std::function<std::vector<queue_decision>(owned_engine&, time_point)>;

    void tick_queue(const endpoint_id& engine);
    bool with_gate(const endpoint_id& engine, const gate_work& work);
    void take_decisions(owned_engine& owned, std::vector<queue_decision> decisions,
                        pending_calls& calls) const;
    rpc_answer make_answer(const permit& value) const;
    void acquire_local(const acquire_message& message, answer_callback done);
    awaitable<rpc_answer> acquire_here(acquire_message message);
    awaitable<rpc_answer> ask_owner(const member& owner, acquire_message message);
    awaitable<void> renew_while_waiting(member owner, acquire_message message,
                                        std::shared_ptr<renewal_times> sent);
    bool renew_local(const waiting_key& key, const endpoint_id& engine, std::uint32_t renewal);
    void release_local(const endpoint_id& engine, permit_key key, const message_origin& owner,
                       const permit_outcome& outcome);
    void return_permit(const member& to, const holding& held, const permit_outcome& outcome);
    std::optional<engine_configuration> find_engine(const endpoint_id& engine) const;
    held_report report_held(const endpoint_id& engine, std::uint64_t view_number);
    std::vector<endpoint_id> owned_engines() const;
    awaitable<void> poll_engine(endpoint_id engine, network_address address);
    void poll_engines();
    void ask_holders();
    awaitable<void> ask_rebuild(endpoint_id engine, member who, std::uint64_t view_number);
    std::vector<queue_decision> take_report(const endpoint_id& engine, owned_engine& owned,
                                            const held_report& report, time_point now) const;
    engine_handover make_handover(const endpoint_id& engine, const owned_engine& owned,
                                  const ownership_lost& ended) const;
    void note_issued(owned_engine& owned, const permit& issued, time_point now) const;
    void forget_returned(const endpoint_id& engine, owned_engine& owned) const;
    awaitable<void> ask_reconcile(endpoint_id engine, router_id holder);
    awaitable<result<held_report>> fetch_held(endpoint_id engine, member who,
                                              std::uint64_t view_number);
    void send_digests();
    awaitable<void> send_digest(pool_id pool, std::uint64_t view_number,
                                std::vector<engine_load> loads);
    awaitable<std::optional<pool_mean>> exchange_digest(const member& aggregator,
                                                        const pool_id& pool,
                                                        std::uint64_t view_number,
                                                        const std::vector<engine_load>& loads);
    std::optional<pool_mean> aggregate(const router_id& owner, const pool_id& pool,
                                       std::uint64_t view_number,
                                       const std::vector<engine_load>& loads);
    awaitable<rpc_answer> on_digest(router_id from, const boost::json::object& body);
    void handle_calls();

    node_context& node_;
    configuration_service& configuration_;
    cluster_service& cluster_;

    mutable std::mutex mutex_; ///< Guards the members below.
    std::map<endpoint_id, owned_engine> owned_;
    std::map<held_key, holding> held_;
    std::map<pool_id, owned_aggregate> aggregates_;
    std::map<endpoint_id, kept_handover> handovers_;
};

} // namespace endivestage::daemon
