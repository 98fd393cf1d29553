/// \file
/// \brief Load limit of an engine relative to the mean load of its pool.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/placement/bounded_limit.hpp>

#include <cstdint>

namespace endivestage
{

/// \brief Parameters of load_bound.
struct load_bound_config
{
    /// Configured bound: no engine admits requests above this multiple of its share of the pool's
    /// mean load.
    double multiple = 1.25;
    /// Margin for a mean that falls after its measurement, in standard deviations of the pool's
    /// load. The load of a pool with N requests varies by about the square root of N, so that a
    /// large pool needs a smaller relative margin.
    double fall_margin = 0.7;
    /// Minimum of the admission multiple. At 1 or below, an evenly loaded pool could never admit
    /// more requests.
    double min_multiple = 1.05;
    millis max_mean_age{1000}; ///< An older mean no longer raises the limit.
};

/// \brief Load and capacity of a pool as summed up by its aggregator.
struct pool_mean
{
    double load = 0.0;     ///< Sum of the engines' loads in requests.
    double capacity = 0.0; ///< Sum of the engines' weights.
    millis oldest_age{0};  ///< Age of the oldest digest in the sums.

    /// \returns Requests per unit of weight; 0 without capacity.
    double value() const { return capacity > 0.0 ? load / capacity : 0.0; }
};

/// \brief Load limit of one engine. The limit is 1 until the first mean arrives.
class load_bound
{
public:
    explicit load_bound(const load_bound_config& config) : config_(config) {}

    /// \brief Applies a pool mean.
    ///
    /// A mean that was sampled before the last one applied, or that is older than max_mean_age, is
    /// ignored.
    /// \param sampled_at Time on the owner's clock at which it sent the digest that the aggregator
    /// answered with this mean.
    void update(const pool_mean& mean, time_point sampled_at, time_point now);

    /// \brief Lowers the limit to \p load once the mean is older than max_mean_age.
    ///
    /// Must be called before each change of the load, so that \p load is the load at the time at
    /// which the mean expired.
    void expire(std::uint32_t load, double weight, time_point now);

    /// \param weight Capacity of the engine; positive.
    /// \returns The limit in whole requests, at least 1.
    std::uint32_t limit(double weight) const;

    /// \brief Limit without the margin for a falling mean.
    ///
    /// Applies to a request whose holder compares the offer with the present loads of the whole
    /// pool before it uses the permit.
    /// \returns The limit in whole requests, at least limit().
    std::uint32_t limit_without_margin(double weight) const;

    /// \returns The multiple of the mean that limit() applies: the configured multiple less the
    /// margin for a falling mean, at least min_multiple.
    double admission_multiple() const;

    /// \returns The last mean, in requests per unit of weight.
    double mean() const { return mean_; }

    /// \returns True before the first mean and while the last one is older than max_mean_age.
    bool is_stale() const { return stale_; }

private:
    load_bound_config config_;
    double mean_ = 0.0;
    double pool_load_ = 0.0;
    time_point sampled_at_{};
    std::uint32_t stale_limit_ = 1;
    bool stale_ = true;
};

} // namespace endivestage
