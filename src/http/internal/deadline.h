#ifndef LAPISHATCH_HTTP_INTERNAL_DEADLINE_H_
#define LAPISHATCH_HTTP_INTERNAL_DEADLINE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "base/base.h"

namespace lapishatch::http::internal {

/// A deadline that is moved with every request. The timer behind it is touched
/// only when the deadline comes nearer than the armed time; one that moves
/// away is noticed when the timer fires early. All timers of an io_context
/// share one lock, which a busy connection so takes once per timeout rather
/// than twice per request. Used on one strand.
class Deadline {
 public:
  explicit Deadline(const boost::asio::any_io_executor& strand)
      : timer_(strand) {}

  /// `due` runs on the strand when the deadline has passed, if `owner` lives.
  void Bind(std::weak_ptr<void> owner, std::function<void()> due) {
    owner_ = std::move(owner);
    due_ = std::move(due);
  }

  void Set(base::TimePoint deadline) {
    deadline_ = deadline;
    if (deadline < armed_) Arm(deadline);
  }

  void SetAfter(base::Duration delay) {
    Set(base::SteadyClock().Now() + delay);
  }

  /// No deadline until the next Set.
  void Clear() { deadline_ = base::TimePoint::max(); }

  /// Ends the timer for good.
  void Stop() {
    Clear();
    timer_.cancel();
  }

 private:
  void Arm(base::TimePoint time) {
    armed_ = time;
    timer_.expires_at(time);
    timer_.async_wait(
        [this, owner = owner_](const boost::system::error_code& ec) {
          if (ec) return;
          if (const auto alive = owner.lock()) Fired();
        });
  }

  void Fired() {
    const auto now = base::SteadyClock().Now();
    if (now < armed_) return;
    armed_ = base::TimePoint::max();
    if (deadline_ == base::TimePoint::max()) return;
    if (now < deadline_) return Arm(deadline_);
    Clear();
    due_();
  }

  boost::asio::steady_timer timer_;
  std::weak_ptr<void> owner_;
  std::function<void()> due_;
  base::TimePoint deadline_ = base::TimePoint::max();
  base::TimePoint armed_ = base::TimePoint::max();
};

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_DEADLINE_H_
