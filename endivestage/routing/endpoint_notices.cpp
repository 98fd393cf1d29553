#include <endivestage/routing/endpoint_notices.hpp>

#include <algorithm>

namespace endivestage
{

endpoint_notices::notice& endpoint_notices::find_or_add(const endpoint_record& endpoint,
                                                        time_point now)
{
    notice& found = notices_[endpoint.id];
    if (found.started_at != endpoint.started_at)
    {
        found = notice{};
    }
    found.started_at = endpoint.started_at;
    found.record_seen_at = now;
    return found;
}

const endpoint_notices::notice* endpoint_notices::find(const endpoint_record& endpoint) const
{
    const auto it = notices_.find(endpoint.id);
    return it == notices_.end() || it->second.started_at != endpoint.started_at ? nullptr
                                                                                : &it->second;
}

void endpoint_notices::drop_excess()
{
    if (notices_.size() <= config_.max_notices)
    {
        return;
    }
    const auto oldest =
        std::min_element(notices_.begin(), notices_.end(),
                         [](const std::pair<const endpoint_id, notice>& a,
                            const std::pair<const endpoint_id, notice>& b)
                         { return a.second.record_seen_at < b.second.record_seen_at; });
    notices_.erase(oldest);
}

bool endpoint_notices::record_leaving(const endpoint_record& endpoint, time_point now)
{
    notice& found = find_or_add(endpoint, now);
    const bool is_new = !found.leaving_since;
    found.leaving_since = found.leaving_since.value_or(now);
    drop_excess();
    return is_new;
}

bool endpoint_notices::record_hold_off(const endpoint_record& endpoint, millis duration,
                                       time_point now)
{
    if (duration <= millis{0})
    {
        return false;
    }
    notice& found = find_or_add(endpoint, now);
    const bool is_new = !found.holds_off(now);
    const millis spread =
        std::clamp(duration * config_.spread_percent / 100, config_.min_spread, config_.max_spread);
    const std::uint64_t offset =
        hash64(endpoint.id.view(), router_) % static_cast<std::uint64_t>(spread.count);
    found.hold_off_until =
        std::max(found.hold_off_until, now + duration + millis{static_cast<std::int64_t>(offset)});
    drop_excess();
    return is_new;
}

bool endpoint_notices::is_leaving(const endpoint_record& endpoint) const
{
    const notice* found = find(endpoint);
    return found != nullptr && found->leaving_since;
}

millis endpoint_notices::hold_off_left(const endpoint_record& endpoint, time_point now) const
{
    const notice* found = find(endpoint);
    return found != nullptr && found->holds_off(now) ? found->hold_off_until - now : millis{0};
}

usable_endpoints endpoint_notices::select(std::span<const endpoint_state* const> available,
                                          millis drain, time_point now) const
{
    usable_endpoints selected;
    if (notices_.empty())
    {
        selected.endpoints.assign(available.begin(), available.end());
        return selected;
    }
    std::vector<const endpoint_state*> last_resort;
    bool all_leave = true;
    for (const endpoint_state* endpoint : available)
    {
        const notice* found = find(endpoint->record);
        const bool leaves = found != nullptr && found->leaving_since;
        const bool wanted = found == nullptr || !found->holds_off(now);
        all_leave = all_leave && leaves;
        if (!leaves && !wanted)
        {
            const millis left = found->hold_off_until - now;
            selected.first_return = std::min(selected.first_return.value_or(left), left);
        }
        else if (!leaves)
        {
            selected.endpoints.push_back(endpoint);
        }
        else if (wanted && now - *found->leaving_since < drain - config_.last_resort_margin)
        {
            last_resort.push_back(endpoint);
        }
    }
    if (all_leave)
    {
        selected.endpoints = std::move(last_resort);
    }
    if (!selected.endpoints.empty())
    {
        selected.first_return.reset();
    }
    return selected;
}

std::vector<endpoint_id> endpoint_notices::expire(const endpoint_directory& directory,
                                                  time_point now)
{
    std::vector<endpoint_id> returned;
    for (auto it = notices_.begin(); it != notices_.end();)
    {
        notice& known = it->second;
        const endpoint_state* endpoint = directory.find(it->first);
        const bool replaced =
            endpoint != nullptr && endpoint->record.started_at != known.started_at;
        if (endpoint != nullptr && !replaced)
        {
            known.record_seen_at = now;
        }
        const bool holds_off = known.holds_off(now);
        const bool gone = replaced || now - known.record_seen_at > config_.retention;
        if (gone || (!known.leaving_since && !holds_off))
        {
            if (endpoint != nullptr)
            {
                returned.push_back(it->first);
            }
            it = notices_.erase(it);
            continue;
        }
        ++it;
    }
    return returned;
}

} // namespace endivestage
