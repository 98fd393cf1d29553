/// \file
/// \brief Model engine: first-token time from uncached tokens, an LRU prefix cache, a cold phase.
#pragma once

#include <endivestage/placement.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace simulation
{

/// \brief One engine. Requests run side by side; only prefill depends on the cache.
class engine_model
{
public:
    engine_model(std::uint32_t zone, std::uint64_t cache_tokens) : zone_(zone), cache_(cache_tokens)
    {
    }

    std::uint32_t zone() const { return zone_; }
    std::uint32_t running() const { return running_; }
    std::uint64_t incarnation() const { return incarnation_; }

    std::uint32_t cached(std::uint64_t key, std::uint32_t history) const
    {
        return std::min(history, cache_.cached_tokens(key));
    }

    /// \brief Starts a request.
    /// \param prompt New tokens of the caller.
    /// \returns Milliseconds to the first token.
    double start(std::uint64_t key, std::uint32_t history, std::uint32_t prompt)
    {
        const double uncached = history - cached(key, history) + prompt;
        ++running_;
        return (base_ms + uncached / tokens_per_ms) * slowdown();
    }

    void finish(std::uint64_t key, std::uint32_t tokens, std::uint64_t incarnation)
    {
        --running_;
        if (incarnation == incarnation_)
        {
            ++completed_;
            cache_.put(key, tokens);
        }
    }

    /// \brief Takes over a prefix from another engine.
    void import(std::uint64_t key, std::uint32_t tokens) { cache_.put(key, tokens); }

    /// \brief Starts over with an empty cache and a cold phase.
    void restart()
    {
        ++incarnation_;
        completed_ = 0;
        cache_.clear();
    }

    /// \brief Ends the cold phase; for engines that ran before the simulation began.
    void set_warm() { completed_ = warm_after; }

private:
    static constexpr double base_ms = 60;
    static constexpr double tokens_per_ms = 10;
    static constexpr std::uint32_t warm_after = 40; // Completions until full capacity.

    // A cold engine handles few requests and slows down steeply beyond them.
    double slowdown() const
    {
        if (completed_ >= warm_after)
        {
            return 1.0;
        }
        const double bearable = 3.0 + completed_;
        return std::max(1.0, std::pow(running_ / bearable, 2.0));
    }

    std::uint32_t zone_;
    std::uint32_t running_ = 0;
    std::uint32_t completed_ = 0;
    std::uint64_t incarnation_ = 1;
    endivestage::recency_index cache_;
};

} // namespace simulation
