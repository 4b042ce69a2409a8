#ifndef LAPISHATCH_TESTING_LOAD_LATENCY_HISTOGRAM_H_
#define LAPISHATCH_TESTING_LOAD_LATENCY_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <bit>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace lapishatch::load {

/// Counts of latencies in buckets that grow with the value: each power of two
/// of microseconds has 64, so that a quantile is at most 1/64 too high. Adding
/// takes no lock; safe from several threads.
class LatencyHistogram {
 public:
  using Microseconds = std::chrono::microseconds;

  void Add(Microseconds latency) {
    const auto us =
        static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    buckets_[BucketOf(us)].fetch_add(1, std::memory_order_relaxed);
  }

  std::uint64_t count() const {
    std::uint64_t out = 0;
    for (const auto& it : buckets_) out += it.load();
    return out;
  }

  /// The latency that `share` of all latencies do not exceed, in milliseconds;
  /// 0 when there are none.
  double QuantileMs(double share) const {
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(share * static_cast<double>(count())));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      seen += buckets_[i].load();
      if (seen >= wanted && seen > 0) return UpperMs(i);
    }
    return 0;
  }

 private:
  static constexpr int kSubBits = 6;
  static constexpr std::uint64_t kSub = 1U << kSubBits;
  /// Up to 2^32 us, more than an hour.
  static constexpr int kPowers = 32 - kSubBits;
  static constexpr std::size_t kBuckets = (kPowers + 1) * kSub;

  /// Values below kSub have a bucket each; above, the highest kSubBits + 1 bits
  /// choose it.
  static std::size_t BucketOf(std::uint64_t us) {
    if (us < kSub) return us;
    const int shift = std::bit_width(us) - 1 - kSubBits;
    const auto index =
        static_cast<std::uint64_t>(shift + 1) * kSub + (us >> shift) - kSub;
    return std::min<std::size_t>(index, kBuckets - 1);
  }

  static double UpperMs(std::size_t bucket) {
    constexpr double kUsPerMs = 1e3;
    if (bucket < kSub) return static_cast<double>(bucket) / kUsPerMs;
    const auto shift = bucket / kSub - 1;
    const auto low = (bucket % kSub + kSub) << shift;
    const auto high = low + (std::uint64_t{1} << shift) - 1;
    return static_cast<double>(high) / kUsPerMs;
  }

  std::array<std::atomic<std::uint64_t>, kBuckets> buckets_{};
};

}  // namespace lapishatch::load

#endif  // LAPISHATCH_TESTING_LOAD_LATENCY_HISTOGRAM_H_
