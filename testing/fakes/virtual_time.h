#ifndef LAPISHATCH_TESTING_FAKES_VIRTUAL_TIME_H_
#define LAPISHATCH_TESTING_FAKES_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/base.h"

namespace lapishatch::fakes {

/// An event loop whose time moves only when a test runs it: tasks due at the
/// same time run in the order in which they were set, so a run is the same
/// every time. Single-threaded.
class VirtualTime final : public base::EventLoop {
 public:
  base::TimePoint Now() const override { return now_; }

  void Post(std::function<void()> task) override {
    After(base::Duration(0), std::move(task));
  }

  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override {
    const auto id = ++last_id_;
    const Due due{now_ + std::max(delay, base::Duration(0)), id};
    tasks_.emplace(due, std::move(task));
    due_of_.emplace(id, due);
    return id;
  }

  void Cancel(base::TimerId timer) override {
    const auto it = due_of_.find(timer);
    if (it == due_of_.end()) return;
    tasks_.erase(it->second);
    due_of_.erase(it);
  }

  /// Runs the next task, moving the time to when it is due. False when there is
  /// none.
  bool Step() {
    if (tasks_.empty()) return false;
    const auto it = tasks_.begin();
    now_ = std::max(now_, it->first.time);
    auto task = std::move(it->second);
    due_of_.erase(it->first.id);
    tasks_.erase(it);
    task();
    return true;
  }

  /// Runs everything due within `span` and moves the time to its end.
  void RunFor(base::Duration span) {
    const auto end = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first.time <= end) Step();
    now_ = end;
  }

  /// Runs until `done` holds, at most `limit` of virtual time. Returns whether
  /// it holds.
  template <typename Done>
  bool RunUntil(Done done, base::Duration limit) {
    const auto end = now_ + limit;
    while (!done()) {
      if (tasks_.empty() || tasks_.begin()->first.time > end) return false;
      Step();
    }
    return true;
  }

 private:
  struct Due {
    base::TimePoint time;
    base::TimerId id;
    friend auto operator<=>(const Due&, const Due&) = default;
  };

  base::TimePoint now_{base::Duration(1'000'000)};
  base::TimerId last_id_ = 0;
  std::map<Due, std::function<void()>> tasks_;
  std::unordered_map<base::TimerId, Due> due_of_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_VIRTUAL_TIME_H_
