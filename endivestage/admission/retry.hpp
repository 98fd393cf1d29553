/// \file
/// \brief Limits on retries of idempotent requests.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>

namespace endivestage
{

/// \brief Parameters of retry_budget.
struct retry_budget_config
{
    double refill_per_attempt = 0.1; ///< Tokens gained per first attempt.
    double capacity = 10.0;          ///< Most tokens held; also the tokens at the start.
};

/// \brief Token bucket of one pool: retries never exceed refill_per_attempt x first attempts +
/// capacity.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_config& config);

    /// \brief Counts a first attempt.
    void record_first_attempt();

    /// \returns True when a retry may be sent; a token is then taken.
    bool try_acquire();

    /// \returns Tokens held.
    double tokens() const { return tokens_; }

private:
    retry_budget_config config_;
    double tokens_;
};

/// \brief Parameters of retry_backoff.
struct backoff_config
{
    millis initial_delay{50}; ///< Exponential delay of the first retry.
    millis max_delay{2000};   ///< Cap of the exponential delay.
};

/// \brief Delay before a retry with equal jitter: 50% to 100% of the exponential delay.
/// \param attempt Number of the retry, from 1.
/// \returns The delay in milliseconds.
millis retry_backoff(const backoff_config& config, std::uint32_t attempt, random_source& random);

} // namespace endivestage
