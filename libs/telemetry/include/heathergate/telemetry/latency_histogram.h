#pragma once

#include <heathergate/core/time.h>

#include <cstdint>
#include <map>

namespace heathergate::telemetry {

/// A histogram of durations with a relative error of at most 1/32 at all magnitudes. As in
/// HdrHistogram (Tene, 2012), each power of two is divided into 32 buckets.
class LatencyHistogram
{
public:
    /// Adds a duration. Negative durations count as zero.
    auto record(Duration value) -> void;
    /// Returns the duration that the given fraction of samples, from 0 to 1, does not exceed.
    [[nodiscard]] auto quantile(double fraction) const -> Duration;
    [[nodiscard]] auto count() const -> std::uint64_t
    {
        return m_count;
    }
    [[nodiscard]] auto mean() const -> Duration
    {
        return m_count == 0 ? Duration::zero() : m_sum / static_cast<std::int64_t>(m_count);
    }
    [[nodiscard]] auto max() const -> Duration
    {
        return m_max;
    }

private:
    [[nodiscard]] static auto bucketOf(std::uint64_t micros) -> std::uint32_t;
    [[nodiscard]] static auto upperBound(std::uint32_t bucket) -> std::uint64_t;

    std::map<std::uint32_t, std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    Duration m_sum{};
    Duration m_max{};
};

} // namespace heathergate::telemetry
