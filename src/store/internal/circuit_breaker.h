#ifndef LAPISHATCH_STORE_INTERNAL_CIRCUIT_BREAKER_H_
#define LAPISHATCH_STORE_INTERNAL_CIRCUIT_BREAKER_H_

#include <algorithm>
#include <cstddef>

#include "base/base.h"

namespace lapishatch::store::internal {

/// Decides whether a service is used, from how calls to it end. Pure: it is
/// told what happened and says what is allowed.
class CircuitBreaker {
 public:
  struct Options {
    int failures_until_open = 3;
    std::size_t max_in_flight = 4;
    base::Duration first_probe{200};
    base::Duration longest_probe{5'000};
  };

  explicit CircuitBreaker(const Options& options)
      : options_(options),
        backoff_(options.first_probe, options.longest_probe),
        allowed_(options.max_in_flight) {}

  /// Whether nothing may be sent but probes.
  bool is_open() const { return is_open_; }

  /// Calls that may be under way at once.
  std::size_t allowed() const { return is_open_ ? 0 : allowed_; }

  /// A call was answered, whatever the answer: the service works, and one more
  /// call at a time is allowed.
  void OnAnswer() {
    failures_ = 0;
    if (is_open_) return;
    backoff_.Reset();
    allowed_ = std::min(allowed_ + 1, options_.max_in_flight);
  }

  /// A call was not answered. True when this opens the breaker. Just after a
  /// recovery one failure is enough.
  bool OnFailure() {
    if (is_open_) return false;
    ++failures_;
    const bool is_recovering = allowed_ < options_.max_in_flight;
    if (!is_recovering && failures_ < options_.failures_until_open) {
      return false;
    }
    is_open_ = true;
    return true;
  }

  /// The delay until the next probe.
  base::Duration NextProbe(base::Random& random) {
    return backoff_.Next(random);
  }

  /// A probe was answered: one call at a time is allowed again.
  void OnProbeAnswered() {
    is_open_ = false;
    failures_ = 0;
    allowed_ = 1;
  }

 private:
  const Options options_;
  base::Backoff backoff_;
  std::size_t allowed_;
  int failures_ = 0;
  bool is_open_ = false;
};

}  // namespace lapishatch::store::internal

#endif  // LAPISHATCH_STORE_INTERNAL_CIRCUIT_BREAKER_H_
