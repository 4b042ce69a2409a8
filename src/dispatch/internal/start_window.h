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
  /// An answer that takes longer shows that orders wait behind each other.
  base::Duration late_after{200};
  /// The window changes at most once in this time, after at least so many
  /// answers.
  base::Duration min_period{200};
  int min_answers = 8;
  /// It shrinks when more than this share of the answers is late or missing,
  /// and may grow when less than that is. Workers that are cut off leave their
  /// share of the starts without an answer, which no smaller window would mend.
  double shrink_above_late_share = 0.5;
  double grow_below_late_share = 0.25;
  double shrink_factor = 0.6;
  double growth_factor = 1.5;
  /// It grows only when at least this share of it was used: a window that grew
  /// while little was to be sent says nothing of what can be.
  double min_used_share = 0.5;
};

/// How many starts may be under way to workers at once. More than the owner's
/// processor and its link carry in time would wait behind each other, be given
/// up and sent again, so that the load grows with the failures. Pure: told of
/// each answer, it follows how soon they come.
class StartWindow {
 public:
  explicit StartWindow(StartWindowOptions options)
      : options_(options), size_(options.initial_size) {}

  int size() const { return size_; }

  /// So many starts are under way now.
  void RecordInFlight(int in_flight) {
    max_in_flight_ = std::max(max_in_flight_, in_flight);
  }

  /// A start was answered after `took`, or had no answer in time. Returns
  /// whether the window has changed.
  bool OnAnswer(std::optional<base::Duration> took, base::TimePoint now);

 private:
  bool Resize(double factor);

  const StartWindowOptions options_;
  int size_;
  base::TimePoint period_start_{};
  int answer_count_ = 0;
  int late_count_ = 0;
  /// Of the present period.
  int max_in_flight_ = 0;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_
