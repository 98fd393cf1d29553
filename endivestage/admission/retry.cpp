#include <endivestage/admission/retry.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

retry_budget::retry_budget(const retry_budget_config& config)
    : config_(config),
      tokens_(config.capacity)
{
    assert(config.refill_per_attempt >= 0.0 && config.capacity >= 0.0);
}

void retry_budget::record_first_attempt()
{
    tokens_ = std::min(config_.capacity, tokens_ + config_.refill_per_attempt);
}

bool retry_budget::try_acquire()
{
    if (tokens_ < 1.0)
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

millis retry_backoff(const backoff_config& config, std::uint32_t attempt, random_source& random)
{
    assert(attempt >= 1);
    millis delay = config.initial_delay;
    for (std::uint32_t n = 1; n < attempt && delay < config.max_delay; ++n)
    {
        delay = delay * 2;
    }
    delay = std::min(delay, config.max_delay);
    const millis max_jitter = delay / 2;
    const millis fixed = delay - max_jitter;
    return fixed + millis{static_cast<std::int64_t>(
                       random.below(static_cast<std::uint64_t>(max_jitter.count) + 1))};
}

} // namespace endivestage
