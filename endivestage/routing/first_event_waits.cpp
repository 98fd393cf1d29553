#include <endivestage/routing/first_event_waits.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// One in this many observed times may be longer than the time that the wait is a multiple of.
constexpr std::size_t rare = 20;

} // namespace

void first_event_waits::record(std::uint64_t key, const observation& observed)
{
    history& past = histories_[key];
    past.latest[past.recorded++ % history::capacity] = observed;
}

void first_event_waits::record_first_event(std::uint64_t key, std::uint64_t endpoint, millis took,
                                           time_point now)
{
    record(key, {endpoint, took.count, now, false});
}

void first_event_waits::record_timeout(std::uint64_t key, std::uint64_t endpoint, millis waited,
                                       time_point now)
{
    record(key, {endpoint, waited.count, now, true});
}

std::optional<millis> first_event_waits::wait(std::uint64_t key, std::uint64_t endpoint,
                                              time_point now) const
{
    const auto it = histories_.find(key);
    if (it == histories_.end())
    {
        return std::nullopt;
    }
    const history& past = it->second;
    const std::size_t size = std::min(past.recorded, history::capacity);
    std::array<std::int64_t, history::capacity> times{};
    std::array<std::uint64_t, history::capacity> timed_out{};
    std::size_t n = 0;
    std::size_t timeouts = 0;
    std::size_t served = 0;
    std::int64_t own = 0;
    for (std::size_t k = 0; k < size; ++k)
    {
        const observation& o = past.latest[k];
        if (now - o.at > config_.window)
        {
            continue;
        }
        own = o.endpoint == endpoint ? std::max(own, o.ms) : own;
        if (o.timed_out)
        {
            const auto end = timed_out.begin() + static_cast<std::ptrdiff_t>(timeouts);
            const std::ptrdiff_t before = std::count(timed_out.begin(), end, o.endpoint);
            timed_out[timeouts++] = o.endpoint;
            if (static_cast<std::size_t>(before) >= config_.max_timeouts_per_endpoint)
            {
                continue;
            }
        }
        else
        {
            ++served;
        }
        times[n++] = o.ms;
    }
    if (served < config_.min_served)
    {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(n - 1 - n / rare);
    std::nth_element(times.begin(), middle, times.begin() + static_cast<std::ptrdiff_t>(n));
    const double ms = std::max(static_cast<double>(*middle) * config_.multiple,
                               static_cast<double>(own) * config_.own_multiple);
    return millis{static_cast<std::int64_t>(ms)};
}

} // namespace endivestage
