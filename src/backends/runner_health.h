#ifndef LAPISHATCH_BACKENDS_RUNNER_HEALTH_H_
#define LAPISHATCH_BACKENDS_RUNNER_HEALTH_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace lapishatch::backends {

/// Assumed state of one runner.
enum class RunnerState : std::uint8_t {
  kHealthy,
  /// A connection to it timed out or a ping failed: other runners are preferred
  /// until the result of the next ping.
  kSuspect,
  /// Several new connections in a row failed: it receives no requests until it
  /// responds to a ping.
  kUnreachable,
};

struct RunnerHealthOptions {
  /// A runner is pinged when it has sent no response for this long.
  base::Duration ping_interval{1'000};
  base::Duration ping_timeout{300};
  /// Number of consecutive failed pings after which the runner is unreachable.
  int unreachable_after_failed_pings = 2;
  /// Delay after the first failed ping of an unreachable runner; doubles with
  /// jitter up to the limit.
  base::Duration retry_first{200};
  base::Duration retry_limit{5'000};
  std::uint64_t seed = 1;
};

/// Health of one runner, as observed by one process. It performs no I/O; calls
/// pass events and the time. A connection that times out does not make the
/// runner unreachable: it makes it suspect and a ping due at once, and one
/// successful ping, on any connection, makes the runner healthy again.
class RunnerHealth {
 public:
  RunnerHealth(RunnerHealthOptions options, base::TimePoint now);

  /// Records a complete response, a refusal or a ping response.
  void RecordResponse(base::TimePoint now);

  /// Records a request that got no response in time or lost its connection.
  void RecordFailure(base::TimePoint now);

  void RecordPingSent();
  void RecordPingFailure(base::TimePoint now);

  /// Whether a ping is due; none is due while one is in progress.
  bool IsPingDue(base::TimePoint now) const;
  base::TimePoint next_ping() const { return next_ping_; }

  RunnerState state() const { return state_; }

 private:
  RunnerHealthOptions options_;
  base::Random random_;
  base::Backoff backoff_;
  RunnerState state_ = RunnerState::kHealthy;
  base::TimePoint next_ping_;
  bool ping_in_progress_ = false;
  int failed_pings_ = 0;
};

}  // namespace lapishatch::backends

namespace lapishatch::base {
template <>
struct EnumNames<backends::RunnerState> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "working", "suspect", "unreachable"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_BACKENDS_RUNNER_HEALTH_H_
