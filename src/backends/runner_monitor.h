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

/// Tracks the health of a set of runners: pings idle and suspect runners and
/// reports every change of state. It needs a client with its own connection
/// pool, so that a ping never waits behind requests. All functions must be
/// called on `loop`, which also runs the callbacks.
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

  /// Set the callbacks for changes of a runner's state and for each load that a
  /// ping returns.
  void SetOnChange(OnChange on_change);
  void SetOnLoad(OnLoad on_load);

  /// Starts watching a runner, which is healthy until a failure is recorded.
  void Watch(const http::Endpoint& runner);
  void Unwatch(const http::Endpoint& runner);

  /// Record the outcome of a request; ignored for runners that are not watched.
  void RecordResponse(const http::Endpoint& runner);
  void RecordFailure(const http::Endpoint& runner);

  /// Empty for a runner that is not watched.
  std::optional<RunnerState> state(const http::Endpoint& runner) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_MONITOR_H_
