#include <boost/test/unit_test.hpp>

#include <heathergate/telemetry/telemetry.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::telemetry;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TelemetryTest)

RC_BOOST_PROP(computesQuantilesWithinOneThirtySecondOfTheExactValue, ())
{
    auto samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 1 << 30)));
    LatencyHistogram histogram;
    for (const auto sample : samples)
        histogram.record(Duration(sample));
    std::sort(samples.begin(), samples.end());
    for (const auto fraction : {0.5, 0.95, 1.0}) {
        const auto rank =
            static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(samples.size())));
        const auto exact = samples[std::max<std::size_t>(rank, 1) - 1];
        const auto computed = histogram.quantile(fraction).count();
        RC_ASSERT(computed >= exact);
        RC_ASSERT(computed <= exact + exact / 32 + 1);
    }
}

BOOST_AUTO_TEST_CASE(rendersMetricsAsPrometheusText)
{
    Metrics metrics;
    metrics.count("requests_total", {{"customer", "a\"b"}});
    metrics.count("requests_total", {{"customer", "a\"b"}}, 2);
    metrics.set("revision", {}, 7);
    metrics.count("bytes_total", {}, 123'456'789);
    metrics.observe("seconds", {{"class", "0"}}, 3ms);
    const auto text = metrics.render();
    for (const auto *line :
         {"requests_total{customer=\"a\\\"b\"} 3\n", "revision 7\n", "bytes_total 123456789\n",
          "seconds_bucket{class=\"0\",le=\"0.002\"} 0\n",
          "seconds_bucket{class=\"0\",le=\"0.005\"} 1\n",
          "seconds_bucket{class=\"0\",le=\"+Inf\"} 1\n", "seconds_count{class=\"0\"} 1\n"})
        BOOST_TEST(text.find(line) != std::string::npos, "the text does not contain: " << line);
}

BOOST_AUTO_TEST_SUITE_END()
