#ifndef LAPISHATCH_TESTING_FAKES_FAKE_PROCESS_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_PROCESS_H_

#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "base/base.h"
#include "fakes/virtual_time.h"

namespace lapishatch::fakes {

/// The event loop of one process in virtual time, which can be paused (its
/// tasks wait, its clock goes on) and killed (its tasks never run).
class FakeProcess final : public base::EventLoop {
 public:
  explicit FakeProcess(VirtualTime& time)
      : time_(time), state_(std::make_shared<State>()) {}

  ~FakeProcess() override { Kill(); }

  FakeProcess(const FakeProcess&) = delete;
  FakeProcess& operator=(const FakeProcess&) = delete;

  base::TimePoint Now() const override { return time_.Now(); }

  void Post(std::function<void()> task) override {
    After(base::Duration(0), std::move(task));
  }

  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override {
    const auto id = ++state_->last_id;
    state_->live.insert(id);
    time_.After(delay, [state = state_, id, task = std::move(task)]() mutable {
      Run(state, id, std::move(task));
    });
    return id;
  }

  void Cancel(base::TimerId timer) override { state_->live.erase(timer); }

  /// Holds every task that comes due until Resume.
  void Pause() { state_->paused = true; }

  /// Runs what was held, in its order, from now on.
  void Resume() {
    state_->paused = false;
    auto held = std::exchange(state_->held, {});
    for (auto& task : held) time_.Post(std::move(task));
  }

  /// No task runs any more.
  void Kill() {
    state_->killed = true;
    state_->held.clear();
  }

  bool killed() const { return state_->killed; }

 private:
  struct State {
    bool paused = false;
    bool killed = false;
    base::TimerId last_id = 0;
    std::set<base::TimerId> live;
    std::vector<std::function<void()>> held;
  };

  static void Run(const std::shared_ptr<State>& state, base::TimerId id,
                  std::function<void()> task) {
    if (state->killed) return;
    if (state->paused) {
      state->held.push_back([state, id, task = std::move(task)]() mutable {
        Run(state, id, std::move(task));
      });
      return;
    }
    if (state->live.erase(id) == 0) return;
    task();
  }

  VirtualTime& time_;
  std::shared_ptr<State> state_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_PROCESS_H_
