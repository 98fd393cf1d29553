#include <endivestage/admission/cold_start_ramp.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// A median of fewer first-token times does not represent the usual latency of the engine.
constexpr std::size_t min_median_samples = 8;

} // namespace

cold_start_ramp::cold_start_ramp(const ramp_config& config)
    : config_(config),
      allowance_(config.initial_permits)
{
    assert(config.initial_permits >= 1);
    assert(config.median_window >= min_median_samples);
}

void cold_start_ramp::make_cold()
{
    allowance_ = config_.initial_permits;
    ++epoch_;
    timely_in_round_ = 0;
    slow_in_row_ = 0;
    first_token_times_.clear();
    oldest_index_ = 0;
}

void cold_start_ramp::make_warm()
{
    allowance_ = unlimited;
}

bool cold_start_ramp::record_outcome(std::uint32_t epoch, std::optional<millis> first_token,
                                     std::uint32_t prefill_tokens)
{
    const bool timely = first_token && *first_token <= config_.first_token_target;
    const bool inconclusive =
        first_token && !timely && prefill_tokens >= config_.long_prefill_tokens;
    if (epoch != epoch_ || inconclusive)
    {
        return false;
    }
    const bool slow = first_token && prefill_tokens < config_.long_prefill_tokens &&
                      record_first_token(*first_token);
    if (!is_warm())
    {
        advance(timely);
        return false;
    }
    slow_in_row_ = slow ? slow_in_row_ + 1 : 0;
    if (slow_in_row_ < config_.slow_streak)
    {
        return false;
    }
    make_cold();
    return true;
}

void cold_start_ramp::advance(bool timely)
{
    timely_in_round_ = timely ? timely_in_round_ + 1 : 0;
    if (timely_in_round_ < allowance_)
    {
        return;
    }
    timely_in_round_ = 0;
    allowance_ = allowance_ >= (config_.warm_permits + 1) / 2 ? unlimited : allowance_ * 2;
}

bool cold_start_ramp::record_first_token(millis first_token)
{
    const bool slow = first_token_times_.size() >= min_median_samples &&
                      static_cast<double>(first_token.count) >
                          config_.slow_factor * static_cast<double>(median());
    if (first_token_times_.size() < config_.median_window)
    {
        first_token_times_.push_back(first_token.count);
        return slow;
    }
    first_token_times_[oldest_index_] = first_token.count;
    oldest_index_ = (oldest_index_ + 1) % first_token_times_.size();
    return slow;
}

std::int64_t cold_start_ramp::median() const
{
    std::vector<std::int64_t> sorted = first_token_times_;
    auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace endivestage
