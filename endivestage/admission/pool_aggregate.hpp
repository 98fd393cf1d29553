/// \file
/// \brief Sums the load and capacity of a pool from the digests of the engines' owners.
#pragma once

#include <endivestage/admission/load_bound.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace endivestage
{

/// \brief Entry of one engine in a load digest of its owner.
struct engine_load
{
    endpoint_id engine;
    std::uint32_t load = 0; ///< Requests on the engine.
    double capacity = 1.0;  ///< Usable part of its weight, see engine_gate::digest_entry().
};

/// \brief Parameters of pool_aggregate.
struct aggregate_config
{
    millis digest_ttl{1000}; ///< A digest that is not renewed within this time leaves the sums.
    /// Time after the start in which no sums are returned: within two digest intervals they may
    /// lack the engines of some owners.
    millis warm_up_period{500};
};

/// \brief Sums over the engines of a pool, kept by the router that is the pool's aggregator.
class pool_aggregate
{
public:
    /// \param now Time at which this router became the aggregator.
    pool_aggregate(const aggregate_config& config, time_point now);

    /// \brief Applies a digest. It replaces all earlier entries of this owner.
    ///
    /// Entries of engines that another owner reported under a newer view are ignored.
    /// \param view View under which the owner owns the engines.
    /// \param age Age of the digest when it arrived, in milliseconds.
    void update(const router_id& owner, std::uint64_t view, std::span<const engine_load> engines,
                millis age, time_point now);

    /// \returns The sums over all entries that have not expired; empty during the warm-up period
    /// and when the sums have no capacity.
    std::optional<pool_mean> mean(time_point now) const;

private:
    struct entry
    {
        router_id owner;
        std::uint64_t view = 0;
        std::uint32_t load = 0;
        double capacity = 1.0;
        time_point sampled_at;
    };

    aggregate_config config_;
    time_point started_;
    std::unordered_map<endpoint_id, entry> engines_;
};

} // namespace endivestage
