/// \file
/// \brief Load limit of an engine relative to its pool's mean.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/placement/bounded_limit.hpp>

#include <cstdint>

namespace endivestage
{

/// \brief Parameters of load_bound.
struct load_bound_config
{
    double multiple = 1.25; ///< Configured bound (I1).
    /// Room left for a falling mean, in standard deviations of the pool's load. The load of a pool
    /// with N requests varies by about the square root of N, so a large pool needs less room.
    double fall_margin = 0.7;
    /// Lowest admission multiple. At 1 or below, an evenly loaded pool could never take more work.
    double min_multiple = 1.05;
    millis max_mean_age{1000}; ///< An older mean raises no limit.
};

/// \brief Load and capacity of a pool as its aggregator sees them.
struct pool_mean
{
    double load = 0.0;     ///< Sum of the engines' loads in requests.
    double capacity = 0.0; ///< Sum of the engines' weights.
    millis oldest_age{0};  ///< Age of the oldest digest in the sums.

    /// \returns Requests per unit of weight; 0 without capacity.
    double value() const { return capacity > 0.0 ? load / capacity : 0.0; }
};

/// \brief Limit of one engine. Starts at 1, without a mean.
class load_bound
{
public:
    explicit load_bound(const load_bound_config& config) : config_(config) {}

    /// \brief Takes over a pool mean.
    /// \param sampled_at When the digest it answers was sent, on the owner's clock. An answer older
    /// than the last one, or older than the policy's age, is dropped.
    void update(const pool_mean& mean, time_point sampled_at, time_point now);

    /// \brief Lowers the limit to \p load once the mean has become too old.
    ///
    /// Must be called before each change of the load, so that \p load is the one at expiry.
    void expire(std::uint32_t load, double weight, time_point now);

    /// \param weight Capacity of the engine; positive.
    /// \returns The limit in whole requests, at least 1.
    std::uint32_t limit(double weight) const;

    /// \returns The limit without room for a falling mean, for a request whose holder compares its
    /// offer with the present loads of the whole pool. At least limit().
    std::uint32_t limit_without_margin(double weight) const;

    /// \returns The admission multiple m, between the policy's least multiple and its multiple.
    double admission_multiple() const;

    /// \returns The last mean, in requests per unit of weight.
    double mean() const { return mean_; }

    /// \returns True while the mean is too old to raise the limit.
    bool is_stale() const { return stale_; }

private:
    load_bound_config config_;
    double mean_ = 0.0;
    double pool_load_ = 0.0;
    time_point sampled_at_{};
    std::uint32_t frozen_ = 1;
    bool stale_ = true;
};

} // namespace endivestage
