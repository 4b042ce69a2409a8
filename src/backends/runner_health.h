#ifndef LAPISHATCH_BACKENDS_RUNNER_HEALTH_H_
#define LAPISHATCH_BACKENDS_RUNNER_HEALTH_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace lapishatch::backends {

/// What is thought of one runner.
enum class RunnerState : std::uint8_t {
  kHealthy,
  /// A connection to it went silent or a ping failed: other runners are better
  /// until the next ping tells.
  kSuspect,
  /// Several fresh connections in a row failed: gets nothing until a ping is
  /// answered.
  kUnreachable,
};

struct RunnerHealthOptions {
  /// A runner that answers requests is not pinged; one that has said nothing
  /// for so long is.
  base::Duration ping_interval{1'000};
  base::Duration ping_timeout{300};
  /// Pings in a row that must fail before the runner counts as unreachable.
  int unreachable_after_failed_pings = 2;
  /// Pause after the first failed ping of a condemned runner; doubles with
  /// jitter up to the limit.
  base::Duration retry_first{200};
  base::Duration retry_limit{5'000};
  std::uint64_t seed = 1;
};

/// The health of one runner, seen from one process. Pure: events and the time
/// in. A connection that goes silent condemns only itself: it makes the runner
/// suspect and a ping due at once, and one answered ping, on whichever
/// connection works, clears the runner.
class RunnerHealth {
 public:
  RunnerHealth(RunnerHealthOptions options, base::TimePoint now);

  /// A whole answer, a refusal or a ping's answer came.
  void RecordResponse(base::TimePoint now);

  /// A request got no answer in time, or its connection broke.
  void RecordFailure(base::TimePoint now);

  void RecordPingSent();
  void RecordPingFailure(base::TimePoint now);

  /// When the next ping is due; nothing is due while one is under way.
  bool IsPingDue(base::TimePoint now) const;
  base::TimePoint next_ping() const { return next_ping_; }

  RunnerState state() const { return state_; }

 private:
  RunnerHealthOptions options_;
  base::Random random_;
  base::Backoff backoff_;
  RunnerState state_ = RunnerState::kHealthy;
  base::TimePoint next_ping_;
  bool ping_under_way_ = false;
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
