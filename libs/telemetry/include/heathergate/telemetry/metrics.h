#pragma once

#include <heathergate/core/core.h>
#include <heathergate/telemetry/internal/bucket_counts.h>

#include <map>

namespace heathergate::telemetry {

/// Labels of a time series, from name to value.
using Labels = std::map<std::string, std::string>;

/// Metrics of one instance. Not thread-safe. Histograms are Boost.Accumulators sets.
class Metrics
{
public:
    /// Adds to a counter.
    auto count(const std::string &name, const Labels &labels, double amount = 1) -> void;
    /// Sets a gauge.
    auto set(const std::string &name, const Labels &labels, double value) -> void;
    /// Adds a duration to a histogram, in seconds.
    auto observe(const std::string &name, const Labels &labels, Duration value) -> void;

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] auto render() const -> std::string;

private:
    using Series = std::string;

    [[nodiscard]] static auto seriesOf(const Labels &labels) -> Series;

    std::map<std::string, std::map<Series, double>> m_counters;
    std::map<std::string, std::map<Series, double>> m_gauges;
    std::map<std::string, std::map<Series, internal::HistogramSet>> m_histograms;
};

} // namespace heathergate::telemetry
