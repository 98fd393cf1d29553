#include <endivestage/overload/observed_times.hpp>

#include <algorithm>

namespace endivestage
{

namespace
{

/// Part of a time that does not depend on the prompt's length. A request without tokens to read
/// still takes this part of the mean.
constexpr double fixed_part = 0.5;
/// A longer prompt raises the estimate at most to this multiple of the mean, because one prompt of
/// extraordinary size says little about how reading scales.
constexpr double max_size_factor = 4.0;

} // namespace

void observed_times::record(const request_work& work, millis first_event, millis completion,
                            time_point now)
{
    auto it = routes_.find(work.route);
    if (it == routes_.end())
    {
        it = routes_.emplace(std::string(work.route), route_times{}).first;
    }
    route_times& times = it->second;
    // The first observations are averaged equally.
    const double weight = std::max(config_.weight, 1.0 / (times.observations + 1.0));
    times.first_event += weight * (static_cast<double>(first_event.count) - times.first_event);
    times.completion += weight * (static_cast<double>(completion.count) - times.completion);
    times.prompt_tokens += weight * (static_cast<double>(work.prompt_tokens) - times.prompt_tokens);
    ++times.observations;
    times.observed_at = now;
}

time_estimate observed_times::estimate(const endpoint_state&, const request_work& work,
                                       time_point now) const
{
    time_estimate estimate;
    const auto it = routes_.find(work.route);
    if (it == routes_.end() || it->second.observations < config_.min_observations ||
        now - it->second.observed_at > config_.max_age)
    {
        return estimate;
    }
    const route_times& times = it->second;
    double size = 1.0;
    if (work.prompt_tokens > 0 && times.prompt_tokens >= 1.0)
    {
        size = std::min(max_size_factor,
                        fixed_part + (1.0 - fixed_part) * work.prompt_tokens / times.prompt_tokens);
    }
    estimate.known = true;
    estimate.first_event = {static_cast<std::int64_t>(times.first_event * size)};
    estimate.completion = {static_cast<std::int64_t>(
        times.first_event * size + std::max(0.0, times.completion - times.first_event))};
    return estimate;
}

} // namespace endivestage
