#ifndef LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_
#define LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_

#include <algorithm>
#include <optional>

#include "base/base.h"

namespace lapishatch::dispatch::internal {

struct StartWindowOptions {
  int first = 64;
  int least = 16;
  int most = 1'024;
  /// An answer that takes longer shows that orders wait behind each other.
  base::Duration late{200};
  /// The window changes at most once in this time, after at least so many
  /// answers.
  base::Duration period{200};
  int answers = 8;
  /// It shrinks when more than this share of the answers is late or missing,
  /// and may grow when less than that is. Workers that are cut off leave their
  /// share of the starts without an answer, which no smaller window would mend.
  double shrinks_above = 0.5;
  double grows_below = 0.25;
  double shrinks_to = 0.6;
  double grows_to = 1.5;
  /// It grows only when at least this share of it was used: a window that grew
  /// while little was to be sent says nothing of what can be.
  double used_share = 0.5;
};

/// How many starts may be under way to workers at once. More than the owner's
/// processor and its link carry in time would wait behind each other, be given
/// up and sent again, so that the load grows with the failures. Pure: told of
/// each answer, it follows how soon they come.
class StartWindow {
 public:
  explicit StartWindow(StartWindowOptions options)
      : options_(options), size_(options.first) {}

  int size() const { return size_; }

  /// So many starts are under way now.
  void NoteUse(int under_way) { most_used_ = std::max(most_used_, under_way); }

  /// A start was answered after `took`, or had no answer in time. Returns
  /// whether the window has changed.
  bool OnAnswer(std::optional<base::Duration> took, base::TimePoint now);

 private:
  bool Resize(double factor);

  const StartWindowOptions options_;
  int size_;
  base::TimePoint period_began_{};
  int answers_ = 0;
  int late_ = 0;
  /// Of the present period.
  int most_used_ = 0;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_START_WINDOW_H_
