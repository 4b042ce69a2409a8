#ifndef LAPISHATCH_BASE_LOG_GATE_H_
#define LAPISHATCH_BASE_LOG_GATE_H_

#include <atomic>

#include "base/clock.h"

namespace lapishatch::base {

/// Bounds how often an event that peers can cause is logged. Safe from several
/// threads.
class LogGate {
 public:
  explicit LogGate(Duration interval) : interval_(interval) {}

  /// Whether the event may be logged at `now`; then not again for the interval.
  bool Open(TimePoint now) {
    auto last = last_.load();
    if (last != TimePoint{} && now - last < interval_) return false;
    return last_.compare_exchange_strong(last, now);
  }

 private:
  const Duration interval_;
  std::atomic<TimePoint> last_{};
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_LOG_GATE_H_
