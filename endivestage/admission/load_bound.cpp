#include <endivestage/admission/load_bound.hpp>

#include <algorithm>
#include <cmath>

namespace endivestage
{

void load_bound::update(const pool_mean& mean, time_point sampled_at, time_point now)
{
    if (now - sampled_at > config_.max_mean_age || sampled_at < sampled_at_)
    {
        return;
    }
    mean_ = mean.value();
    pool_load_ = mean.load;
    sampled_at_ = sampled_at;
    stale_ = false;
}

void load_bound::expire(std::uint32_t load, double weight, time_point now)
{
    if (stale_ || now - sampled_at_ <= config_.max_mean_age)
    {
        return;
    }
    stale_limit_ = std::min(limit(weight), std::max(1U, load));
    stale_ = true;
}

std::uint32_t load_bound::limit(double weight) const
{
    return stale_ ? stale_limit_ : bounded_limit(admission_multiple(), mean_, weight);
}

std::uint32_t load_bound::limit_without_margin(double weight) const
{
    const std::uint32_t unreduced = bounded_limit(config_.multiple, mean_, weight);
    return stale_ ? stale_limit_ : std::max(limit(weight), unreduced);
}

double load_bound::admission_multiple() const
{
    const double relative_deviation = 1.0 / std::sqrt(std::max(1.0, pool_load_));
    return std::max(config_.min_multiple,
                    config_.multiple * (1.0 - config_.fall_margin * relative_deviation));
}

} // namespace endivestage
