/// \file
/// \brief How many requests the routers of a fleet have open at each engine.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Requests that one or several routers have open at an engine.
struct engine_requests
{
    std::uint64_t engine = 0; ///< Hash of the engine's id.
    std::uint32_t requests = 0;

    bool operator==(const engine_requests&) const = default;
};

/// \brief What a reader of a \ref load_aggregator gets.
struct load_changes
{
    std::vector<engine_requests> loads; ///< Sums over the fleet.
    std::uint64_t last_sequence = 0;    ///< Number to ask with next time.
    bool complete = false;              ///< Engines that are not listed have no open requests.
};

/// \brief Limits of a \ref load_aggregator.
struct load_aggregator_config
{
    /// A source that said nothing for this long is not counted: a few missed reports.
    millis source_ttl{1000};
    /// Readers are told a sum again when it differs by at least this many requests and by
    /// the ratio below of what they know; smaller changes do not move a choice, and each costs
    /// bytes at every router.
    std::uint32_t min_change = 2;
    double min_change_ratio = 0.2;
    /// A smaller difference is told after this time.
    millis small_change_delay{500};
    /// Sums are compared with what was told this often, not with each report of each router.
    millis refresh_interval{100};
    /// An engine without open requests is forgotten after this; readers ask far more often.
    millis idle_ttl{10000};
};

/// \brief Sums the open requests of all routers for each engine.
///
/// Engines report their load with their answers, and a busy engine answers late, so in a large
/// fleet a router learns too late which engines are busy. Routers know exactly what they have open:
/// each tells its relay, relays tell each other the sums of their followers, and every router reads
/// the sums of all from its relay. Instants passed in must not decrease.
class load_aggregator
{
public:
    explicit load_aggregator(load_aggregator_config config = {}) : config_(config) {}

    /// \brief Replaces what a router that follows this relay has open.
    /// \param router Hash of its id.
    void apply_router_report(std::uint64_t router, std::span<const engine_requests> open,
                             time_point now);

    /// \brief Replaces what the followers of another relay have open.
    void apply_relay_report(std::uint64_t relay, std::span<const engine_requests> open,
                            time_point now);

    /// \returns Sums over the routers that follow this relay, for the other relays.
    std::vector<engine_requests> follower_loads(time_point now);

    /// \returns Sums that readers were not told since number \p since; all for 0.
    load_changes changes_since(std::uint64_t since, time_point now);

private:
    struct source
    {
        std::map<std::uint64_t, std::uint32_t> open; ///< By engine.
        bool group = false;
        time_point reported_at;
    };

    struct entry
    {
        std::int64_t requests = 0; ///< Sum over all sources.
        std::uint32_t told = 0;
        std::uint64_t number = 0; ///< Of the latest change that readers are told.
        time_point told_at{-1000000};
    };

    void replace(std::uint64_t key, bool group, std::span<const engine_requests> open,
                 time_point now);
    void remove(const source& gone);
    void refresh(time_point now);
    void expire_sources(time_point now);
    void tell(std::uint64_t engine, entry& known, time_point now);

    load_aggregator_config config_;
    std::map<std::uint64_t, source> sources_;
    std::map<std::uint64_t, entry> engines_;
    std::map<std::uint64_t, std::uint64_t> by_number_; ///< Engines in the order they were told.
    std::uint64_t sequence_ = 0;
    time_point refreshed_at_{-1000000};
};

} // namespace endivestage
