#ifndef LAPISHATCH_ROUTING_RUNNER_POOL_H_
#define LAPISHATCH_ROUTING_RUNNER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "backends/backends.h"
#include "routing/directory.h"

namespace lapishatch::routing {

struct RunnerPoolOptions {
  /// Requests of this entry at one runner at once: the runner's 64 connections
  /// over 8 entries and a replacement that overlaps, less one for pings.
  int max_in_flight = 6;
  /// Slots of a runner that has not said how many it has.
  int assumed_slots = 8;
  /// Requests that may wait inside a runner that keeps some waiting, so that a
  /// slot is taken again at once.
  int waiting_allowed = 1;
  /// Failures in a row after which a runner is quarantined: failed answers,
  /// lost answers and sends that did not reach it.
  int failures_to_quarantine = 5;
  base::Duration first_quarantine{1'000};
  base::Duration longest_quarantine{30'000};
  /// Part of the runners that failures may put in quarantine together, or one
  /// when that is less; a fault of the service itself must not empty it.
  double max_quarantined_share = 0.25;
  /// With more of the service's sends failing, no runner is blamed.
  double max_service_failure_rate = 0.5;
  /// A runner whose answers take this many times the median is slow.
  double slow_factor = 3;
  base::Duration slow_for{5'000};
  /// While requests wait, what a runner said of itself is asked again when
  /// older than this; a free slot may be behind it.
  base::Duration stale_when_waiting{100};
  /// Pings, and when a runner counts as unreachable.
  backends::RunnerHealthOptions health;
};

/// Index of a runner in its pool; stays the same while the pool lives.
using RunnerIndex = std::size_t;

/// What this entry knows of the runners of one service, and its choice among
/// them: of two drawn at random, the one with less load by what their last
/// answers reported and what this entry has sent since; runners of the own
/// failure domain first. Choosing costs two looks while slots are free and one
/// per runner when they are not. Not thread-safe; does no I/O.
class RunnerPool {
 public:
  RunnerPool(base::DomainName domain, RunnerPoolOptions options,
             std::uint64_t seed);

  /// Takes over the list of runners.
  void Update(const std::vector<RunnerEntry>& entries, base::TimePoint now);

  /// A runner with room for one more request, none of `avoid`; nothing when
  /// there is none now.
  std::optional<RunnerIndex> Pick(base::TimePoint now,
                                  std::span<const RunnerIndex> avoid);

  /// A request is sent. Each is followed by one of the four after it.
  void OnSent(RunnerIndex runner);
  void OnAnswer(RunnerIndex runner, const backends::RunnerLoad& load,
                bool failed, base::Duration latency, base::TimePoint now);
  void OnRefused(RunnerIndex runner, const backends::RunnerLoad& load,
                 base::TimePoint now);
  void OnNotReached(RunnerIndex runner, base::TimePoint now);
  void OnLost(RunnerIndex runner, base::TimePoint now);

  /// Runners whose load should be asked for now; each is marked as asked.
  std::vector<RunnerIndex> TakePingsDue(base::TimePoint now,
                                        bool requests_wait);
  void OnPing(RunnerIndex runner, const backends::RunnerLoad& load,
              base::TimePoint now);
  /// True when the runner thereby counts as unreachable: what is open on it
  /// need not be waited for.
  bool OnPingFailed(RunnerIndex runner, base::TimePoint now);

  /// Finds the slow runners; call every second or so.
  void Assess(base::TimePoint now);

  const http::Endpoint& endpoint(RunnerIndex runner) const {
    return runners_[runner]->entry.endpoint;
  }
  const base::RunnerName& name(RunnerIndex runner) const {
    return runners_[runner]->entry.name;
  }
  bool IsLeaving(RunnerIndex runner) const;
  bool IsQuarantined(RunnerIndex runner, base::TimePoint now) const;
  bool IsSlow(RunnerIndex runner, base::TimePoint now) const;
  bool IsUnreachable(RunnerIndex runner) const;
  /// Something was lost on it, and neither an answer nor a ping came since.
  bool IsSuspect(RunnerIndex runner) const;

  /// Requests of this entry that are open on all runners.
  int in_flight() const { return in_flight_; }

  /// Mean time of an answer; zero before the first.
  base::Duration mean_latency() const;

  /// Whether any runner is listed that may get work now or later.
  bool HasRunners() const;

 private:
  struct Runner {
    RunnerEntry entry;
    bool listed = true;
    bool said_leaving = false;
    int slots = 0;
    int in_flight = 0;
    /// Load of other entries, at the last report.
    int others = 0;
    /// The runner was seen to refuse rather than keep requests waiting.
    bool refuses_waiting = false;
    base::TimePoint reported_at{};
    backends::RunnerHealth health;
    bool ping_under_way = false;
    int failures = 0;
    base::TimePoint quarantined_until{};
    /// Out of quarantine on trial: one request at a time.
    bool on_trial = false;
    base::Backoff quarantine;
    double mean_latency_ms = 0;
    int answers = 0;
    base::TimePoint slow_until{};
  };

  bool CanTake(const Runner& runner, base::TimePoint now) const;
  double ScoreOf(const Runner& runner, base::TimePoint now) const;
  std::optional<RunnerIndex> PickAmong(const std::vector<RunnerIndex>& group,
                                       base::TimePoint now,
                                       std::span<const RunnerIndex> avoid);
  void NoteLoad(Runner& runner, const backends::RunnerLoad& load,
                base::TimePoint now);
  void NoteEnd(Runner& runner);
  void NoteSuccess(Runner& runner);
  void NoteFailure(Runner& runner, base::TimePoint now);
  void NoteUnanswered(Runner& runner, base::TimePoint now);
  void Quarantine(Runner& runner, base::TimePoint now);
  bool MayQuarantineMore(base::TimePoint now) const;
  void RebuildGroups();

  base::DomainName domain_;
  RunnerPoolOptions options_;
  base::Random random_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::unordered_map<base::RunnerName, RunnerIndex> by_name_;
  /// Listed runners of the own domain, and the others.
  std::vector<RunnerIndex> near_;
  std::vector<RunnerIndex> far_;
  int in_flight_ = 0;
  double mean_latency_ms_ = 0;
  double failure_rate_ = 0;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_RUNNER_POOL_H_
