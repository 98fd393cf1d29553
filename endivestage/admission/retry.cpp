#include <endivestage/admission/retry.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

retry_budget::retry_budget(const retry_budget_policy& policy)
    : policy_(policy),
      tokens_(policy.capacity)
{
    assert(policy.gain >= 0.0 && policy.capacity >= 0.0);
}

void retry_budget::first_attempt()
{
    tokens_ = std::min(policy_.capacity, tokens_ + policy_.gain);
}

bool retry_budget::try_retry()
{
    if (tokens_ < 1.0)
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

millis retry_backoff(const backoff_policy& policy, std::uint32_t attempt, random_source& random)
{
    assert(attempt >= 1);
    millis delay = policy.base;
    for (std::uint32_t n = 1; n < attempt && delay < policy.most; ++n)
    {
        delay = delay * 2;
    }
    delay = std::min(delay, policy.most);
    const millis half = delay / 2;
    const millis rest = delay - half;
    return rest + millis{static_cast<std::int64_t>(
                      random.below(static_cast<std::uint64_t>(half.count) + 1))};
}

} // namespace endivestage
