/// \file
/// \brief Engine model with an LRU prefix cache and a cold phase; prefill time depends on the
/// cache.
#pragma once

#include <endivestage/placement.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace simulation
{

/// \brief Model of one engine. Requests run concurrently; the cache affects only prefill time.
class engine_model
{
public:
    engine_model(std::uint32_t zone, std::uint64_t cache_tokens) : zone_(zone), cache_(cache_tokens)
    {
    }

    std::uint32_t zone() const { return zone_; }
    std::uint32_t running() const { return running_; }
    std::uint64_t incarnation() const { return incarnation_; }

    /// \returns The tokens of a history that the cache holds for the chat \p key.
    std::uint32_t cached_tokens(std::uint64_t key, std::uint32_t history_tokens) const
    {
        return std::min(history_tokens, cache_.cached_tokens(key));
    }

    /// \brief Starts a request.
    /// \param prompt_tokens Number of new tokens that follow the history.
    /// \returns The time to the first token in milliseconds.
    double start(std::uint64_t key, std::uint32_t history_tokens, std::uint32_t prompt_tokens)
    {
        const double uncached = history_tokens - cached_tokens(key, history_tokens) + prompt_tokens;
        ++running_;
        return (base_first_token_ms + uncached / prefill_tokens_per_ms) * slowdown();
    }

    /// \brief Ends a request and caches the \p tokens of its chat.
    ///
    /// The cache is unchanged if the engine has restarted since the request began with
    /// \p incarnation.
    void finish(std::uint64_t key, std::uint32_t tokens, std::uint64_t incarnation)
    {
        --running_;
        if (incarnation == incarnation_)
        {
            ++completions_;
            cache_.put(key, tokens);
        }
    }

    /// \brief Caches a prefix that was transferred from another engine.
    void import_prefix(std::uint64_t key, std::uint32_t tokens) { cache_.put(key, tokens); }

    /// \brief Clears the cache and begins a cold phase under a new incarnation.
    void restart()
    {
        ++incarnation_;
        completions_ = 0;
        cache_.clear();
    }

    /// \brief Ends the cold phase, for engines that were running before the simulation began.
    void mark_warm() { completions_ = warm_up_completions; }

private:
    static constexpr double base_first_token_ms = 60;
    static constexpr double prefill_tokens_per_ms = 10;
    // Completed requests after which the engine has its full capacity.
    static constexpr std::uint32_t warm_up_completions = 40;

    // Factor on the time to first token. A cold engine has a low capacity and slows down
    // quadratically with the number of running requests beyond it.
    double slowdown() const
    {
        if (completions_ >= warm_up_completions)
        {
            return 1.0;
        }
        const double cold_capacity = 3.0 + completions_;
        return std::max(1.0, std::pow(running_ / cold_capacity, 2.0));
    }

    std::uint32_t zone_;
    std::uint32_t running_ = 0;
    std::uint32_t completions_ = 0;
    std::uint64_t incarnation_ = 1;
    endivestage::recency_index cache_;
};

} // namespace simulation
