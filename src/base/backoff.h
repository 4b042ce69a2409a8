#ifndef LAPISHATCH_BASE_BACKOFF_H_
#define LAPISHATCH_BASE_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace lapishatch::base {

/// Pseudo-random source with a seed, so that a decision that draws from it can
/// be repeated.
using Random = std::mt19937_64;

/// Exponential backoff with full jitter: the n-th delay is uniform in [cap/2,
/// cap] where cap = min(limit, first * 2^n). The lower bound keeps a delay from
/// being nearly nothing, the jitter keeps many waiters from coming back
/// together.
class Backoff {
 public:
  Backoff(Duration first, Duration limit) : first_(first), limit_(limit) {}

  /// The next delay; each call doubles the range until it reaches the limit.
  Duration Next(Random& random) {
    const auto cap = std::min(limit_, first_ * (std::int64_t{1} << attempts_));
    if (cap < limit_) ++attempts_;
    std::uniform_int_distribution<std::int64_t> range(cap.count() / 2,
                                                      cap.count());
    return Duration(range(random));
  }

  /// Starts again from the first delay.
  void Reset() { attempts_ = 0; }

 private:
  Duration first_;
  Duration limit_;
  int attempts_ = 0;
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_BACKOFF_H_
