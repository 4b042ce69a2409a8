#ifndef LAPISHATCH_STANDINS_PLATFORM_TOKEN_BUCKET_H_
#define LAPISHATCH_STANDINS_PLATFORM_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <mutex>

namespace lapishatch::standins {

/// Lets so many calls a second through, a second's worth at once at most. Safe
/// from several threads.
class TokenBucket {
 public:
  using Clock = std::chrono::steady_clock;

  /// A `rate` of 0 lets everything through.
  explicit TokenBucket(double rate) : rate_(rate), tokens_(rate) {}

  bool TryTake(Clock::time_point now) {
    if (rate_ <= 0) return true;
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(rate_, tokens_ + passed.count() * rate_);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double rate_;
  std::mutex mutex_;
  double tokens_;
  Clock::time_point last_ = Clock::now();
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_PLATFORM_TOKEN_BUCKET_H_
