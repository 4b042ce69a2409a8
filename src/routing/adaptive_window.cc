#include "routing/adaptive_window.h"

#include <algorithm>

namespace lapishatch::routing {

bool AdaptiveWindow::CanStart(base::TimePoint now) const {
  if (closed_) return now >= opens_at_ && open_calls_ == 0;
  return open_calls_ < static_cast<int>(limit_);
}

bool AdaptiveWindow::TryStart(base::TimePoint now) {
  if (!CanStart(now)) return false;
  ++open_calls_;
  return true;
}

void AdaptiveWindow::Finish(bool succeeded, base::Duration latency,
                            base::TimePoint now, base::Random& random) {
  --open_calls_;
  if (!succeeded) {
    ++failures_;
    Shrink(now);
    if (closed_ || failures_ >= options_.failures_to_close) Close(now, random);
    return;
  }
  failures_ = 0;
  if (closed_) {
    closed_ = false;
    limit_ = 1;
    pause_.Reset();
  }
  if (latency > options_.slow) {
    Shrink(now);
  } else {
    Grow();
  }
}

void AdaptiveWindow::Grow() {
  limit_ += limit_ < threshold_ ? 1 : 1 / limit_;
  limit_ = std::min(limit_, options_.max_limit);
}

void AdaptiveWindow::Shrink(base::TimePoint now) {
  if (now - shrunk_at_ < options_.slow) return;
  shrunk_at_ = now;
  threshold_ = std::max(1.0, limit_ / 2);
  limit_ = threshold_;
}

void AdaptiveWindow::Close(base::TimePoint now, base::Random& random) {
  if (closed_ && now < opens_at_) return;
  closed_ = true;
  opens_at_ = now + pause_.Next(random);
}

}  // namespace lapishatch::routing
