/// \file
/// \brief What a simulation run records.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace simulation
{

/// \brief Values of which percentiles are wanted.
class samples
{
public:
    void add(double value) { values_.push_back(value); }

    /// \param share 0.5 for the median, 1 for the largest.
    /// \returns The percentile; 0 without values.
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

    /// \returns Share of the values that are at most \p limit; 1 without values.
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

/// \brief Records of one window of a run.
struct window_statistics
{
    samples permit_wait;     ///< Milliseconds from arrival until a permit is held.
    samples first_token;     ///< Milliseconds from arrival until the first token.
    samples small_team_wait; ///< permit_wait of the small teams.
    samples large_team_wait;
    samples skew;       ///< Largest load over the mean, per instant.
    double started = 0; ///< Requests started on engines.
    double refused = 0;
    double imported_tokens = 0; ///< Part of cached_tokens that was moved from another engine.
    double imports = 0;
    double permit_calls = 0;   ///< Permit requests without waiting, each with an answer.
    double unused_permits = 0; ///< Permits returned without use.
    double resumed = 0;        ///< Started requests with a history.
    double resumed_cached = 0; ///< Of these, the ones that found most of their history cached.
    double history_tokens = 0;
    double cached_tokens = 0;
    // History tokens that the chosen engine had to compute again, by cause.
    double lost_at_limit = 0; ///< The engine with the longest prefix refused.
    double lost_not_asked = 0;
    double lost_evicted = 0;              ///< No engine holds these tokens any more.
    double lost_gone = 0;                 ///< The last engine restarted or is out of service.
    double starts_above_bound = 0;        ///< Starts above the bound against the true mean.
    double starts_above_bound_ramped = 0; ///< The same, with cold engines counted by their ramp.
    double instants = 0;
    double instants_above_bound = 0; ///< Instants with any engine above the bound.
    double instants_above_bound_ramped = 0;
    double engine_instants = 0;
    double engine_instants_above_bound = 0;
    double turned_cold = 0; ///< Warm engines that first-token times made cold.
};

} // namespace simulation
