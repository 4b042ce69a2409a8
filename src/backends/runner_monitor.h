#ifndef LAPISHATCH_BACKENDS_RUNNER_MONITOR_H_
#define LAPISHATCH_BACKENDS_RUNNER_MONITOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "backends/runner_client.h"
#include "backends/runner_health.h"
#include "base/base.h"

namespace lapishatch::backends {

/// Keeps the health of a set of runners: pings the quiet and the suspect ones
/// and tells of every change. Give it a client of its own, with a pool apart
/// from that of the requests, so that a ping never waits behind them. All
/// functions are called on `loop`, which calls back too.
class RunnerMonitor {
 public:
  using OnChange = std::function<void(const http::Endpoint&, RunnerState)>;
  using OnLoad = std::function<void(const http::Endpoint&, const RunnerLoad&)>;

  /// `loop` and `client` must outlive it.
  RunnerMonitor(base::EventLoop& loop, RunnerClient& client,
                RunnerHealthOptions options);
  ~RunnerMonitor();
  RunnerMonitor(const RunnerMonitor&) = delete;
  RunnerMonitor& operator=(const RunnerMonitor&) = delete;

  /// What to call when a runner's state changes, and with each load that a
  /// ping brings.
  void SetOnChange(OnChange on_change);
  void SetOnLoad(OnLoad on_load);

  /// Begins to watch a runner, thought to work until told otherwise.
  void Watch(const http::Endpoint& runner);
  void Unwatch(const http::Endpoint& runner);

  /// What the requests found; runners not watched are passed over.
  void RecordResponse(const http::Endpoint& runner);
  void RecordFailure(const http::Endpoint& runner);

  /// Nothing for a runner that is not watched.
  std::optional<RunnerState> state(const http::Endpoint& runner) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_MONITOR_H_
