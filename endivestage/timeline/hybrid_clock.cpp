#include <endivestage/timeline/hybrid_clock.hpp>

#include <algorithm>
#include <limits>

namespace endivestage
{

namespace
{

hybrid_time successor(hybrid_time t)
{
    if (t.counter == std::numeric_limits<std::uint32_t>::max())
    {
        return {t.wall_ms + 1, 0};
    }
    return {t.wall_ms, t.counter + 1};
}

} // namespace

hybrid_time hybrid_logical_clock::next(time_point wall_now)
{
    last_ = std::max(hybrid_time{wall_now.since_epoch, 0}, successor(last_));
    return last_;
}

errc hybrid_logical_clock::observe(hybrid_time remote, time_point wall_now)
{
    if (remote.wall_ms > (wall_now + max_clock_offset_).since_epoch)
    {
        return errc::invalid_request;
    }
    last_ = std::max(last_, remote);
    return errc::ok;
}

} // namespace endivestage
