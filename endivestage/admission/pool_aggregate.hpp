/// \file
/// \brief Sum of a pool's load from the digests of the engines' owners.
#pragma once

#include <endivestage/admission/load_bound.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace endivestage
{

/// \brief Load of one engine as its owner reports it.
struct engine_load
{
    endpoint_id engine;
    std::uint32_t load = 0; ///< Requests.
    double capacity = 1.0;  ///< Weight that counts now, see engine_gate::digest.
};

/// \brief Parameters of pool_aggregate.
struct aggregate_config
{
    millis digest_ttl{1000};    ///< A digest that was not renewed for this long leaves the sums.
    millis warm_up_period{500}; ///< Two digest intervals: earlier sums may lack owners.
};

/// \brief Pool sums at the pool's aggregator.
class pool_aggregate
{
public:
    /// \param now When this router became the aggregator.
    pool_aggregate(const aggregate_config& config, time_point now);

    /// \brief Takes over a digest, which replaces all earlier loads of this owner.
    ///
    /// An engine that another owner reported under a newer view is ignored.
    /// \param view View under which the owner owns the engines.
    /// \param age Age of the digest when it arrived, in milliseconds.
    void update(const router_id& owner, std::uint64_t view, std::span<const engine_load> engines,
                millis age, time_point now);

    /// \returns The sums over digests that have not expired, or nothing during the warm-up or
    /// without any digest.
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
