/// \file
/// \brief Counters, gauges and distributions, rendered in the Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace endivestage::daemon
{

/// \brief Label names and values of a series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// \brief A number that only grows. Thread-safe.
class counter
{
public:
    void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
    /// \brief Follows a total that is counted elsewhere. A total below the value has no effect.
    void raise_to(std::uint64_t total)
    {
        std::uint64_t present = value();
        while (present < total &&
               !value_.compare_exchange_weak(present, total, std::memory_order_relaxed))
        {
        }
    }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// \brief A number that goes up and down. Thread-safe.
class gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double n) { value_.fetch_add(n, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0.0};
};

/// \brief Count, mean and quantiles of observed values in constant memory. Thread-safe.
///
/// Quantiles are estimates of the extended P-square algorithm over all values since start; they
/// are exact until it has enough values to begin.
class distribution
{
public:
    /// \brief The quantiles kept.
    static constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

    struct snapshot
    {
        std::uint64_t count = 0;
        double mean = 0.0;
        std::array<double, 3> quantiles{}; ///< For probabilities; 0 without values.
    };

    distribution();

    /// \param value Values that are not finite are ignored; one would spoil all estimates.
    void observe(double value);

    snapshot read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                   boost::accumulators::tag::extended_p_square>>;
    /// The algorithm sets its markers from this many values and has no estimate before.
    static constexpr std::size_t markers = 2 * probabilities.size() + 3;

    mutable std::mutex mutex_;
    accumulator values_;
    std::vector<double> first_; ///< Sorted; the values up to the number of markers.
};

/// \brief All metrics of a process.
///
/// The getters create a series at its first use and return the same object for the same name and
/// labels. References stay valid as long as the registry. Thread-safe.
class metrics_registry
{
public:
    /// \param name Of [a-zA-Z_:][a-zA-Z0-9_:]*; one name has one type.
    /// \param help One sentence; that of the first use counts.
    /// \param labels Names of [a-zA-Z_][a-zA-Z0-9_]*, not "quantile"; any UTF-8 values, from a
    /// bounded set.
    counter& get_counter(std::string_view name, std::string_view help, metric_labels labels = {});
    /// \copydoc get_counter
    gauge& get_gauge(std::string_view name, std::string_view help, metric_labels labels = {});
    /// \brief A distribution is rendered as a summary with _sum and _count.
    /// \copydoc get_counter
    distribution& get_distribution(std::string_view name, std::string_view help,
                                   metric_labels labels = {});

    /// \returns All series in the Prometheus text format 0.0.4, ordered by name and labels.
    std::string render() const;

private:
    using series = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                                std::unique_ptr<distribution>>;
    struct family
    {
        std::string help;
        std::map<metric_labels, series> members;
    };

    template <class Metric>
    Metric& get(std::string_view name, std::string_view help, metric_labels labels);

    mutable std::mutex mutex_;
    std::map<std::string, family, std::less<>> families_;
};

} // namespace endivestage::daemon
