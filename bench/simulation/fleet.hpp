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
enum class routing
{
    endivestage,
    oracle, ///< Knows all caches, ignores the bound.
    round_robin,
    rendezvous,   ///< First rank, no bound.
    local_bounds, ///< Each router bounds its own counts.
};

/// \brief Size of a fleet and parameters of its policies.
struct fleet_options
{
    std::size_t engines = 9;
    std::uint32_t zones = 4;
    std::size_t routers = 8;
    double load = 5; ///< Running requests per engine aimed at.
    std::uint32_t most_requests = 0;
    bool check_present = true; ///< Small pools check offers against present loads.
    bool one_team = false;     ///< Baseline of the team queue: first come, first served.
    routing kind = routing::endivestage;
    endivestage::gate_config gate;
    endivestage::placement_config placement;
};

/// \brief The fleet.
class fleet
{
public:
    fleet(const fleet_options& options, std::uint64_t seed);

    /// \brief Adds chats; their first turns spread over one mean pause.
    /// \param turns_left 0: chats are replaced when they end; otherwise each sends this many turns.
    void add_chats(std::size_t count, bool only_large, int turns_left, micros spread);

    /// \brief Takes a zone out of service, or brings it back with restarted engines.
    void take_zone_out(std::uint32_t zone);
    void bring_zone_back(std::uint32_t zone);

    /// \brief Restarts an engine: it is away for \p away, then cold.
    void restart_engine(std::size_t engine, micros away);

    /// \brief Replaces a router: its engines get other owners.
    void replace_router(std::size_t router);

    /// \brief Selects where results are recorded.
    void record_in(window_record& record) { record_ = &record; }

    event_loop& loop() { return loop_; }
    workload& callers() { return callers_; }

private:
    struct placed
    {
        std::size_t engine = 0;
        std::optional<endivestage::permit_key> key;
        std::size_t router = 0;
        std::optional<std::size_t> import_from;
    };
    struct pending
    {
        turn request;
        std::size_t router = 0;
        int number = 0;
        int turns_left = 0;
        bool done = false;
        std::vector<placed> permits;    // Held until the attempt has decided.
        std::vector<std::size_t> asked; // Engines whose owners were asked.
        std::optional<endivestage::placement_attempt> attempt;
        std::vector<std::pair<std::size_t, std::uint64_t>> tickets; // Engine and ticket.
    };
    using pending_ptr = std::shared_ptr<pending>;

    void arrive(chat* of, int turns_left);
    void place(const pending_ptr& request);
    void follow(const pending_ptr& request, const endivestage::placement_step& step);
    void ask(const pending_ptr& request, const std::vector<std::size_t>& engines);
    void wait(const pending_ptr& request, const std::vector<std::size_t>& engines);
    void place_by_baseline(const pending_ptr& request);
    std::size_t baseline_engine(const pending& request);
    std::size_t oracle_engine(const pending& request) const;
    std::size_t local_bound_engine(const pending& request) const;
    void send(const pending_ptr& request, const placed& at);
    void start(const pending_ptr& request, const placed& at);
    void finish(const pending_ptr& request, const placed& at, double first_token,
                std::uint64_t incarnation);
    void record_loss(const pending& request, std::size_t engine, std::uint32_t cached);
    void refuse(const pending_ptr& request);
    void next_turn_later(chat* of, int turns_left);
    void decide(std::size_t engine, const std::vector<endivestage::queue_decision>& decisions);
    void decide_one(std::size_t engine, const endivestage::queue_decision& decision);
    void release(std::size_t engine, endivestage::permit_key key,
                 const endivestage::permit_outcome& outcome);
    endivestage::permit_request request_of(const pending& request, bool wait) const;
    void settle_offers(const pending_ptr& request, const endivestage::placement_step& step);
    std::uint32_t import_prefix(const chat& of, const placed& at);
    void make_gate(std::size_t engine, bool handover);
    std::size_t owner_of(std::size_t engine) const;
    void set_service(std::size_t engine, endivestage::engine_service_state service);
    void send_digests();
    void send_digest(std::size_t router);
    void report(std::size_t engine);
    void sample();
    bool above(std::size_t engine, std::uint32_t load, bool ramped) const;
    double mean(bool ramped) const;
    bool counts(std::size_t engine) const { return in_service_[engine]; }

    fleet_options options_;
    event_loop loop_;
    workload callers_;                   // Draws of callers, in order of arrival.
    endivestage::seeded_random network_; // Draws of lags and router choice.
    std::vector<engine_model> engines_;
    std::vector<endivestage::pool_engine> names_;
    std::vector<bool> in_service_;
    endivestage::candidate_ranking ranking_;
    std::vector<std::unique_ptr<endivestage::engine_gate>> gates_;
    std::vector<std::uint64_t> router_hashes_;
    std::vector<std::size_t> owners_; // Per engine; changes with router_hashes_.
    std::vector<std::vector<std::uint32_t>> local_counts_;
    std::vector<std::unique_ptr<chat>> chats_;
    std::map<std::pair<std::size_t, std::uint64_t>, pending_ptr> waiting_;
    endivestage::pool_aggregate aggregate_;
    std::uint64_t view_ = 1;
    std::uint64_t turn_ = 0;
    int requests_ = 0;
    window_record ignored_;
    window_record* record_ = &ignored_;
};

} // namespace simulation

#include "fleet_impl.hpp"
