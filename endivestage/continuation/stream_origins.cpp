#include <endivestage/continuation/stream_origins.hpp>

namespace endivestage
{

void stream_origins::record(std::uint64_t stream, const stream_origin& origin, time_point now,
                            bool own)
{
    expire(now);
    const auto [it, added] = streams_.try_emplace(stream);
    entry& known = it->second;
    known.contradictory = !added && (known.contradictory || known.origin != origin);
    known.origin = origin;
    known.own = known.own || own;
    if (added || known.recorded_at != now)
    {
        known.recorded_at = now;
        recordings_.push_back({stream, now});
    }
    while (streams_.size() > config_.max_streams || recordings_.size() > 2 * config_.max_streams)
    {
        forget_oldest();
    }
}

void stream_origins::forget_oldest()
{
    const recording oldest = recordings_.front();
    recordings_.pop_front();
    const auto it = streams_.find(oldest.stream);
    if (it != streams_.end() && it->second.recorded_at == oldest.at)
    {
        streams_.erase(it);
    }
}

void stream_origins::expire(time_point now)
{
    while (!recordings_.empty() && now - recordings_.front().at >= lifetime_)
    {
        forget_oldest();
    }
}

std::optional<stream_origin> stream_origins::find(std::uint64_t stream, time_point now) const
{
    const auto it = streams_.find(stream);
    const bool known =
        it != streams_.end() && !it->second.contradictory && is_current(it->second, now);
    return known ? std::optional<stream_origin>(it->second.origin) : std::nullopt;
}

std::vector<known_origin> stream_origins::own_streams(std::uint64_t service, time_point now) const
{
    std::vector<known_origin> found;
    for (auto it = streams_.begin(); it != streams_.end(); ++it)
    {
        const entry& known = it->second;
        if (known.own && !known.contradictory && known.origin.service == service &&
            is_current(known, now))
        {
            found.push_back({it->first, known.origin});
        }
    }
    return found;
}

} // namespace endivestage
