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
    double refill_per_attempt = 0.1; ///< Tokens added per first attempt.
    double capacity = 10.0;          ///< Maximum number of tokens; also the initial number.
};

/// \brief Token bucket that limits the retries of one pool or service.
///
/// The number of retries never exceeds refill_per_attempt x first attempts + capacity.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_config& config);

    /// \brief Refills the bucket for a first attempt.
    void record_first_attempt();

    /// \brief Acquires one token, which permits one retry.
    /// \returns False when the bucket holds less than one token; the retry must not be sent.
    bool try_acquire();

    /// \returns Tokens in the bucket.
    double tokens() const { return tokens_; }

private:
    retry_budget_config config_;
    double tokens_;
};

/// \brief Parameters of retry_backoff.
struct backoff_config
{
    millis initial_delay{50}; ///< Exponential delay before the first retry.
    millis max_delay{2000};   ///< Maximum of the exponential delay.
};

/// \brief Delay before a retry, by exponential backoff with equal jitter.
///
/// The delay is uniformly distributed from 50% to 100% of the exponential delay.
/// \param attempt Number of the retry, from 1.
/// \returns The delay in milliseconds.
millis retry_backoff(const backoff_config& config, std::uint32_t attempt, random_source& random);

} // namespace endivestage
