#include <endivestage/timeline/event_rate_limiter.hpp>

#include <algorithm>

namespace endivestage
{

bool event_rate_limiter::admit(std::string_view event, time_point now)
{
    auto it = buckets_.find(event);
    if (it == buckets_.end())
    {
        it = buckets_.emplace(std::string(event), bucket{burst_, now, 0}).first;
    }
    bucket& kind = it->second;
    const double refill =
        max_lines_per_second_ * static_cast<double>((now - kind.refilled_at).count) / 1000.0;
    kind.tokens = std::min(burst_, kind.tokens + refill);
    kind.refilled_at = now;
    if (kind.tokens < 1.0)
    {
        ++kind.dropped;
        return false;
    }
    kind.tokens -= 1.0;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> event_rate_limiter::take_dropped()
{
    std::vector<std::pair<std::string, std::uint64_t>> dropped;
    for (std::pair<const std::string, bucket>& entry : buckets_)
    {
        if (entry.second.dropped > 0)
        {
            dropped.emplace_back(entry.first, std::exchange(entry.second.dropped, 0));
        }
    }
    return dropped;
}

} // namespace endivestage
