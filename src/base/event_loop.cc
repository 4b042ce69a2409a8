#include "base/event_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace lapishatch::base {
namespace {

namespace asio = boost::asio;

/// The state is shared with pending handlers, so that one that fires after the
/// loop is gone finds it closed.
class AsioEventLoop final : public EventLoop {
 public:
  explicit AsioEventLoop(asio::io_context& io)
      : strand_(asio::make_strand(io)), state_(std::make_shared<State>()) {}

  ~AsioEventLoop() override {
    const std::lock_guard lock(state_->mutex);
    state_->closed = true;
    state_->timers.clear();
  }

  AsioEventLoop(const AsioEventLoop&) = delete;
  AsioEventLoop& operator=(const AsioEventLoop&) = delete;

  TimePoint Now() const override { return SteadyClock().Now(); }

  void Post(std::function<void()> task) override {
    asio::post(strand_, [state = state_, task = std::move(task)] {
      if (state->IsClosed()) return;
      task();
    });
  }

  TimerId After(Duration delay, std::function<void()> task) override {
    const std::lock_guard lock(state_->mutex);
    const TimerId id = ++state_->last_id;
    auto [it, inserted] =
        state_->timers.try_emplace(id, asio::steady_timer(strand_, delay));
    it->second.async_wait([state = state_, id, task = std::move(task)](
                              const boost::system::error_code&) {
      if (!state->Take(id)) return;
      task();
    });
    return id;
  }

  void Cancel(TimerId timer) override {
    const std::lock_guard lock(state_->mutex);
    state_->timers.erase(timer);
  }

 private:
  using Strand = asio::strand<asio::io_context::executor_type>;

  struct State {
    bool IsClosed() {
      const std::lock_guard lock(mutex);
      return closed;
    }

    /// Whether the timer was still wanted; it is not afterwards.
    bool Take(TimerId id) {
      const std::lock_guard lock(mutex);
      return !closed && timers.erase(id) > 0;
    }

    std::mutex mutex;
    bool closed = false;
    TimerId last_id = 0;
    std::unordered_map<TimerId, asio::steady_timer> timers;
  };

  Strand strand_;
  std::shared_ptr<State> state_;
};

}  // namespace

std::unique_ptr<EventLoop> MakeAsioEventLoop(asio::io_context& io) {
  return std::make_unique<AsioEventLoop>(io);
}

}  // namespace lapishatch::base
