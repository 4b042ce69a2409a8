#include "dispatch/internal/start_window.h"

#include <algorithm>

namespace lapishatch::dispatch::internal {

bool StartWindow::OnAnswer(std::optional<base::Duration> took,
                           base::TimePoint now) {
  ++answers_;
  if (!took || *took > options_.late) ++late_;
  const bool is_enough =
      answers_ >= options_.answers && now - period_began_ >= options_.period;
  if (!is_enough) return false;
  const double share = static_cast<double>(late_) / answers_;
  const bool is_used = most_used_ >= options_.used_share * size_;
  answers_ = 0;
  late_ = 0;
  most_used_ = 0;
  period_began_ = now;
  if (share > options_.shrinks_above) return Resize(options_.shrinks_to);
  if (share < options_.grows_below && is_used) {
    return Resize(options_.grows_to);
  }
  return false;
}

bool StartWindow::Resize(double factor) {
  const int wanted = static_cast<int>(size_ * factor);
  const int before = size_;
  size_ = std::clamp(wanted, options_.least, options_.most);
  return size_ != before;
}

}  // namespace lapishatch::dispatch::internal
