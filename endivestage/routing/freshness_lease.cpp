#include <endivestage/routing/freshness_lease.hpp>

#include <algorithm>

namespace endivestage
{

void remote_clock::observe(time_point sent, time_point stamp)
{
    const millis difference{sent.since_epoch - stamp.since_epoch};
    if (!least_difference_ || stamp < last_stamp_ - step_back)
    {
        least_difference_ = difference;
    }
    least_difference_ = std::max(*least_difference_, difference);
    last_stamp_ = std::max(last_stamp_, stamp);
}

std::optional<time_point> remote_clock::earliest_local(time_point stamp) const
{
    if (!least_difference_)
    {
        return std::nullopt;
    }
    return time_point{stamp.since_epoch} + *least_difference_;
}

void freshness_lease::renew(time_point instant)
{
    current_at_ = current_at_ ? std::max(*current_at_, instant) : instant;
}

std::optional<millis> freshness_lease::age(time_point now) const
{
    if (!current_at_)
    {
        return std::nullopt;
    }
    return now - *current_at_;
}

bool freshness_lease::is_valid(time_point now) const
{
    return current_at_ && now - *current_at_ < bound_;
}

} // namespace endivestage
