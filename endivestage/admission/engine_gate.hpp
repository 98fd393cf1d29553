/// \file
/// \brief Issues the permits of one engine at its owner, within the load bound.
#pragma once

#include <endivestage/admission/cold_start_ramp.hpp>
#include <endivestage/admission/internal/load_account.hpp>
#include <endivestage/admission/load_bound.hpp>
#include <endivestage/admission/permit.hpp>
#include <endivestage/admission/pool_aggregate.hpp>
#include <endivestage/admission/team_queue.hpp>
#include <endivestage/placement/candidates.hpp>
#include <endivestage/placement/offer.hpp>
#include <endivestage/placement/recency_index.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Parameters of engine_gate.
struct gate_config
{
    load_bound_config bound;
    ramp_config ramp;
    queue_config queue;
    /// Maximum time between the request for a load report and the state of the engine that it
    /// shows, in either direction.
    millis report_lag{1000};
    double capacity = 1.0;                ///< Weight of the engine.
    std::uint32_t max_requests = 0;       ///< Absolute limit of the engine; 0 for none.
    std::uint64_t cache_tokens = 1000000; ///< Capacity of the engine's prefix cache in tokens.
    /// Multiple of the mean up to which requests without a cached history are admitted. The slots
    /// above it are reserved for chats that would lose their cached history on another engine.
    double open_multiple = 1.05;
    /// Minimum cached tokens of a chat whose requests may use the reserved slots.
    std::uint32_t min_cached_history_tokens = 1;
};

/// \brief Load report of an engine.
struct engine_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;     ///< Requests queued inside the engine.
    std::uint64_t incarnation = 0; ///< Changes with each start of the engine.
    bool cache_lost = false;       ///< The engine dropped its prefix cache since the last report.
    bool warm = false;             ///< The engine states that it can take full load.
};

/// \brief Whether an engine may get new requests.
enum class engine_service_state
{
    in_service,
    leaving,        ///< Requests are refused with endpoint_leaving.
    out_of_service, ///< Its zone is out of service: refused with zone_out_of_service.
    suspected,      ///< It is suspected to have failed: refused with endpoint_unavailable.
};

/// \brief Issues the permits of one engine at its owner.
///
/// All times are on the owner's monotonic clock and do not decrease from call to call. Functions
/// that may free a slot or end a wait return the decisions on waiting requests, in order.
class engine_gate
{
public:
    /// \param engine Name of the engine.
    /// \param view View under which this router owns the engine.
    /// \param routers_to_ask Routers whose held permits must be restored before the first permit is
    /// issued; empty for an engine for which no router can hold permits.
    engine_gate(const gate_config& config, endpoint_id engine, std::uint64_t view,
                std::span<const router_id> routers_to_ask, time_point now);

    /// \brief Issues a permit, queues the request, or refuses it.
    /// \returns A permit, a queue_ticket when the request waits, or a refusal (see permit_answer).
    permit_answer acquire(const permit_request& request, time_point now);

    /// \brief Returns a permit. Unknown and already returned keys have no effect.
    std::vector<queue_decision> release(permit_key key, const permit_outcome& outcome,
                                        time_point now);

    /// \brief Cancels a waiting request. No effect when it no longer waits.
    void cancel(queue_ticket ticket);

    /// \brief Handles the failure of a holder.
    ///
    /// Its waiting requests are removed without a decision. Its permits stay counted until a load
    /// report shows how many of their requests still run.
    std::vector<queue_decision> handle_holder_failure(const router_id& holder, time_point now);

    /// \brief Removes the permits of a holder that the holder does not hold, because their release
    /// or the answer that issued them was lost.
    /// \param held Keys of all permits that the holder holds.
    /// \param requested_at Time at which the holder was asked for them. Permits that were issued
    /// less than the time to use before it, or after it, are kept: they may still be in transit to
    /// the holder.
    std::vector<queue_decision> reconcile(const router_id& holder, std::span<const permit_key> held,
                                          time_point requested_at, time_point now);

    /// \returns Holders of permits older than \p age, which should be asked for the permits that
    /// they hold.
    std::vector<router_id> holders_to_reconcile(millis age, time_point now) const;

    /// \brief Applies a load report.
    ///
    /// The load of a report that arrives more than the report lag after its request is ignored: the
    /// process may have been paused while the report waited.
    /// \param requested_at Time at which the report was requested.
    std::vector<queue_decision> apply_report(const engine_report& report, time_point requested_at,
                                             time_point now);

    /// \brief Applies a load report that was requested and received at \p now.
    std::vector<queue_decision> apply_report(const engine_report& value, time_point now)
    {
        return apply_report(value, now, now);
    }

    /// \brief Applies a pool mean.
    /// \param sampled_at Time at which this owner sent the digest that the mean answers.
    std::vector<queue_decision> update_mean(const pool_mean& mean, time_point sampled_at,
                                            time_point now);

    /// \brief Changes whether the engine gets new requests. When it does not, all waiting requests
    /// are refused.
    std::vector<queue_decision> set_service_state(engine_service_state state, time_point now);

    /// \brief Extends or ends the right to issue permits, which an owner has only while its view is
    /// confirmed.
    /// \param until Permits are issued before this time only.
    std::vector<queue_decision> set_confirmed(std::uint64_t view, time_point until, time_point now);

    /// \brief Keeps a waiting request in the queue. Holders send renewals about every 250 ms.
    ///
    /// The time to use of a permit starts when the holder sent the renewal that the permit names.
    /// A permit that is issued after a long wait can therefore be used only within a bounded time
    /// after its issue, on which the rebuild of a new owner relies.
    /// \param renewal Number of the renewal, increasing per ticket.
    /// \returns False when the request no longer waits.
    bool renew(queue_ticket ticket, std::uint32_t renewal, time_point now);

    /// \brief Refuses waiting requests whose deadline has passed and removes those that are no
    /// longer renewed. Must be called about every 100 ms.
    std::vector<queue_decision> tick(time_point now);

    /// \brief Restores the permits that a router of the old or new view holds for this engine. A
    /// new owner issues permits only after this rebuild is complete.
    std::vector<queue_decision> restore_permits(const router_id& router,
                                                std::span<const held_permit> held, time_point now);

    /// \brief Applies the statement of the old owner's handover that this incarnation of the engine
    /// is warm. No effect when another incarnation has been reported.
    std::vector<queue_decision> mark_warm(std::uint64_t incarnation, time_point now);

    /// \brief Restores the old owner's estimate of the engine's cache.
    ///
    /// Chats that this owner has recorded itself are kept unchanged.
    /// \param incarnation Incarnation of the engine that the estimate describes. No effect when
    /// another incarnation has been reported.
    /// \param entries Result of cache().entries() at the old owner.
    void restore_cache(std::uint64_t incarnation, std::span<const recency_entry> entries);

    /// \returns All counted permits, for a handover to the next owner.
    std::vector<held_permit> snapshot() const;

    /// \brief Entry of the engine in the owner's load digest.
    ///
    /// The capacity of a cold engine is reduced to the share that its ramp allows or that its load
    /// uses, whichever is larger. Slots that it must not fill yet would lower the mean and with it
    /// the limits of the warm engines.
    /// \returns The entry, or nothing while the engine gets no new requests.
    std::optional<engine_load> digest_entry() const;

    /// \brief State of the engine, which is sent with each answer to a permit request, refusals
    /// included. Must be called before acquire() for the same request.
    /// \returns The state, or nothing while the engine gets no new requests or the rebuild is
    /// incomplete.
    std::optional<engine_status> status(const chat_id& chat) const;

    /// \returns Requests on the engine as counted by the owner.
    std::uint32_t load() const { return account_.load(); }

    /// \returns The load up to which permits are issued now.
    std::uint32_t limit() const;

    /// \returns True until the permits that other routers hold for the engine are counted.
    bool is_rebuilding() const { return rebuilding_; }

    /// \returns Number of waiting requests.
    std::size_t waiting() const { return queue_.size(); }

    const cold_start_ramp& ramp() const { return ramp_; }

    /// \returns Estimate of the engine's prefix cache.
    const recency_index& cache() const { return cache_; }

    /// \brief Records that the engine evicted the chat from its cache.
    void record_eviction(const chat_id& chat) { cache_.erase(chat_key(chat)); }

private:
    struct issued_permit
    {
        held_permit held;
        time_point issued_at;
        std::uint32_t ramp_epoch = 0;
        std::uint32_t prefill_tokens = 0; // History tokens that were not in the cache.
    };

    std::error_code refusal(time_point now) const;
    bool may_issue(time_point now) const;
    bool has_free_slot(std::uint32_t cached_tokens, bool checks_bound) const;
    std::uint32_t cap_to_engine_limits(std::uint32_t bound) const;
    millis estimated_wait(const permit_request& request) const;
    permit_answer enqueue(const permit_request& request, time_point now);
    permit issue(const permit_request& request, time_point now);
    void record_outcome(const issued_permit& issued, const permit_outcome& outcome, time_point now);
    void record_departure(bool at_limit, time_point now);
    void update_incarnation(const engine_report& report);
    std::vector<queue_decision> issue_to_waiting(time_point now);
    std::vector<queue_decision> refuse_waiting(std::error_code reason);

    gate_config config_;
    endpoint_id engine_;
    std::uint64_t view_;
    time_point confirmed_until_{};
    time_point owned_since_;
    std::set<router_id> pending_routers_; // Routers whose held permits are not restored yet.
    bool rebuilding_;
    bool has_report_ = false;
    std::optional<std::uint64_t> incarnation_;
    engine_service_state service_state_ = engine_service_state::in_service;
    std::uint64_t last_sequence_ = 0;
    std::map<permit_key, issued_permit> permits_;
    internal::load_account account_;
    load_bound bound_;
    cold_start_ramp ramp_;
    team_queue queue_;
    recency_index cache_;
    std::optional<time_point> last_departure_;
    double departure_interval_ = 0.0; // Smoothed, in milliseconds; 0 before the first interval.
};

} // namespace endivestage
