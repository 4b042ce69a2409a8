#ifndef LAPISHATCH_BASE_EVENT_LOOP_H_
#define LAPISHATCH_BASE_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"

namespace lapishatch::base {

/// Names a timer that was set; never used twice.
using TimerId = std::uint64_t;

/// Where asynchronous logic runs: callbacks of one loop never run at the same
/// time, so state that only they touch needs no lock. The logic of the product
/// is written against this interface, which tests replace by virtual time.
class EventLoop : public Clock {
 public:
  /// Runs `task` soon, after the present callback. Safe from any thread.
  virtual void Post(std::function<void()> task) = 0;

  /// Runs `task` once, `delay` from now. Safe from any thread.
  virtual TimerId After(Duration delay, std::function<void()> task) = 0;

  /// Forgets a timer that has not run yet; otherwise does nothing. From a
  /// callback of this loop, the task is certain not to run afterwards.
  virtual void Cancel(TimerId timer) = 0;
};

/// A loop on a strand of `io`, which must outlive it. The loop's timers die
/// with it.
std::unique_ptr<EventLoop> MakeAsioEventLoop(boost::asio::io_context& io);

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_EVENT_LOOP_H_
