#include "dispatch/internal/start_window.h"

#include <algorithm>

namespace lapishatch::dispatch::internal {

bool StartWindow::OnAnswer(std::optional<base::Duration> took,
                           base::TimePoint now) {
  ++answer_count_;
  if (!took || *took > options_.late_after) ++late_count_;
  const bool is_period_over = answer_count_ >= options_.min_answers &&
                              now - period_start_ >= options_.min_period;
  if (!is_period_over) return false;
  const double late_share = static_cast<double>(late_count_) / answer_count_;
  const bool is_used = max_in_flight_ >= options_.min_used_share * size_;
  answer_count_ = 0;
  late_count_ = 0;
  max_in_flight_ = 0;
  period_start_ = now;
  if (late_share > options_.shrink_above_late_share) {
    return Resize(options_.shrink_factor);
  }
  if (late_share < options_.grow_below_late_share && is_used) {
    return Resize(options_.growth_factor);
  }
  return false;
}

bool StartWindow::Resize(double factor) {
  const int new_size = static_cast<int>(size_ * factor);
  const int old_size = size_;
  size_ = std::clamp(new_size, options_.min_size, options_.max_size);
  return size_ != old_size;
}

}  // namespace lapishatch::dispatch::internal
