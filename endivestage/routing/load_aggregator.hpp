/// \file
/// \brief Sums of the requests that all routers of a fleet have open at each engine.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief Number of requests that one or several routers have open at an engine.
struct engine_requests
{
    std::uint64_t engine = 0; ///< Hash of the engine's id.
    std::uint32_t requests = 0;

    bool operator==(const engine_requests&) const = default;
};

/// \brief Load sums that were published by a \ref load_aggregator since a given sequence number.
struct load_changes
{
    std::vector<engine_requests> loads; ///< Sums over the fleet.
    std::uint64_t last_sequence = 0;    ///< Argument for the next load_aggregator::changes_since.
    bool complete = false;              ///< Engines that are not listed have no open requests.
};

/// \brief Tunables of a \ref load_aggregator.
struct load_aggregator_config
{
    /// A source without a report for this long is not counted; it has missed several reports.
    millis source_ttl{1000};
    /// A sum is published again at once when it differs from the published one by at least this
    /// many requests and by at least min_change_ratio of the published sum. Smaller changes do not
    /// affect which endpoint is chosen, and each published sum costs bytes at every router.
    std::uint32_t min_change = 2;
    double min_change_ratio = 0.2;
    /// A smaller difference is published after this time.
    millis small_change_delay{500};
    /// Sums are compared with the published ones this often instead of with each router's report.
    millis refresh_interval{100};
    /// An engine without open requests is removed after this time. Readers poll far more often, so
    /// they have received its sum of 0 by then.
    millis idle_ttl{10000};
};

/// \brief Sums the open requests of all routers for each engine. Runs on every relay.
///
/// Engines report their load with their answers, and a busy engine answers late, so in a large
/// fleet these reports show too late which engines are busy. Routers count their own open requests
/// exactly: each router reports its counts to its relay, relays exchange the sums of their
/// followers, and every router reads the sums over the fleet from its relay. The times passed in
/// must not decrease.
class load_aggregator
{
public:
    explicit load_aggregator(load_aggregator_config config = {}) : config_(config) {}

    /// \brief Replaces the open requests of a router that follows this relay.
    /// \param router Hash of the router's id.
    void apply_router_report(std::uint64_t router, std::span<const engine_requests> open,
                             time_point now);

    /// \brief Replaces the open requests of the followers of another relay.
    /// \param relay Hash of the relay's id.
    void apply_relay_report(std::uint64_t relay, std::span<const engine_requests> open,
                            time_point now);

    /// \returns Sums over the routers that follow this relay, to be sent to the other relays.
    std::vector<engine_requests> follower_loads(time_point now);

    /// \returns Sums that were published after the sequence number \p since; all sums for 0.
    load_changes changes_since(std::uint64_t since, time_point now);

private:
    struct source
    {
        std::map<std::uint64_t, std::uint32_t> open; ///< By engine.
        bool is_relay = false; ///< The sums of a relay's followers; otherwise one router's counts.
        time_point reported_at;
    };

    struct entry
    {
        std::int64_t requests = 0;   ///< Sum over all sources.
        std::uint32_t published = 0; ///< The sum that readers have received last.
        std::uint64_t sequence = 0;  ///< Sequence number of the latest published sum.
        time_point published_at{-1000000};
    };

    void replace(std::uint64_t key, bool is_relay, std::span<const engine_requests> open,
                 time_point now);
    void remove(const source& removed);
    void refresh(time_point now);
    void expire_sources(time_point now);
    void publish(std::uint64_t engine, entry& sum, time_point now);

    load_aggregator_config config_;
    std::map<std::uint64_t, source> sources_;            ///< By hash of the reporting router's id.
    std::map<std::uint64_t, entry> engines_;             ///< By hash of the engine's id.
    std::map<std::uint64_t, std::uint64_t> by_sequence_; ///< Engines in the order of publication.
    std::uint64_t sequence_ = 0;
    time_point refreshed_at_{-1000000};
};

} // namespace endivestage
