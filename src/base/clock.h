#ifndef LAPISHATCH_BASE_CLOCK_H_
#define LAPISHATCH_BASE_CLOCK_H_

#include <atomic>
#include <chrono>

namespace lapishatch::base {

/// A length of time in whole milliseconds, the finest unit that any decision
/// depends on.
using Duration = std::chrono::milliseconds;

/// A point on the monotonic clock. Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of monotonic time. Decisions take the time as an argument; only the
/// outermost loops read a clock, so that every decision can be driven in
/// virtual time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// The present time; never goes back.
  virtual TimePoint Now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// A clock that a test moves by hand. Safe to read from several threads.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(now_ms_.load())); }

  /// Moves the clock forward by `step`, which must not be negative.
  void Advance(Duration step) { now_ms_ += step.count(); }

 private:
  std::atomic<std::int64_t> now_ms_{1'000'000};
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_CLOCK_H_
