/// \file
/// \brief The owner's side of one engine: issues permits within the load bound.
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
    millis report_lag{1000};        ///< Largest lag of an engine's load report (assumed, 2.3).
    double capacity = 1.0;          ///< Weight of the engine.
    std::uint32_t max_requests = 0; ///< Absolute limit of the engine; 0 for none.
    std::uint64_t cache_tokens = 1000000; ///< Tokens that the engine's prefix cache holds.
    /// Multiple of the mean up to which requests without a cached history are admitted. The places
    /// above are kept for chats that would lose their cache elsewhere.
    double open_multiple = 1.05;
    std::uint32_t min_cached_history_tokens =
        1; ///< Cached tokens from which a request may use these places.
};

/// \brief Load report of an engine.
struct engine_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;     ///< Queued inside the engine.
    std::uint64_t incarnation = 0; ///< Changes with each start of the engine.
    bool cache_lost = false;       ///< The engine dropped its prefix cache since the last report.
    bool warm = false;             ///< The engine says that it can take full load.
};

/// \brief Whether an engine may get new work.
enum class engine_service_state
{
    in_service,
    leaving,        ///< Refused with endpoint_leaving.
    out_of_service, ///< Its zone was taken out; refused with zone_out_of_service.
    suspected,      ///< Refused with endpoint_unavailable.
};

/// \brief Issues the permits of one engine at its owner.
///
/// All times are on the owner's monotonic clock and never step back between calls. Functions that
/// may free a place or end a wait return the waiting requests that were decided, in order.
class engine_gate
{
public:
    /// \param engine Name of the engine.
    /// \param view View under which this router owns the engine.
    /// \param ask Routers whose held permits must be known before the first permit is issued; empty
    /// for an engine that no router can hold permits for.
    engine_gate(const gate_config& config, endpoint_id engine, std::uint64_t view,
                std::span<const router_id> ask, time_point now);

    /// \brief Asks for a permit.
    /// \returns A permit, a queue_ticket when the request waits, or a refusal (see permit_answer).
    permit_answer acquire(const permit_request& request, time_point now);

    /// \brief Returns a permit. Unknown or repeated keys have no effect.
    std::vector<queue_decision> release(permit_key key, const permit_outcome& outcome,
                                        time_point now);

    /// \brief Withdraws a waiting request. No effect when it no longer waits.
    void cancel(queue_ticket ticket);

    /// \brief The holder is known to be dead: its waiting requests are dropped without a decision,
    /// its permits count until a report shows what is left of them.
    std::vector<queue_decision> handle_holder_failure(const router_id& holder, time_point now);

    /// \brief The holder told which permits it holds; others of it are gone (lost release or
    /// answer).
    /// \param asked When it was asked. Permits issued later, or less than the time to use before,
    /// are kept: they may still be on their way to the holder.
    std::vector<queue_decision> reconcile(const router_id& holder, std::span<const permit_key> held,
                                          time_point asked, time_point now);

    /// \returns Holders of permits older than \p age, which should be asked what they hold.
    std::vector<router_id> holders_to_reconcile(millis age, time_point now) const;

    /// \brief Takes over a load report.
    ///
    /// The load of a report whose answer took longer than the report lag is ignored: the process
    /// may have been paused while the report waited.
    /// \param asked When the report was asked for.
    std::vector<queue_decision> apply_report(const engine_report& report, time_point asked,
                                             time_point now);

    /// \brief Takes over a load report that was asked for and received at \p now.
    std::vector<queue_decision> apply_report(const engine_report& value, time_point now)
    {
        return apply_report(value, now, now);
    }

    /// \brief Takes over a pool mean.
    /// \param sampled_at When the digest that it answers was sent.
    std::vector<queue_decision> update_mean(const pool_mean& mean, time_point sampled_at,
                                            time_point now);

    /// \brief Changes whether the engine gets new work. Waiting requests are refused to their entry
    /// routers when it does not.
    std::vector<queue_decision> set_service_state(engine_service_state service, time_point now);

    /// \brief Extends or ends the right to issue permits (confirmation of the view, R1).
    /// \param until Permits are issued before this instant.
    std::vector<queue_decision> set_confirmed(std::uint64_t view, time_point until, time_point now);

    /// \brief Keeps a waiting request in the queue; sent by its holder about every 250 ms.
    ///
    /// The time to use of a permit counts from when the holder sent the renewal that the permit
    /// names, so that a permit issued after a long wait is still bounded by its issue (R5, R6).
    /// \param renewal Number of the renewal, growing per ticket.
    /// \returns False when the request no longer waits here.
    bool renew(queue_ticket ticket, std::uint32_t renewal, time_point now);

    /// \brief Refuses waiting requests whose deadline can no longer be met. Call about every 100
    /// ms.
    std::vector<queue_decision> tick(time_point now);

    /// \brief Permits that a router of the old or new view holds on this engine (rebuild, R6).
    std::vector<queue_decision> restore_permits(const router_id& router,
                                                std::span<const held_permit> held, time_point now);

    /// \brief The old owner's handover says that this incarnation of the engine is warm.
    std::vector<queue_decision> mark_warm(std::uint64_t incarnation, time_point now);

    /// \brief Takes over the old owner's estimate of the engine's cache, cache().entries() there.
    ///
    /// Chats that this owner has recorded itself are kept as they are.
    /// \param incarnation Incarnation that the estimate is of; another one than reported has no
    /// effect.
    void restore_cache(std::uint64_t incarnation, std::span<const recency_entry> entries);

    /// \returns All counted permits, for a handover to the next owner.
    std::vector<held_permit> snapshot() const;

    /// \returns The engine's entry in the owner's load digest, or nothing while it gets no new
    /// work.
    ///
    /// The capacity of a cold engine is reduced to the share that its ramp allows or its load uses,
    /// whichever is larger: places that it must not fill yet would lower the mean and with it the
    /// limits of the warm engines.
    std::optional<engine_load> digest_entry() const;

    /// \brief Sent with every answer to a permit request, refusals included; read before acquire.
    /// \returns Nothing while the engine gets no new work or its permits are not known yet.
    std::optional<engine_status> status(const chat_id& chat) const;

    /// \returns Requests on the engine as counted by the owner.
    std::uint32_t load() const { return account_.load(); }

    /// \returns The load up to which permits are issued now.
    std::uint32_t limit() const;

    /// \returns True until the held permits of all routers are known (R6).
    bool is_rebuilding() const { return rebuilding_; }

    std::size_t waiting() const { return queue_.size(); }
    const cold_start_ramp& ramp() const { return ramp_; }
    const recency_index& cache() const { return cache_; }

    /// \brief Records a cache event: the engine no longer holds the chat.
    void record_eviction(const chat_id& chat) { cache_.erase(chat_key(chat)); }

private:
    struct issued_permit
    {
        held_permit held;
        time_point issued;
        std::uint32_t ramp_epoch = 0;
        std::uint32_t prefill = 0; // History tokens outside the cache.
    };

    std::error_code refusal(time_point now) const;
    bool may_issue(time_point now) const;
    bool has_free_slot(std::uint32_t cached_tokens, bool checks_bound) const;
    std::uint32_t within_engine(std::uint32_t bound) const;
    millis estimated_wait(const permit_request& request) const;
    permit_answer enqueue(const permit_request& request, time_point now);
    permit issue(const permit_request& request, time_point now);
    void settle(const issued_permit& issued, const permit_outcome& outcome, time_point now);
    void note_departure(bool busy, time_point now);
    void note_incarnation(const engine_report& report);
    std::vector<queue_decision> drain(time_point now);
    std::vector<queue_decision> take_waiting(std::error_code reason);

    gate_config config_;
    endpoint_id engine_;
    std::uint64_t view_;
    time_point confirmed_until_{};
    time_point took_over_;
    std::set<router_id> unanswered_;
    bool rebuilding_;
    bool has_report_ = false;
    std::optional<std::uint64_t> incarnation_;
    engine_service_state service_ = engine_service_state::in_service;
    std::uint64_t last_sequence_ = 0;
    std::map<permit_key, issued_permit> permits_;
    internal::load_account account_;
    load_bound bound_;
    cold_start_ramp ramp_;
    team_queue queue_;
    recency_index cache_;
    std::optional<time_point> last_departure_;
    double departure_interval_ = 0.0; // Smoothed milliseconds between departures; 0: unknown.
};

} // namespace endivestage
