#ifndef LAPISHATCH_ROUTING_ANSWER_TIMES_H_
#define LAPISHATCH_ROUTING_ANSWER_TIMES_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

#include "base/base.h"

namespace lapishatch::routing {

/// The usual longest time of an answer: the 99th percentile of the last 256.
/// Worked out anew after every 16th, so that an answer costs next to nothing.
/// Not thread-safe.
class AnswerTimes {
 public:
  void Add(base::Duration time) {
    times_[added_ % kKept] = time;
    ++added_;
    if (added_ % kWorkedOutEvery == 0) WorkOut();
  }

  /// Nothing before the first 16 answers.
  std::optional<base::Duration> usual_longest() const { return longest_; }

 private:
  static constexpr std::size_t kKept = 256;
  static constexpr std::size_t kWorkedOutEvery = 16;
  static constexpr std::size_t kPercent = 99;

  void WorkOut() {
    auto sorted = times_;
    const auto n = std::min(added_, kKept);
    const auto at = n * kPercent / 100;
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.begin() + n);
    longest_ = sorted[at];
  }

  std::array<base::Duration, kKept> times_{};
  std::size_t added_ = 0;
  std::optional<base::Duration> longest_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_ANSWER_TIMES_H_
