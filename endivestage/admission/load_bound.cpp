#include <endivestage/admission/load_bound.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace endivestage
{

std::uint32_t bounded_limit(double multiple, double mean, double weight)
{
    assert(weight > 0.0);
    // The subtraction keeps rounding errors from turning 1.25 x 4 into 6.
    const double whole = std::ceil(multiple * mean * weight - 1e-9);
    return whole < 1.0 ? 1U : static_cast<std::uint32_t>(whole);
}

void load_bound::update(const pool_mean& mean, time_point taken, time_point now)
{
    if (now - taken > policy_.max_mean_age || taken < taken_)
    {
        return;
    }
    mean_ = mean.value();
    pool_load_ = mean.load;
    taken_ = taken;
    stale_ = false;
}

void load_bound::expire(std::uint32_t load, double weight, time_point now)
{
    if (stale_ || now - taken_ <= policy_.max_mean_age)
    {
        return;
    }
    frozen_ = std::min(limit(weight), std::max(1U, load));
    stale_ = true;
}

std::uint32_t load_bound::limit(double weight) const
{
    return stale_ ? frozen_ : bounded_limit(admission_multiple(), mean_, weight);
}

double load_bound::admission_multiple() const
{
    const double deviation = 1.0 / std::sqrt(std::max(1.0, pool_load_));
    return std::max(policy_.least_multiple,
                    policy_.multiple * (1.0 - policy_.fall_margin * deviation));
}

} // namespace endivestage
