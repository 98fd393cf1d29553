#include <endivestage/admission/cold_start_ramp.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// With fewer first-token times a median says little about what is usual for the engine.
constexpr std::size_t least_times_for_median = 8;

} // namespace

cold_start_ramp::cold_start_ramp(const ramp_config& config)
    : config_(config),
      allowance_(config.initial_permits)
{
    assert(config.initial_permits >= 1);
    assert(config.median_window >= least_times_for_median);
}

void cold_start_ramp::make_cold()
{
    allowance_ = config_.initial_permits;
    ++epoch_;
    round_ = 0;
    streak_ = 0;
    times_.clear();
    oldest_ = 0;
}

void cold_start_ramp::make_warm()
{
    allowance_ = unlimited;
}

bool cold_start_ramp::record_outcome(std::uint32_t epoch, std::optional<millis> first_token,
                                     std::uint32_t prefill_tokens)
{
    const bool timely = first_token && *first_token <= config_.first_token_target;
    const bool unclear = first_token && !timely && prefill_tokens >= config_.long_prefill_tokens;
    if (epoch != epoch_ || unclear)
    {
        return false;
    }
    const bool slow =
        first_token && prefill_tokens < config_.long_prefill_tokens && observe(*first_token);
    if (!is_warm())
    {
        advance(timely);
        return false;
    }
    streak_ = slow ? streak_ + 1 : 0;
    if (streak_ < config_.slow_streak)
    {
        return false;
    }
    make_cold();
    return true;
}

void cold_start_ramp::advance(bool timely)
{
    round_ = timely ? round_ + 1 : 0;
    if (round_ < allowance_)
    {
        return;
    }
    round_ = 0;
    allowance_ = allowance_ >= (config_.warm_permits + 1) / 2 ? unlimited : allowance_ * 2;
}

bool cold_start_ramp::observe(millis first_token)
{
    const bool slow = times_.size() >= least_times_for_median &&
                      static_cast<double>(first_token.count) >
                          config_.slow_factor * static_cast<double>(median());
    if (times_.size() < config_.median_window)
    {
        times_.push_back(first_token.count);
        return slow;
    }
    times_[oldest_] = first_token.count;
    oldest_ = (oldest_ + 1) % times_.size();
    return slow;
}

std::int64_t cold_start_ramp::median() const
{
    std::vector<std::int64_t> sorted = times_;
    auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace endivestage
