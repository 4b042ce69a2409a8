#ifndef LAPISHATCH_TESTING_FAKES_BUSY_PROCESSOR_H_
#define LAPISHATCH_TESTING_FAKES_BUSY_PROCESSOR_H_

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "fakes/virtual_time.h"
#include "store/row_store.h"

namespace lapishatch::fakes {

/// Simulates the processor of one process in virtual time. Tasks run one after
/// another and each takes time, so an overloaded process falls behind: its
/// timers run late and answers are processed late.
class BusyProcessor final : public base::EventLoop {
 public:
  explicit BusyProcessor(VirtualTime& time)
      : state_(std::make_shared<State>(time)) {}
  ~BusyProcessor() override { state_->is_destroyed = true; }
  BusyProcessor(const BusyProcessor&) = delete;
  BusyProcessor& operator=(const BusyProcessor&) = delete;

  /// Sets the time that each task takes from now on; 0 by default.
  void SetCost(base::Duration cost) { state_->cost = cost; }

  /// Number of tasks that are due and have not run yet.
  std::size_t backlog() const { return state_->queue.size(); }

  base::TimePoint Now() const override { return state_->time.Now(); }

  void Post(std::function<void()> task) override {
    After(base::Duration(0), std::move(task));
  }

  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override {
    const auto id = ++state_->last_id;
    state_->pending.insert(id);
    state_->time.After(delay,
                       [state = state_, id, task = std::move(task)]() mutable {
                         state->queue.emplace_back(id, std::move(task));
                         if (!state->is_busy) RunNext(state);
                       });
    return id;
  }

  void Cancel(base::TimerId timer) override { state_->pending.erase(timer); }

  /// Returns a callback that queues `done` on this processor. It does nothing
  /// after the processor is destroyed.
  template <typename Result>
  std::function<void(Result)> Deferred(std::function<void(Result)> done) {
    return [this, state = state_, done = std::move(done)](Result result) {
      if (state->is_destroyed) return;
      Post([done, result = std::move(result)]() mutable {
        done(std::move(result));
      });
    };
  }

 private:
  struct State {
    explicit State(VirtualTime& virtual_time) : time(virtual_time) {}

    VirtualTime& time;
    base::Duration cost{0};
    bool is_busy = false;
    bool is_destroyed = false;
    base::TimerId last_id = 0;
    std::set<base::TimerId> pending;
    std::deque<std::pair<base::TimerId, std::function<void()>>> queue;
  };

  static void RunNext(const std::shared_ptr<State>& state) {
    while (!state->is_destroyed && !state->queue.empty()) {
      auto [id, task] = std::move(state->queue.front());
      state->queue.pop_front();
      if (state->pending.erase(id) == 0) continue;
      state->is_busy = true;
      task();
      if (state->cost > base::Duration(0)) {
        state->time.After(state->cost, [state] {
          state->is_busy = false;
          RunNext(state);
        });
        return;
      }
      state->is_busy = false;
    }
  }

  const std::shared_ptr<State> state_;
};

/// Sends calls to workers over one link, where they are serialized and each
/// takes time. Answers are queued on the caller's processor.
class BusyWorkerClient final : public dispatch::WorkerClient {
 public:
  BusyWorkerClient(VirtualTime& time, BusyProcessor& processor,
                   dispatch::WorkerClient& client)
      : time_(time), processor_(processor), link_(time), client_(client) {}

  /// Sets the time that each call takes on the link from now on; 0 by default.
  void SetLinkTime(base::Duration time) { link_.SetCost(time); }

  void Start(const dispatch::WorkerAddress& worker, dispatch::StartOrder order,
             base::Duration timeout,
             std::function<void(dispatch::StartResult)> done) override {
    SendOverLink<dispatch::StartResult>(
        timeout, std::move(done), [this, worker, order, timeout](auto answer) {
          client_.Start(worker, order, timeout, answer);
        });
  }

  void Stop(const dispatch::WorkerAddress& worker, dispatch::StopOrder order,
            base::Duration timeout,
            std::function<void(dispatch::StopResult)> done) override {
    SendOverLink<dispatch::StopResult>(
        timeout, std::move(done), [this, worker, order, timeout](auto answer) {
          client_.Stop(worker, order, timeout, answer);
        });
  }

  void Poll(const dispatch::WorkerAddress& worker, dispatch::PollOrder order,
            base::Duration timeout,
            std::function<void(dispatch::PollResult)> done) override {
    SendOverLink<dispatch::PollResult>(
        timeout, std::move(done), [this, worker, order, timeout](auto answer) {
          client_.Poll(worker, order, timeout, answer);
        });
  }

 private:
  /// A call that has timed out at its caller is still sent.
  template <typename Result, typename Send>
  void SendOverLink(base::Duration timeout, std::function<void(Result)> done,
                    Send send) {
    auto is_over = std::make_shared<bool>(false);
    const std::function<void(Result)> finish =
        [is_over, done = processor_.Deferred(std::move(done))](Result result) {
          if (!std::exchange(*is_over, true)) done(std::move(result));
        };
    time_.After(timeout, [finish] { finish(dispatch::NoAnswer{"timeout"}); });
    link_.Post([send, finish] { send(finish); });
  }

  VirtualTime& time_;
  BusyProcessor& processor_;
  BusyProcessor link_;
  dispatch::WorkerClient& client_;
};

/// Forwards calls to the store; answers are queued on the caller's processor.
class BusyRowStore final : public store::RowStore {
 public:
  BusyRowStore(BusyProcessor& processor, store::RowStore& store)
      : processor_(processor), store_(store) {}

  void Commit(store::RowTransaction transaction,
              std::function<void(store::RowsResult)> done) override {
    store_.Commit(std::move(transaction), processor_.Deferred(std::move(done)));
  }

  void Read(store::RowRange range,
            std::function<void(store::RowsReadResult)> done) override {
    store_.Read(std::move(range), processor_.Deferred(std::move(done)));
  }

  void Parts(std::string table,
             std::function<void(store::PartsResult)> done) override {
    store_.Parts(std::move(table), processor_.Deferred(std::move(done)));
  }

  void Feed(store::FeedRequest request,
            std::function<void(store::RowsFeedResult)> done) override {
    store_.Feed(std::move(request), processor_.Deferred(std::move(done)));
  }

 private:
  BusyProcessor& processor_;
  store::RowStore& store_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_BUSY_PROCESSOR_H_
