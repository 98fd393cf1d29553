/// \file
/// \brief Limits the permits of an engine until it is known to be warm.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace endivestage
{

/// \brief Parameters of cold_start_ramp.
struct ramp_config
{
    std::uint32_t initial_permits = 2; ///< Permits of a cold engine; at least 1.
    std::uint32_t warm_permits = 32;   ///< The engine is warm when the permits reach this number.
    millis first_token_target{560};    ///< A first token after at most this time is timely.
    double slow_factor = 3.0; ///< A first token is slow above this multiple of the running median.
    std::uint32_t slow_streak = 3;  ///< Consecutive slow first tokens that make the engine cold.
    std::size_t median_window = 33; ///< Number of latest first-token times in the running median.
    /// Uncached history tokens from which a late first token is not counted against the engine:
    /// the prefill alone may have caused the delay.
    std::uint32_t long_prefill_tokens = 1000;
};

/// \brief Limits the permits of a cold engine and doubles the limit after each round of timely
/// first tokens.
///
/// A round is as many consecutive timely requests as the present limit allows permits. An engine
/// becomes cold again when its first tokens are repeatedly much slower than their running median.
class cold_start_ramp
{
public:
    /// \brief Allowance of a warm engine.
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /// \brief Creates the ramp of a cold engine.
    explicit cold_start_ramp(const ramp_config& config);

    /// \returns Number of permits that may be outstanding; unlimited once the engine is warm.
    std::uint32_t allowance() const { return allowance_; }

    /// \returns True once the ramp is complete.
    bool is_warm() const { return allowance_ == unlimited; }

    /// \returns Number of the present ramp. Each permit is stamped with the epoch of its issue.
    std::uint32_t epoch() const { return epoch_; }

    /// \brief Restarts the ramp in a new epoch. Outcomes of permits of earlier epochs are ignored.
    void make_cold();

    /// \brief Ends the ramp, after a handover or a load report states that the engine is warm.
    void make_warm();

    /// \brief Records a finished request.
    /// \param epoch Epoch under which its permit was issued.
    /// \param first_token Time from send to first token; empty when the request failed before.
    /// \param prefill_tokens Estimated history tokens that were not in the engine's cache.
    /// \returns True when this request made a warm engine cold.
    bool record_outcome(std::uint32_t epoch, std::optional<millis> first_token,
                        std::uint32_t prefill_tokens);

private:
    void advance(bool timely);
    bool record_first_token(millis first_token);
    std::int64_t median() const;

    ramp_config config_;
    std::uint32_t allowance_;
    std::uint32_t epoch_ = 0;
    std::uint32_t timely_in_round_ = 0;
    std::uint32_t slow_in_row_ = 0;
    std::vector<std::int64_t> first_token_times_; // Ring buffer, in milliseconds.
    std::size_t oldest_index_ = 0;
};

} // namespace endivestage
