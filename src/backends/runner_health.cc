#include "backends/runner_health.h"

namespace lapishatch::backends {

RunnerHealth::RunnerHealth(RunnerHealthOptions options, base::TimePoint now)
    : options_(options),
      random_(options.seed),
      backoff_(options.retry_first, options.retry_limit),
      next_ping_(now) {}

void RunnerHealth::RecordResponse(base::TimePoint now) {
  state_ = RunnerState::kHealthy;
  ping_in_progress_ = false;
  failed_pings_ = 0;
  backoff_.Reset();
  next_ping_ = now + options_.ping_interval;
}

void RunnerHealth::RecordFailure(base::TimePoint now) {
  if (state_ != RunnerState::kHealthy) return;
  state_ = RunnerState::kSuspect;
  next_ping_ = now;
}

void RunnerHealth::RecordPingSent() { ping_in_progress_ = true; }

void RunnerHealth::RecordPingFailure(base::TimePoint now) {
  // A response received while the ping was in progress has made the runner
  // healthy.
  if (!ping_in_progress_) return;
  ping_in_progress_ = false;
  ++failed_pings_;
  next_ping_ = now;
  if (failed_pings_ < options_.unreachable_after_failed_pings) {
    state_ = RunnerState::kSuspect;
    return;
  }
  state_ = RunnerState::kUnreachable;
  next_ping_ = now + backoff_.Next(random_);
}

bool RunnerHealth::IsPingDue(base::TimePoint now) const {
  return !ping_in_progress_ && next_ping_ <= now;
}

}  // namespace lapishatch::backends
