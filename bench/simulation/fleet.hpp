/// \file
/// \brief Fleet model: entry routers, owners and engines, driven by an event loop.
///
/// Owners use the library's engine_gate and entry routers its placement_attempt. A message between
/// routers or to an engine takes 0.5 ms.
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

/// \brief Policy that chooses the engine of a request.
enum class routing_policy
{
    endivestage,  ///< The library's placement.
    oracle,       ///< Longest prefix over the actual caches of all engines; no load bound.
    round_robin,  ///< Usable engines in turn; no load bound.
    rendezvous,   ///< The engine ranked first by rendezvous hashing; no load bound.
    local_bounds, ///< The first ranked engine within a bound on the router's own counts.
};

/// \brief Size of the fleet, its load, and the parameters of its policies.
struct fleet_config
{
    std::size_t engines = 9;
    std::uint32_t zones = 4;
    std::size_t routers = 8;
    double target_load = 5;         ///< Intended number of running requests per engine.
    std::uint32_t max_requests = 0; ///< Passed on as gate.max_requests.
    /// Whether placement in small pools compares offers with current loads.
    bool check_current_load = true;
    bool one_team = false; ///< Baseline of the team queue: all requests share one FIFO queue.
    routing_policy policy = routing_policy::endivestage;
    endivestage::gate_config gate;
    endivestage::placement_config placement;
};

/// \brief Simulated fleet that records statistics of its requests.
class fleet
{
public:
    fleet(const fleet_config& config, std::uint64_t seed);

    /// \brief Adds chats.
    /// \param only_large Whether all of them belong to large teams.
    /// \param turns_left Number of turns that each chat sends. With 0, a chat that ends is replaced
    /// by a new one.
    /// \param spread First turns are distributed uniformly over this duration.
    void add_chats(std::size_t count, bool only_large, int turns_left, micros spread);

    /// \brief Takes all engines of a zone out of service and replaces its routers.
    void remove_zone(std::uint32_t zone);

    /// \brief Restarts the engines of a zone and returns them to service; they are cold.
    void restore_zone(std::uint32_t zone);

    /// \brief Restarts an engine: it accepts no requests for \p downtime, then it is cold.
    void restart_engine(std::size_t engine, micros downtime);

    /// \brief Replaces a router by a new one, which changes the owners of some engines.
    void replace_router(std::size_t router);

    /// \brief Records into \p statistics from now on. The fleet keeps a pointer to it.
    void set_statistics(window_statistics& statistics) { statistics_ = &statistics; }

    event_loop& loop() { return loop_; }
    workload& callers() { return callers_; }

private:
    // The engine that a request is sent to, with its permit if the policy uses permits.
    struct assignment
    {
        std::size_t engine = 0;
        std::optional<endivestage::permit_key> key;
        std::size_t router = 0;
        std::optional<std::size_t> import_from; // Engine to transfer the cached prefix from.
    };

    // A request from its arrival until it finishes or is refused.
    struct pending_request
    {
        turn current_turn;
        std::size_t router = 0;
        int number = 0;
        int turns_left = 0;
        bool done = false;               // Whether a permit was granted after waiting.
        std::vector<assignment> permits; // Held until the attempt chooses an offer.
        std::vector<std::size_t> asked;  // Engines that permits were requested for.
        std::optional<endivestage::placement_attempt> attempt;
        // Engine and ticket number of each queue that the request waits in.
        std::vector<std::pair<std::size_t, std::uint64_t>> tickets;
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
    workload callers_;                          // Its random numbers are drawn in order of arrival.
    endivestage::seeded_random network_random_; // Draws delays and the routers of requests.
    std::vector<engine_model> engines_;
    std::vector<endivestage::pool_engine> pool_;
    std::vector<bool> in_service_;
    endivestage::candidate_ranking ranking_;
    std::vector<std::unique_ptr<endivestage::engine_gate>> gates_;
    std::vector<std::uint64_t> router_hashes_;
    std::vector<std::size_t> owners_; // Router of each engine; derived from router_hashes_.
    // Requests that each router has running on each engine, under baseline policies.
    std::vector<std::vector<std::uint32_t>> local_counts_;
    std::vector<std::unique_ptr<chat>> chats_;
    // Queued requests by engine and ticket number.
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
