#include <endivestage/timeline/buffer.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace endivestage
{

bool timeline_filter::matches(const timeline_event& event) const
{
    return (request.empty() || request == event.request) &&
           (host.empty() || host == event.router.view() || host == event.endpoint.view()) &&
           (zone.empty() || zone == event.zone) && (!since || event.at >= *since);
}

timeline_buffer::timeline_buffer(std::size_t capacity) : capacity_(capacity)
{
    assert(capacity > 0);
}

void timeline_buffer::add(timeline_event event)
{
    if (events_.size() == capacity_)
    {
        events_.pop_front();
        ++dropped_;
    }
    events_.push_back(std::move(event));
}

std::vector<timeline_event> timeline_buffer::select(const timeline_filter& filter,
                                                    std::size_t limit) const
{
    std::vector<timeline_event> found;
    for (auto it = events_.rbegin(); it != events_.rend() && found.size() < limit; ++it)
    {
        if (filter.matches(*it))
        {
            found.push_back(*it);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

std::vector<timeline_event> merge_timelines(std::span<const std::vector<timeline_event>> timelines)
{
    std::vector<timeline_event> all;
    for (const std::vector<timeline_event>& timeline : timelines)
    {
        all.insert(all.end(), timeline.begin(), timeline.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const timeline_event& a, const timeline_event& b)
                     { return std::tie(a.at, a.router) < std::tie(b.at, b.router); });
    // A router's clock never returns the same time twice, so equal time and router identify an
    // event.
    const auto is_same_event = [](const timeline_event& a, const timeline_event& b)
    {
        return a.at == b.at && a.router == b.router;
    };
    all.erase(std::unique(all.begin(), all.end(), is_same_event), all.end());
    return all;
}

} // namespace endivestage
