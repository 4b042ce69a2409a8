#include "backends/runner_monitor.h"

#include <utility>

namespace lapishatch::backends {

class RunnerMonitor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, RunnerClient& client, RunnerHealthOptions options)
      : loop_(loop), client_(client), options_(options) {}

  void SetOnChange(OnChange it) { on_change_ = std::move(it); }
  void SetOnLoad(OnLoad it) { on_load_ = std::move(it); }

  void Watch(const http::Endpoint& runner) {
    auto options = options_;
    // A different seed per runner gives each its own jitter.
    options.seed += ++watch_count_;
    const auto [it, added] = runners_.try_emplace(
        runner,
        WatchedRunner{RunnerHealth(options, loop_.Now()), watch_count_, 0});
    if (added) SchedulePing(runner, it->second);
  }

  void Unwatch(const http::Endpoint& runner) {
    const auto it = runners_.find(runner);
    if (it == runners_.end()) return;
    loop_.Cancel(it->second.timer);
    runners_.erase(it);
  }

  /// Calls `update` on the health of a watched runner, schedules its next ping
  /// and reports a change of its state.
  template <typename Update>
  void UpdateHealth(const http::Endpoint& runner, Update update) {
    const auto it = runners_.find(runner);
    if (it == runners_.end()) return;
    const auto before = it->second.health.state();
    update(it->second.health);
    const auto after = it->second.health.state();
    SchedulePing(runner, it->second);
    if (before != after && on_change_) on_change_(runner, after);
  }

  std::optional<RunnerState> state(const http::Endpoint& runner) const {
    const auto it = runners_.find(runner);
    if (it == runners_.end()) return std::nullopt;
    return it->second.health.state();
  }

  base::TimePoint now() const { return loop_.Now(); }

  void Close() {
    for (auto& [runner, watched] : runners_) loop_.Cancel(watched.timer);
    runners_.clear();
    on_change_ = nullptr;
    on_load_ = nullptr;
  }

 private:
  struct WatchedRunner {
    RunnerHealth health;
    /// Distinguishes this watch from later ones of the same runner, so that
    /// results of older pings are ignored.
    std::uint64_t id = 0;
    base::TimerId timer = 0;
  };

  /// Sets the timer for the next ping.
  void SchedulePing(const http::Endpoint& runner, WatchedRunner& watched) {
    loop_.Cancel(watched.timer);
    const auto delay =
        std::max(watched.health.next_ping() - loop_.Now(), base::Duration(0));
    watched.timer = loop_.After(delay, [weak = weak_from_this(), runner] {
      if (const auto self = weak.lock()) self->PingIfDue(runner);
    });
  }

  void PingIfDue(const http::Endpoint& runner) {
    const auto it = runners_.find(runner);
    if (it == runners_.end()) return;
    if (!it->second.health.IsPingDue(loop_.Now())) return;
    it->second.health.RecordPingSent();
    const auto id = it->second.id;
    client_.Ping(runner, options_.ping_timeout,
                 [weak = weak_from_this(), &loop = loop_, runner,
                  id](PingResult result) {
                   loop.Post([weak, runner, id, result = std::move(result)] {
                     const auto self = weak.lock();
                     if (self) self->HandlePingResult(runner, id, result);
                   });
                 });
  }

  void HandlePingResult(const http::Endpoint& runner, std::uint64_t id,
                        const PingResult& result) {
    const auto it = runners_.find(runner);
    if (it == runners_.end() || it->second.id != id) return;
    const auto* load = std::get_if<RunnerLoad>(&result);
    const auto completed_at = loop_.Now();
    if (load != nullptr && on_load_) on_load_(runner, *load);
    UpdateHealth(runner, [load, completed_at](RunnerHealth& health) {
      load != nullptr ? health.RecordResponse(completed_at)
                      : health.RecordPingFailure(completed_at);
    });
  }

  base::EventLoop& loop_;
  RunnerClient& client_;
  RunnerHealthOptions options_;
  OnChange on_change_;
  OnLoad on_load_;
  std::uint64_t watch_count_ = 0;
  std::map<http::Endpoint, WatchedRunner> runners_;
};

RunnerMonitor::RunnerMonitor(base::EventLoop& loop, RunnerClient& client,
                             RunnerHealthOptions options)
    : impl_(std::make_shared<Impl>(loop, client, options)) {}

RunnerMonitor::~RunnerMonitor() { impl_->Close(); }

void RunnerMonitor::SetOnChange(OnChange on_change) {
  impl_->SetOnChange(std::move(on_change));
}

void RunnerMonitor::SetOnLoad(OnLoad on_load) {
  impl_->SetOnLoad(std::move(on_load));
}

void RunnerMonitor::Watch(const http::Endpoint& runner) {
  impl_->Watch(runner);
}

void RunnerMonitor::Unwatch(const http::Endpoint& runner) {
  impl_->Unwatch(runner);
}

void RunnerMonitor::RecordResponse(const http::Endpoint& runner) {
  impl_->UpdateHealth(runner, [now = impl_->now()](RunnerHealth& it) {
    it.RecordResponse(now);
  });
}

void RunnerMonitor::RecordFailure(const http::Endpoint& runner) {
  impl_->UpdateHealth(runner, [now = impl_->now()](RunnerHealth& it) {
    it.RecordFailure(now);
  });
}

std::optional<RunnerState> RunnerMonitor::state(
    const http::Endpoint& runner) const {
  return impl_->state(runner);
}

}  // namespace lapishatch::backends
