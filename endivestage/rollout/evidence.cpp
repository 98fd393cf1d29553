#include <endivestage/rollout/evidence.hpp>

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <numeric>

namespace endivestage
{

namespace
{

constexpr double bucket_ratio = 1.5;
/// Chance variation of the old version's rate is part of this factor.
constexpr double rate_factor = 1.5;

/// \returns The probability of at least \p bad of \p n at a rate.
double binomial_tail(std::uint32_t n, std::uint32_t bad, double rate)
{
    const boost::math::binomial_distribution<double> distribution(n, std::min(rate, 0.999));
    return boost::math::cdf(boost::math::complement(distribution, bad - 1.0));
}

double excess_chance(std::uint32_t new_n, std::uint32_t new_bad, std::uint32_t old_n,
                     std::uint32_t old_bad, double tolerated, std::uint32_t min_bad)
{
    if (new_bad < min_bad)
    {
        return 1.0;
    }
    const double old_rate = old_n > 0 ? static_cast<double>(old_bad) / old_n : 0.0;
    return binomial_tail(new_n, new_bad, old_rate * rate_factor + tolerated);
}

void weigh(comparison& worst, double chance, std::string_view reason)
{
    if (chance < worst.chance)
    {
        worst = {chance, reason};
    }
}

double slow_chance(const response_counts& old_counts, const response_counts& new_counts,
                   const comparison_limits& limits)
{
    const auto& old_times = old_counts.first_event;
    const auto& new_times = new_counts.first_event;
    const std::uint32_t old_n = std::accumulate(old_times.begin(), old_times.end(), 0U);
    const std::uint32_t new_n = std::accumulate(new_times.begin(), new_times.end(), 0U);
    if (old_n < limits.min_old_times || new_n < limits.min_bad)
    {
        return 1.0;
    }
    std::size_t median = 0;
    for (std::uint32_t below = old_times[0]; below * 2 < old_n; below += old_times[median])
    {
        ++median;
    }
    const std::size_t steps =
        static_cast<std::size_t>(std::ceil(std::log(limits.slow_factor) / std::log(bucket_ratio)));
    const std::ptrdiff_t first_slow =
        static_cast<std::ptrdiff_t>(std::min(median + steps, latency_buckets));
    const std::uint32_t old_slow =
        std::accumulate(old_times.begin() + first_slow, old_times.end(), 0U);
    const std::uint32_t new_slow =
        std::accumulate(new_times.begin() + first_slow, new_times.end(), 0U);
    return excess_chance(new_n, new_slow, old_n, old_slow, limits.tolerated_slow, limits.min_bad);
}

} // namespace

std::size_t latency_bucket(millis time)
{
    double bound = 1.0;
    std::size_t bucket = 0;
    while (bucket + 1 < latency_buckets && static_cast<double>(time.count) > bound)
    {
        bound *= bucket_ratio;
        ++bucket;
    }
    return bucket;
}

response_counts& response_counts::operator+=(const response_counts& other)
{
    requests += other.requests;
    failures += other.failures;
    for (std::size_t n = 0; n < latency_buckets; ++n)
    {
        first_event.at(n) += other.first_event.at(n);
    }
    return *this;
}

response_counts& response_counts::operator-=(const response_counts& other)
{
    requests -= std::min(requests, other.requests);
    failures -= std::min(failures, other.failures);
    for (std::size_t n = 0; n < latency_buckets; ++n)
    {
        first_event.at(n) -= std::min(first_event.at(n), other.first_event.at(n));
    }
    return *this;
}

void add(evidence_counts& sum, const evidence_counts& other)
{
    for (const auto& [key, counts] : other)
    {
        sum[key] += counts;
    }
}

evidence_counts difference(const evidence_counts& later, const evidence_counts& earlier)
{
    evidence_counts counts = later;
    for (const auto& [key, before] : earlier)
    {
        counts[key] -= before;
    }
    return counts;
}

std::uint64_t count_requests(const evidence_counts& counts, bool new_only)
{
    std::uint64_t sum = 0;
    for (const auto& [key, responses] : counts)
    {
        sum += key.is_new || !new_only ? responses.requests : 0;
    }
    return sum;
}

comparison compare_versions(const evidence_counts& counts, const comparison_limits& limits,
                            bool with_times)
{
    struct pair
    {
        response_counts old_version;
        response_counts new_version;
    };
    std::map<std::uint64_t, pair> by_route;
    std::map<std::pair<std::uint64_t, bool>, pair> by_work;
    pair all;
    for (const auto& [key, responses] : counts)
    {
        for (pair* group : {&by_route[key.route], &by_work[{key.route, key.reads_prompt}], &all})
        {
            (key.is_new ? group->new_version : group->old_version) += responses;
        }
    }
    comparison worst;
    const auto weigh_failures = [&](const pair& group)
    {
        weigh(worst,
              excess_chance(group.new_version.requests, group.new_version.failures,
                            group.old_version.requests, group.old_version.failures,
                            limits.tolerated_failures, limits.min_bad),
              "failures");
    };
    weigh_failures(all);
    for (const auto& [route, group] : by_route)
    {
        weigh_failures(group);
    }
    for (const auto& [work, group] : by_work)
    {
        if (with_times)
        {
            weigh(worst, slow_chance(group.old_version, group.new_version, limits), "slow");
        }
    }
    return worst;
}

} // namespace endivestage
