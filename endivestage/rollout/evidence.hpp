/// \file
/// \brief Counts of responses by version and route, and the test whether a version is worse.
#pragma once

#include <endivestage/core.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>

namespace endivestage
{

/// \brief What responses are compared by.
struct evidence_key
{
    bool is_new = false;     ///< Of the version that was ordered.
    std::uint64_t route = 0; ///< Hash of the route's name.
    /// The endpoint was not known to hold the chat's history and reads the whole prompt, which
    /// takes longer. A version that has just got a chat always reads it.
    bool reads_prompt = false;

    auto operator<=>(const evidence_key&) const = default;
};

/// Bucket n counts times to the first event of up to 1.5^n ms.
inline constexpr std::size_t latency_buckets = 26;

/// \returns The bucket that counts a time.
std::size_t latency_bucket(millis time);

/// \brief Responses of one version on one route.
struct response_counts
{
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    std::array<std::uint32_t, latency_buckets> first_event{}; ///< Of warm endpoints only.

    response_counts& operator+=(const response_counts& other);
    /// Differences below zero become zero.
    response_counts& operator-=(const response_counts& other);
};

using evidence_counts = std::map<evidence_key, response_counts>;

void add(evidence_counts& sum, const evidence_counts& other);

/// \returns \p later without \p earlier.
evidence_counts difference(const evidence_counts& later, const evidence_counts& earlier);

/// \returns Requests of the new version, or of both.
std::uint64_t count_requests(const evidence_counts& counts, bool new_only);

/// \brief What a comparison has to show.
struct comparison_limits
{
    double tolerated_failures = 0.01; ///< Failure rate beyond 1.5 times that of the old version.
    double tolerated_slow = 0.04;     ///< Same for the rate of slow responses.
    /// A response is slow when it takes longer than this many medians of the old version. Hosts
    /// that are slow for a moment take up to 2.5 times as long.
    double slow_factor = 3.0;
    std::uint32_t min_old_times = 12; ///< Fewer times of the old version show no median.
    std::uint32_t min_bad = 4;        ///< Fewer bad responses are never evidence.
};

/// \brief The strongest sign that the new version is worse.
struct comparison
{
    /// Probability of so many bad responses if the new version were as good as the old one.
    double chance = 1.0;
    std::string_view reason = "none"; ///< "failures" or "slow" if there is a sign.
};

/// \param with_times Whether times are compared; only useful while both versions have like load.
comparison compare_versions(const evidence_counts& counts, const comparison_limits& limits,
                            bool with_times);

} // namespace endivestage
