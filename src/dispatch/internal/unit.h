#ifndef LAPISHATCH_DISPATCH_INTERNAL_UNIT_H_
#define LAPISHATCH_DISPATCH_INTERNAL_UNIT_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "jobs/job.h"
#include "jobs/progress.h"

namespace lapishatch::dispatch::internal {

struct JobEntry;
struct StepRun;

/// Urgent jobs of an organisation are protected by its guarantee.
inline constexpr int kUrgentPriority = 0;

/// What is known of one task of a started run.
enum class MemberState : std::uint8_t {
  /// Its start is recorded or about to be; nothing was sent.
  kPlanned,
  /// A start was sent and has no answer yet, or none came: it may run, or begin
  /// to until `expires`.
  kUnconfirmed,
  /// The worker has said that it runs.
  kRunning,
  /// It runs no more and never will.
  kTerminated,
};

/// Why an owner treats a worker and its tasks as lost.
enum class WorkerLossReason : std::uint8_t {
  /// Another life answers at the worker's address.
  kRestarted,
  /// The worker's lease has expired without an answer.
  kLeaseExpired,
  /// A former owner recorded a start on the worker, which never registered with
  /// this owner.
  kUnregistered,
};

/// One task of a unit's present run.
struct Member {
  base::WorkerName worker;
  MemberState state = MemberState::kPlanned;
  /// Of the worker's clock: a start that comes after it is refused.
  WorkerTime start_expires_at = 0;
  /// When the worker last confirmed_at it, or a stop of it.
  base::TimePoint confirmed_at{};
  bool is_stop_confirmed = false;
  /// How far it was when it was last seen to get on, and when that was.
  int percent = 0;
  base::TimePoint last_progress_at{};
  /// The same of when it was seen first; a resumed run begins above 0.
  int first_percent = 0;
  base::TimePoint first_seen_at{};
  /// When this owner sent its last start; the epoch for never.
  base::TimePoint start_sent_at{};
  /// Starts sent without an answer.
  int unanswered_starts = 0;
  bool is_stop_in_flight = false;
  /// Whether the task was suspected of crashing workers when this run was
  /// planned.
  bool is_suspect = false;
};

/// Tasks that start together and are one to whoever counts attempts: a whole
/// gang, or a single task.
struct Unit {
  StepRun* step_run = nullptr;
  int first_index = 0;
  jobs::UnitPhase phase = jobs::UnitPhase::kWaiting;
  int failures = 0;
  /// The last run that counts among the failures.
  int failed_run = 0;
  int last_run = 0;
  std::string checkpoint;
  /// When the present run was last seen with a new checkpoint.
  base::TimePoint checkpointed_at{};
  /// Of the present run, one a task; empty when nothing may run.
  std::vector<Member> members;
  /// The present run is being stopped.
  bool is_stopping = false;
  /// Where its last failed run failed: better places are looked for first.
  std::set<base::WorkerName> failed_workers;
  /// Losses of each task that lost a worker.
  std::vector<jobs::TaskLosses> losses;
  /// Placement that others are being stopped for; empty for none.
  std::vector<base::WorkerName> reserved;
  base::TimePoint waiting_since{};
  base::TimePoint started_at{};
  /// When nothing was found that could be stopped for it.
  base::TimePoint reclaim_failed_at{};

  bool IsActive() const { return !members.empty(); }
};

/// One step of one occurrence.
struct StepRun {
  JobEntry* job = nullptr;
  int occurrence = 0;
  int number = 0;
  const jobs::Step* step = nullptr;
  /// Addresses stay the same: entries are only added.
  std::deque<Unit> units;
  int units_done = 0;
  /// The longest chain of estimates from this step's beginning to the end of
  /// the occurrence.
  base::Duration critical_path{0};
  /// Steps before it that are not done yet.
  int pending_dependencies = 0;
  /// Milliseconds since 1970 before which it may not begin; 0 for at once.
  std::int64_t due_ms = 0;
  bool is_due = true;
  /// Tasks of the step that are or may be on each worker.
  std::map<base::WorkerName, int> tasks_by_worker;
  base::TimePoint ready_since{};
  /// Whether a unit would fit where it wants to be if nothing else ran, and
  /// when that was looked at; see TaskPlanner.
  bool fits_when_empty = false;
  base::TimePoint fit_checked_at{};

  bool IsDone() const { return units_done == static_cast<int>(units.size()); }
  int TasksPerUnit() const { return step->is_gang ? step->tasks : 1; }
};

/// Why a job has failed.
enum class JobFailure : std::uint8_t {
  kNone,
  /// A task has failed as often as the job allows.
  kAttempts,
  /// Too many workers were lost while running a task.
  kWorkerLosses,
};

/// A job that the owner knows.
struct JobEntry {
  std::shared_ptr<const jobs::Job> job;
  /// Index of the part with its rows.
  int partition = 0;
  jobs::JobState state = jobs::JobState::kQueued;
  /// Set only if the job failed under this owner.
  JobFailure failure = JobFailure::kNone;
  /// By occurrence, then step. Empty once the job has ended and nothing of it
  /// may run.
  std::vector<std::deque<StepRun>> runs;
  bool is_cancel_requested = false;
  base::TimePoint added_at{};
  /// When it was accepted, by this process's clock.
  base::TimePoint accepted_at{};
  /// From its acceptance (an occurrence: its time) to its end, so that it is in
  /// time.
  base::Duration latency_objective{0};
  /// Of the progress row; kAbsent before the first.
  std::uint64_t row_version = 0;
};

}  // namespace lapishatch::dispatch::internal

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::internal::WorkerLossReason> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "other-life", "lapsed", "unregistered"};
};
template <>
struct EnumNames<dispatch::internal::JobFailure> {
  static constexpr std::array<std::string_view, 3> kNames = {"none", "attempts",
                                                             "worker-losses"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_INTERNAL_UNIT_H_
