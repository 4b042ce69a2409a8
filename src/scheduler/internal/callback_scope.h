#ifndef LAPISHATCH_SCHEDULER_INTERNAL_CALLBACK_SCOPE_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_CALLBACK_SCOPE_H_

#include <memory>
#include <utility>

#include "base/base.h"

namespace lapishatch::scheduler::internal {

/// Bounds the life of callbacks to that of the object that has this as a
/// member: what comes back after its end is dropped. The object must be
/// destroyed on the loop.
class CallbackScope {
 public:
  explicit CallbackScope(base::EventLoop& loop)
      : loop_(loop), alive_(std::make_shared<char>()) {}

  /// For answers of other packages, which may come on any thread: runs `task`
  /// on the loop while the scope lives.
  template <typename Task>
  auto OnLoop(Task task) {
    return [&loop = loop_, weak = std::weak_ptr<char>(alive_),
            task = std::move(task)]<typename Result>(Result result) {
      loop.Post([weak, task, result = std::move(result)]() mutable {
        if (weak.expired()) return;
        task(std::move(result));
      });
    };
  }

  /// Expires with the scope; for callbacks that run on the loop anyway.
  std::weak_ptr<char> Weak() const { return alive_; }

  /// For timers and posted tasks of the loop itself.
  template <typename Task>
  auto Guard(Task task) {
    return [weak = std::weak_ptr<char>(alive_), task = std::move(task)] {
      if (weak.expired()) return;
      task();
    };
  }

 private:
  base::EventLoop& loop_;
  std::shared_ptr<char> alive_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_CALLBACK_SCOPE_H_
