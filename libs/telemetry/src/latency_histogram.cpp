#include <heathergate/telemetry/latency_histogram.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace heathergate::telemetry {

namespace {

/// Binary logarithm of the number of buckets in each power of two.
constexpr std::uint32_t kSubBits = 5;
constexpr std::uint64_t kSubBuckets = 1U << kSubBits;

} // namespace

auto LatencyHistogram::record(Duration value) -> void
{
    const auto bounded = std::max(Duration::zero(), value);
    ++m_buckets[bucketOf(static_cast<std::uint64_t>(bounded.count()))];
    ++m_count;
    m_sum += bounded;
    m_max = std::max(m_max, bounded);
}

auto LatencyHistogram::quantile(double fraction) const -> Duration
{
    const auto rank = static_cast<std::uint64_t>(
        std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(m_count)));
    std::uint64_t cumulative = 0;
    for (const auto &[bucket, count] : m_buckets) {
        cumulative += count;
        if (cumulative >= rank)
            return std::min(m_max, Duration(static_cast<std::int64_t>(upperBound(bucket))));
    }
    return m_max;
}

auto LatencyHistogram::bucketOf(std::uint64_t micros) -> std::uint32_t
{
    if (micros < kSubBuckets)
        return static_cast<std::uint32_t>(micros);
    const auto shift = static_cast<std::uint32_t>(std::bit_width(micros)) - kSubBits - 1;
    return static_cast<std::uint32_t>((shift + 1) * kSubBuckets
                                      + ((micros >> shift) - kSubBuckets));
}

auto LatencyHistogram::upperBound(std::uint32_t bucket) -> std::uint64_t
{
    if (bucket < kSubBuckets)
        return bucket;
    const auto shift = bucket / kSubBuckets - 1;
    return (((bucket % kSubBuckets) + kSubBuckets + 1) << shift) - 1;
}

} // namespace heathergate::telemetry
