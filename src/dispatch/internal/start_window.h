#ifndef LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_
#define LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_

#include <algorithm>
#include <optional>

#include "base/base.h"

namespace lapishatch::dispatch::internal {

struct StartWindowOptions {
  int initial_size = 64;
  int min_size = 16;
  int max_size = 1'024;
  /// A slower answer shows that orders queue up.
  base::Duration late_after{200};
  /// The window changes at most once in this time, and only after at least
  /// `min_answers` answers.
  base::Duration min_period{200};
  int min_answers = 8;
  /// The window shrinks when more than `shrink_above_late_share` of the answers
  /// are late or missing, and may grow when less than `grow_below_late_share`
  /// are. The starts of unreachable workers remain unanswered at any window
  /// size, so a moderate share of missing answers does not shrink it.
  double shrink_above_late_share = 0.5;
  double grow_below_late_share = 0.25;
  double shrink_factor = 0.6;
  double growth_factor = 1.5;
  /// The window grows only when at least this share of it was used: prompt
  /// answers to few starts do not show that a larger window can be sustained.
  double min_used_share = 0.5;
};

/// Adaptive limit on the number of starts in flight to workers. More starts
/// than the owner's processor and link can handle in time would queue up, time
/// out and be sent again, so that failures increase the load. Performs no I/O:
/// the size follows the answer times passed to OnAnswer.
class StartWindow {
 public:
  explicit StartWindow(StartWindowOptions options)
      : options_(options), size_(options.initial_size) {}

  int size() const { return size_; }

  /// Records that `in_flight` starts are in flight now.
  void RecordInFlight(int in_flight) {
    max_in_flight_ = std::max(max_in_flight_, in_flight);
  }

  /// Records a start that was answered after `took`, or that timed out if
  /// `took` is empty. Returns whether the size of the window has changed.
  bool OnAnswer(std::optional<base::Duration> took, base::TimePoint now);

 private:
  bool Resize(double factor);

  const StartWindowOptions options_;
  int size_;
  base::TimePoint period_start_{};
  int answer_count_ = 0;
  int late_count_ = 0;
  /// Largest number of starts in flight in the present period.
  int max_in_flight_ = 0;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_
