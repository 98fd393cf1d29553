/// \file
/// \brief Model fleet: entry routers, owners and engines, driven by an event loop.
///
/// Owners run the library's engine_gate, entry routers its placement_attempt. Messages between
/// routers and to engines take 0.5 ms.
#pragma once

#include "engine_model.hpp"
#include "event_loop.hpp"
#include "statistics.hpp"
#include "workload.hpp"

#include <endivestage/admission.hpp>
#include <endivestage/placement.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace simulation
{

/// \brief How requests are placed.
enum class routing_policy
{
    endivestage,
    oracle, ///< Knows all caches, ignores the bound.
    round_robin,
    rendezvous,   ///< First rank, no bound.
    local_bounds, ///< Each router bounds its own counts.
};

/// \brief Size of a fleet and parameters of its policies.
struct fleet_config
{
    std::size_t engines = 9;
    std::uint32_t zones = 4;
    std::size_t routers = 8;
    double target_load = 5; ///< Running requests per engine aimed at.
    std::uint32_t max_requests = 0;
    bool check_current_load = true; ///< Small pools check offers against present loads.
    bool one_team = false;          ///< Baseline of the team queue: first come, first served.
    routing_policy policy = routing_policy::endivestage;
    endivestage::gate_config gate;
    endivestage::placement_config placement;
};

/// \brief The fleet.
class fleet
{
public:
    fleet(const fleet_config& config, std::uint64_t seed);

    /// \brief Adds chats; their first turns spread over one mean pause.
    /// \param turns_left 0: chats are replaced when they end; otherwise each sends this many turns.
    void add_chats(std::size_t count, bool only_large, int turns_left, micros spread);

    /// \brief Takes a zone out of service, or brings it back with restarted engines.
    void remove_zone(std::uint32_t zone);
    void restore_zone(std::uint32_t zone);

    /// \brief Restarts an engine: it is out of service for \p downtime, then cold.
    void restart_engine(std::size_t engine, micros downtime);

    /// \brief Replaces a router: its engines get other owners.
    void replace_router(std::size_t router);

    /// \brief Selects where results are recorded.
    void set_statistics(window_statistics& statistics) { statistics_ = &statistics; }

    event_loop& loop() { return loop_; }
    workload& callers() { return callers_; }

private:
    struct assignment
    {
        std::size_t engine = 0;
        std::optional<endivestage::permit_key> key;
        std::size_t router = 0;
        std::optional<std::size_t> import_from;
    };
    struct pending_request
    {
        turn current_turn;
        std::size_t router = 0;
        int number = 0;
        int turns_left = 0;
        bool done = false;
        std::vector<assignment> permits; // Held until the attempt has decided.
        std::vector<std::size_t> asked;  // Engines whose owners were asked.
        std::optional<endivestage::placement_attempt> attempt;
        std::vector<std::pair<std::size_t, std::uint64_t>> tickets; // Engine and ticket.
    };
    using pending_request_ptr = std::shared_ptr<pending_request>;

    void arrive(chat* sender, int turns_left);
    void place(const pending_request_ptr& request);
    void execute_step(const pending_request_ptr& request, const endivestage::placement_step& step);
    void request_permits(const pending_request_ptr& request,
                         const std::vector<std::size_t>& engines);
    void join_queues(const pending_request_ptr& request, const std::vector<std::size_t>& engines);
    void place_by_baseline(const pending_request_ptr& request);
    std::size_t baseline_engine(const pending_request& request);
    std::size_t oracle_engine(const pending_request& request) const;
    std::size_t local_bound_engine(const pending_request& request) const;
    void send(const pending_request_ptr& request, const assignment& target);
    void start(const pending_request_ptr& request, const assignment& target);
    void finish(const pending_request_ptr& request, const assignment& target, double first_token,
                std::uint64_t incarnation);
    void record_loss(const pending_request& request, std::size_t engine, std::uint32_t cached);
    void refuse(const pending_request_ptr& request);
    void schedule_next_turn(chat* sender, int turns_left);
    void apply_decisions(std::size_t engine,
                         const std::vector<endivestage::queue_decision>& decisions);
    void apply_decision(std::size_t engine, const endivestage::queue_decision& decision);
    void release(std::size_t engine, endivestage::permit_key key,
                 const endivestage::permit_outcome& outcome);
    endivestage::permit_request make_permit_request(const pending_request& request,
                                                    bool wait_allowed) const;
    void resolve_offers(const pending_request_ptr& request,
                        const endivestage::placement_step& step);
    std::uint32_t import_prefix(const chat& sender, const assignment& target);
    void make_gate(std::size_t engine, bool handover);
    std::size_t owner_of(std::size_t engine) const;
    void set_service(std::size_t engine, endivestage::engine_service_state service);
    void schedule_digests();
    void send_digest(std::size_t router);
    void send_report(std::size_t engine);
    void sample_loads();
    bool is_above_bound(std::size_t engine, std::uint32_t load, bool ramped) const;
    double mean_load(bool ramped) const;
    bool is_in_service(std::size_t engine) const { return in_service_[engine]; }

    fleet_config config_;
    event_loop loop_;
    workload callers_;                          // Draws of callers, in order of arrival.
    endivestage::seeded_random network_random_; // Draws of lags and router choice.
    std::vector<engine_model> engines_;
    std::vector<endivestage::pool_engine> pool_;
    std::vector<bool> in_service_;
    endivestage::candidate_ranking ranking_;
    std::vector<std::unique_ptr<endivestage::engine_gate>> gates_;
    std::vector<std::uint64_t> router_hashes_;
    std::vector<std::size_t> owners_; // Per engine; changes with router_hashes_.
    std::vector<std::vector<std::uint32_t>> local_counts_;
    std::vector<std::unique_ptr<chat>> chats_;
    std::map<std::pair<std::size_t, std::uint64_t>, pending_request_ptr> waiting_;
    endivestage::pool_aggregate aggregate_;
    std::uint64_t view_ = 1;
    std::uint64_t round_robin_index_ = 0;
    int request_count_ = 0;
    window_statistics discarded_statistics_;
    window_statistics* statistics_ = &discarded_statistics_;
};

} // namespace simulation

#include "fleet_impl.hpp"
