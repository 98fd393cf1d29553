/// \file
/// \brief Permit count of an engine that is not known to be warm.
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
    std::uint32_t warm_permits = 32;   ///< The engine is warm when the count reaches this.
    millis first_token_target{560};
    double slow_factor = 3.0;       ///< Multiple of the running median that counts as slow.
    std::uint32_t slow_streak = 3;  ///< Slow first tokens in a row that make the engine cold.
    std::size_t median_window = 33; ///< First-token times the running median covers.
    /// History tokens outside the cache from which a late first token says nothing about the
    /// engine: it may come from the prefill alone.
    std::uint32_t long_prefill_tokens = 1000;
};

/// \brief Doubles the permits of a cold engine after each full round of timely first tokens.
class cold_start_ramp
{
public:
    /// \brief Allowance of a warm engine.
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /// \brief Starts cold.
    explicit cold_start_ramp(const ramp_config& config);

    /// \returns Permits that may be outstanding; unlimited once warm.
    std::uint32_t allowance() const { return allowance_; }

    /// \returns True once the ramp is complete.
    bool is_warm() const { return allowance_ == unlimited; }

    /// \returns Number of the present ramp, stamped on permits issued under it.
    std::uint32_t epoch() const { return epoch_; }

    /// \brief Starts over with the policy's start count. Permits of earlier epochs no longer count.
    void make_cold();

    /// \brief Ends the ramp, after a handover or report said that the engine is warm.
    void make_warm();

    /// \brief Counts a finished request.
    /// \param epoch Epoch under which its permit was issued.
    /// \param first_token Time to first token; empty when the request failed before.
    /// \param prefill_tokens History tokens that were not in the engine's cache, as far as known.
    /// \returns True when this made a warm engine cold.
    bool record_outcome(std::uint32_t epoch, std::optional<millis> first_token,
                        std::uint32_t prefill_tokens);

private:
    void advance(bool timely);
    bool observe(millis first_token);
    std::int64_t median() const;

    ramp_config config_;
    std::uint32_t allowance_;
    std::uint32_t epoch_ = 0;
    std::uint32_t round_ = 0; // Timely completions in the present round.
    std::uint32_t streak_ = 0;
    std::vector<std::int64_t> times_; // Ring of first-token times in milliseconds.
    std::size_t oldest_ = 0;
};

} // namespace endivestage
