/// \file
/// \brief Statistics that a simulation run records.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace simulation
{

/// \brief Collects values and computes their quantiles.
class samples
{
public:
    void add(double value) { values_.push_back(value); }

    /// \param share Between 0 and 1: 0.5 for the median, 1 for the maximum.
    /// \returns The quantile, or 0 without values.
    double quantile(double share)
    {
        if (values_.empty())
        {
            return 0.0;
        }
        std::sort(values_.begin(), values_.end());
        const auto last = static_cast<double>(values_.size() - 1);
        return values_[static_cast<std::size_t>(share * last + 0.5)];
    }

    /// \returns The share of values that are at most \p limit, or 1 without values.
    double share_within(double limit) const
    {
        const auto within = std::count_if(values_.begin(), values_.end(),
                                          [&](double value) { return value <= limit; });
        return values_.empty() ? 1.0 : static_cast<double>(within) / size();
    }

    double size() const { return static_cast<double>(values_.size()); }

private:
    std::vector<double> values_;
};

/// \brief Statistics of one time window of a run. The counters are double for use in ratios.
struct window_statistics
{
    samples permit_wait;     ///< Milliseconds from arrival until a permit is obtained.
    samples first_token;     ///< Milliseconds from arrival until the first token.
    samples small_team_wait; ///< permit_wait of requests of small teams.
    samples large_team_wait;
    samples skew;       ///< Largest engine load divided by the mean load, per sample.
    double started = 0; ///< Requests started on engines.
    double refused = 0;
    double imported_tokens = 0; ///< Part of cached_tokens that was transferred from another engine.
    double imports = 0;
    double permit_calls = 0;   ///< Permit requests that don't queue; each gets one answer.
    double unused_permits = 0; ///< Permits released unused.
    double resumed = 0;        ///< Started requests of chats with a history.
    double resumed_cached = 0; ///< Resumed requests with at least half of the history cached.
    double history_tokens = 0;
    double cached_tokens = 0;
    // History tokens that the chosen engine had to recompute, by cause.
    double lost_at_limit = 0;  ///< The engine with the longest cached prefix refused a permit.
    double lost_not_asked = 0; ///< The engine with the longest cached prefix was not asked.
    double lost_evicted = 0;   ///< No engine has these tokens cached any more.
    double lost_gone = 0;      ///< The last engine restarted or is out of service.
    /// Starts after which the engine is above the bound on the actual mean load.
    double starts_above_bound = 0;
    double starts_above_bound_ramped = 0;   ///< As above, with cold engines weighted by their ramp.
    double instants = 0;                    ///< Samples of the load of all engines.
    double instants_above_bound = 0;        ///< Samples with at least one engine above the bound.
    double instants_above_bound_ramped = 0; ///< As above, with cold engines weighted by their ramp.
    double engine_instants = 0;             ///< Samples of the load of a single engine in service.
    double engine_instants_above_bound = 0;
    double turned_cold = 0; ///< Warm engines that became cold because of their first-token times.
};

} // namespace simulation
