#include <endivestage/routing/freshness_lease.hpp>

#include <algorithm>

namespace endivestage
{

void remote_clock::observe(time_point sent, time_point timestamp)
{
    const millis difference{sent.since_epoch - timestamp.since_epoch};
    if (!min_difference_ || timestamp < last_timestamp_ - restart_threshold)
    {
        min_difference_ = difference;
    }
    min_difference_ = std::max(*min_difference_, difference);
    last_timestamp_ = std::max(last_timestamp_, timestamp);
}

std::optional<time_point> remote_clock::earliest_local(time_point timestamp) const
{
    if (!min_difference_)
    {
        return std::nullopt;
    }
    return time_point{timestamp.since_epoch} + *min_difference_;
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
    return current_at_ && now - *current_at_ < ttl_;
}

} // namespace endivestage
