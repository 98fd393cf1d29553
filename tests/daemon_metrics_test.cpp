#include <catch2/catch.hpp>
#include <endivestage/daemon/metrics.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace endivestage;
using namespace endivestage::daemon;

// Guards against output that a Prometheus server cannot parse.
TEST_CASE("metrics are rendered in the Prometheus text format")
{
    metrics_registry metrics;
    metrics.get_counter("requests_total", "Requests\nby \\ pool.", {{"pool", "a\"b\\c\nd"}}).add(3);
    metrics.get_gauge("load", "Load.").set(0.5);
    metrics.get_distribution("wait_ms", "Wait.", {{"zone", "z1"}}).observe(4.0);
    CHECK(metrics.render() == "# HELP load Load.\n"
                              "# TYPE load gauge\n"
                              "load 0.5\n"
                              "# HELP requests_total Requests\\nby \\\\ pool.\n"
                              "# TYPE requests_total counter\n"
                              "requests_total{pool=\"a\\\"b\\\\c\\nd\"} 3\n"
                              "# HELP wait_ms Wait.\n"
                              "# TYPE wait_ms summary\n"
                              "wait_ms{zone=\"z1\",quantile=\"0.5\"} 4\n"
                              "wait_ms{zone=\"z1\",quantile=\"0.95\"} 4\n"
                              "wait_ms{zone=\"z1\",quantile=\"0.99\"} 4\n"
                              "wait_ms_sum{zone=\"z1\"} 4\n"
                              "wait_ms_count{zone=\"z1\"} 1\n");
}

// Guards against wrong estimates with few values, and against one bad value that spoils all.
TEST_CASE("a distribution estimates its quantiles")
{
    distribution few;
    for (double value : {5.0, 1.0, 4.0, 2.0, 3.0})
    {
        few.observe(value);
    }
    CHECK(few.read().quantiles[0] == 3.0);
    CHECK(few.read().quantiles[2] == 5.0);
    distribution many;
    for (int n = 0; n < 10007; ++n)
    {
        many.observe(static_cast<double>(n * 7919 % 10007));
    }
    many.observe(std::numeric_limits<double>::quiet_NaN());
    many.observe(std::numeric_limits<double>::infinity());
    const distribution::snapshot now = many.read();
    CHECK(now.count == 10007);
    CHECK(now.mean == Approx(5003));
    CHECK(now.quantiles[0] == Approx(5003).epsilon(0.02));
    CHECK(now.quantiles[1] == Approx(9506).epsilon(0.02));
    CHECK(now.quantiles[2] == Approx(9906).epsilon(0.02));
}

// Guards against updates lost between threads and a second series for the same labels.
TEST_CASE("threads share a series")
{
    metrics_registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n)
    {
        threads.emplace_back(
            [&]
            {
                for (int k = 0; k < 1000; ++k)
                {
                    metrics.get_counter("c", "C.", {{"b", "2"}, {"a", "1"}}).add();
                    metrics.get_distribution("d", "D.").observe(k);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(metrics.get_counter("c", "C.", {{"a", "1"}, {"b", "2"}}).value() == 4000);
    CHECK(metrics.get_distribution("d", "D.").read().count == 4000);
}

// Guards against a counter that falls when two renderings pass their totals in the wrong order.
TEST_CASE("a counter follows a total counted elsewhere and never falls")
{
    counter bytes;
    bytes.raise_to(100);
    bytes.raise_to(40);
    REQUIRE(bytes.value() == 100);
    bytes.raise_to(101);
    REQUIRE(bytes.value() == 101);
}
