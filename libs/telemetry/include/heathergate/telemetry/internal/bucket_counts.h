#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>

/// A Boost.Accumulators feature that counts samples in cumulative buckets, as Prometheus histograms
/// require.
namespace heathergate::telemetry::internal {

/// Upper bounds of the buckets, in seconds.
constexpr std::array<double, 16> kBucketBounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0};

using BucketArray = std::array<std::uint64_t, kBucketBounds.size()>;

namespace impl {

/// Counts, for each bound, the samples that do not exceed it.
struct BucketCountsImpl : boost::accumulators::accumulator_base
{
    using result_type = BucketArray;

    template <typename Arguments>
    explicit BucketCountsImpl(const Arguments &)
    {
    }

    template <typename Arguments>
    auto operator()(const Arguments &arguments) -> void
    {
        const double sample = arguments[boost::accumulators::sample];
        for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
            if (sample <= kBucketBounds[i])
                ++m_counts[i];
        }
    }

    auto result(boost::accumulators::dont_care) const -> result_type
    {
        return m_counts;
    }

private:
    BucketArray m_counts{};
};

} // namespace impl

namespace tag {

/// The tag of the feature.
struct BucketCounts : boost::accumulators::depends_on<>
{
    using impl = boost::mpl::always<internal::impl::BucketCountsImpl>;
};

} // namespace tag

using HistogramSet = boost::accumulators::accumulator_set<
    double, boost::accumulators::features<tag::BucketCounts, boost::accumulators::tag::count,
                                          boost::accumulators::tag::sum>>;

} // namespace heathergate::telemetry::internal
