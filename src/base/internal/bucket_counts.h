#ifndef LAPISHATCH_BASE_INTERNAL_BUCKET_COUNTS_H_
#define LAPISHATCH_BASE_INTERNAL_BUCKET_COUNTS_H_

#include <algorithm>
#include <array>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <cstdint>

namespace lapishatch::base::internal {

/// Upper bounds of the histogram buckets, in seconds: fine around the request
/// path's milliseconds, coarse towards the hours of jobs.
inline constexpr std::array<double, 22> kBucketBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,  1,
    2,      3,     5,     7.1,   10,   30,   60,   300, 900, 1800, 3600};

/// Observations per bucket, the last for those above every bound.
using BucketCounts = std::array<std::uint64_t, kBucketBounds.size() + 1>;

/// Accumulator that counts samples per fixed bucket. Boost's own `density`
/// picks its bounds from the first samples, so two processes' histograms could
/// not be added; fixed bounds can.
struct BucketCountsImpl : boost::accumulators::accumulator_base {
  using result_type = const BucketCounts&;

  explicit BucketCountsImpl(boost::accumulators::dont_care) {}

  template <typename Args>
  void operator()(const Args& args) {
    const double sample = args[boost::accumulators::sample];
    const auto it =
        std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), sample);
    ++counts_[static_cast<std::size_t>(it - kBucketBounds.begin())];
  }

  result_type result(boost::accumulators::dont_care) const { return counts_; }

 private:
  BucketCounts counts_{};
};

namespace tag {

// The names are those that Boost.Accumulators asks of a feature.
// NOLINTNEXTLINE(readability-identifier-naming)
struct bucket_counts : boost::accumulators::depends_on<> {
  using impl = boost::mpl::always<BucketCountsImpl>;
};

}  // namespace tag

/// The counts of an accumulator set that has the feature.
template <typename AccumulatorSet>
const BucketCounts& BucketCountsOf(const AccumulatorSet& set) {
  return boost::accumulators::extract_result<tag::bucket_counts>(set);
}

}  // namespace lapishatch::base::internal

#endif  // LAPISHATCH_BASE_INTERNAL_BUCKET_COUNTS_H_
