#ifndef LAPISHATCH_STORE_ANSWER_TIMEOUT_H_
#define LAPISHATCH_STORE_ANSWER_TIMEOUT_H_

#include <algorithm>

#include "base/base.h"

namespace lapishatch::store {

/// Time allowed for the answers to calls of one kind. It grows while answers
/// take longer, so that larger answers get through a slow link, and shrinks
/// again, so that a dead connection is detected soon.
class AnswerTimeout {
 public:
  AnswerTimeout(base::Duration base, base::Duration limit)
      : base_(base), limit_(limit), value_(base) {}

  base::Duration value() const { return value_; }

  /// Handles an answer that took `elapsed`.
  void OnAnswer(base::Duration elapsed) {
    if (kMargin * elapsed < value_) value_ = std::max(base_, value_ / 2);
  }

  /// Handles a call that was allowed `allowed` and failed after `elapsed`.
  /// Returns whether it was given up for lack of time.
  bool OnFailure(base::Duration elapsed, base::Duration allowed) {
    if (elapsed < allowed) return false;
    value_ = std::min(limit_, 2 * allowed);
    return true;
  }

 private:
  /// Half of the time must still exceed what answers take, with a margin.
  static constexpr int kMargin = 4;

  const base::Duration base_;
  const base::Duration limit_;
  base::Duration value_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_ANSWER_TIMEOUT_H_
