#ifndef LAPISHATCH_ROUTING_ADAPTIVE_WINDOW_H_
#define LAPISHATCH_ROUTING_ADAPTIVE_WINDOW_H_

#include "base/base.h"

namespace lapishatch::routing {

struct AdaptiveWindowOptions {
  double first_limit = 64;
  double max_limit = 1024;
  /// A slower call counts as a sign of congestion.
  base::Duration slow{500};
  /// Failures in a row that close the window.
  int failures_to_close = 3;
  base::Duration first_pause{200};
  base::Duration longest_pause{5'000};
};

/// How many calls to the platform may be open at once: additive increase,
/// multiplicative decrease. The limit grows by one per window of quick
/// successes and is halved at a slow or failed one, at most once per `slow`.
/// Failures in a row close the window; after a jittered pause one single call
/// probes, and its success opens the window at 1, from where it doubles per
/// window up to half of its former size. So an outage costs one call per pause,
/// and the return finds no crowd. Not thread-safe.
class AdaptiveWindow {
 public:
  explicit AdaptiveWindow(AdaptiveWindowOptions options)
      : options_(options),
        limit_(options.first_limit),
        threshold_(options.first_limit),
        pause_(options.first_pause, options.longest_pause) {}

  /// Takes a place if there is one; every place taken is given back by Finish.
  bool TryStart(base::TimePoint now);

  /// Gives a place back. `latency` is how long the call took.
  void Finish(bool succeeded, base::Duration latency, base::TimePoint now,
              base::Random& random);

  /// Whether TryStart would succeed.
  bool CanStart(base::TimePoint now) const;

  /// Whether the platform is taken to be out.
  bool closed() const { return closed_; }

  /// When a closed window lets the next probe through.
  base::TimePoint opens_at() const { return opens_at_; }

  int open_calls() const { return open_calls_; }
  double limit() const { return limit_; }

 private:
  void Grow();
  void Shrink(base::TimePoint now);
  void Close(base::TimePoint now, base::Random& random);

  AdaptiveWindowOptions options_;
  double limit_;
  /// Below it the window doubles, above it grows by one.
  double threshold_;
  base::Backoff pause_;
  bool closed_ = false;
  int open_calls_ = 0;
  int failures_ = 0;
  base::TimePoint opens_at_{};
  base::TimePoint shrunk_at_{};
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_ADAPTIVE_WINDOW_H_
