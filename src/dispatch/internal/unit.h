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
#include <tuple>
#include <utility>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/stop_order.h"
#include "dispatch/worker_client.h"
#include "estimation/pace_meter.h"
#include "jobs/job.h"
#include "jobs/progress.h"

namespace lapishatch::dispatch::internal {

struct JobEntry;
struct StepRun;

/// Priority of urgent jobs, which the guarantee of their organisation protects.
inline constexpr int kUrgentPriority = 0;

/// State of one task of a started run.
enum class MemberState : std::uint8_t {
  /// Its start is recorded or about to be recorded; no start request has been
  /// sent.
  kPlanned,
  /// A start request was sent and is unanswered: the task may be running, or
  /// may begin to run until `start_expires_at`.
  kUnconfirmed,
  /// The worker has confirmed that it runs.
  kRunning,
  /// It has ended or never started, and cannot run any more.
  kTerminated,
};

/// Why an owner treats a worker and its tasks as lost.
enum class WorkerLossReason : std::uint8_t {
  /// A new incarnation of the worker answers at its address.
  kRestarted,
  /// The worker's lease has expired without an answer.
  kLeaseExpired,
  /// A former owner recorded a start on the worker, which never registered with
  /// this owner.
  kUnregistered,
  /// A former owner recorded a start on the worker, which has started again
  /// since the job was accepted and does not list the task.
  kMayHaveRestarted,
};

/// What a unit that should start waits for.
enum class StartObstacle : std::uint8_t {
  /// The owner may not start tasks now.
  kPermission,
  /// Too many starts are in flight.
  kStartLimit,
  /// No suitable workers are free or can be freed.
  kPlan,
  /// Its reserved workers are not free yet.
  kPreemption,
};

/// One task of a unit's current run.
struct Member {
  base::WorkerName worker;
  MemberState state = MemberState::kPlanned;
  /// Time on the worker's clock after which it refuses the start request.
  WorkerTime start_expires_at = 0;
  /// When the worker last confirmed that the task runs or is stopped.
  base::TimePoint confirmed_at{};
  bool is_stop_confirmed = false;
  /// Progress at its last increase, and the time of that increase.
  int percent = 0;
  base::TimePoint last_progress_at{};
  /// Progress when it was first reported, and that time. A resumed run begins
  /// above 0.
  int first_percent = 0;
  base::TimePoint first_seen_at{};
  estimation::PaceMeter pace{};
  /// Whether a pace of this run was observed.
  bool is_pace_observed = false;
  /// When this owner last sent a start request; the epoch if never.
  base::TimePoint start_sent_at{};
  /// Whether the worker has confirmed that the task runs there.
  bool has_run = false;
  /// When the first start request was sent if the worker had answered
  /// immediately before; otherwise the epoch.
  base::TimePoint verified_start_at{};
  /// Number of start requests without an answer.
  int unanswered_starts = 0;
  StopOrder stop_order{};
  /// The worker has started again since the start request was sent: the task is
  /// lost unless the present incarnation lists it.
  bool is_lost_unless_listed = false;
  /// The last report does not list the task as running, and may lack its end.
  bool may_have_ended = false;
  /// Whether the task was suspected of crashing workers when this run was
  /// planned.
  bool is_suspect = false;
};

/// A gang or a single task: the tasks that start together and share an attempt
/// count.
struct Unit {
  StepRun* step_run = nullptr;
  int first_index = 0;
  jobs::UnitPhase phase = jobs::UnitPhase::kWaiting;
  int failures = 0;
  /// Number of the last run that was counted in `failures`.
  int failed_run = 0;
  int last_run = 0;
  std::string checkpoint;
  /// When the current run last reported a new checkpoint.
  base::TimePoint checkpointed_at{};
  /// The tasks of the current run; empty if none may be running.
  std::vector<Member> members;
  /// Whether the current run is being stopped.
  bool is_stopping = false;
  /// Workers where its last failed run failed; others are preferred.
  std::set<base::WorkerName> failed_workers;
  /// Loss counts of the tasks that lost a worker.
  std::vector<jobs::TaskLosses> losses;
  /// Addresses of the workers that were lost under this owner.
  std::set<http::Endpoint> lost_at;
  /// Workers reserved for this unit while other tasks are being stopped there;
  /// empty for none.
  std::vector<base::WorkerName> reserved;
  /// When they were reserved.
  base::TimePoint reserved_at{};
  base::TimePoint waiting_since{};
  base::TimePoint started_at{};
  /// Run time that was expected when the current run was planned; zero if that
  /// was by another owner.
  base::Duration expected_run_time{0};
  /// When its resources were last reserved for another unit; earlier than
  /// `started_at` if that was in an earlier run.
  base::TimePoint preempted_at{};
  /// When the last search for units to preempt found nothing.
  base::TimePoint reclaim_failed_at{};
  /// Whether it was logged that its first start is delayed.
  bool is_delay_logged = false;
  /// Whether it was logged that its restart is deferred.
  bool is_deferral_logged = false;

  bool IsActive() const { return !members.empty(); }
};

/// One step of one occurrence of a job.
struct StepRun {
  JobEntry* job = nullptr;
  int occurrence = 0;
  int number = 0;
  const jobs::Step* step = nullptr;
  /// Elements are only appended, so their addresses stay valid.
  std::deque<Unit> units;
  int units_done = 0;
  /// Longest sum of run time estimates from the start of this step to the end
  /// of the occurrence.
  base::Duration critical_path{0};
  /// Number of dependencies that are not done yet.
  int pending_dependencies = 0;
  /// Milliseconds since 1970 before which it may not begin; 0 for no such
  /// time.
  std::int64_t due_ms = 0;
  bool is_due = true;
  /// Number of tasks of the step that run or may run on each worker.
  std::map<base::WorkerName, int> tasks_by_worker;
  base::TimePoint ready_since{};
  /// Whether a unit would fit on its preferred rack if nothing else ran, and
  /// when that was determined; see TaskPlanner.
  bool fits_when_empty = false;
  base::TimePoint fit_checked_at{};

  bool IsDone() const { return units_done == static_cast<int>(units.size()); }
  int TasksPerUnit() const { return step->is_gang ? step->tasks : 1; }
};

/// Why a job failed.
enum class JobFailure : std::uint8_t {
  kNone,
  /// A task failed as often as the job allows.
  kAttempts,
  /// Too many workers were lost while they ran a task of the job.
  kWorkerLosses,
  /// The job exceeds a limit, and an earlier version accepted it.
  kLimits,
};

/// Why a job failed, for logs: the task that reached a limit, and its counts.
struct FailureDetail {
  JobFailure reason = JobFailure::kNone;
  jobs::TaskName task;
  int failures = 0;
  jobs::TaskLosses losses;
};

/// A job of the service and its state.
struct JobEntry {
  std::shared_ptr<const jobs::Job> job;
  /// Index of the partition that holds its progress row.
  int partition = 0;
  jobs::JobState state = jobs::JobState::kQueued;
  /// Set only if the job failed under this owner.
  FailureDetail failure;
  /// Indexed by occurrence, then step. Empty once the job has ended and none of
  /// its tasks may be running.
  std::vector<std::deque<StepRun>> runs;
  bool is_cancel_requested = false;
  /// It cannot be run, and has not ended; see JobTracker::AddInvalid.
  bool is_held = false;
  base::TimePoint added_at{};
  /// When the job was accepted, on the clock of this process.
  base::TimePoint accepted_at{};
  /// Longest time from its acceptance, or from the due time of an occurrence,
  /// to its end that still counts as in time.
  base::Duration latency_objective{0};
  /// Version of the progress row; kAbsent before the first write.
  std::uint64_t row_version = 0;
};

/// Orders jobs, steps and units by name, so that decisions which visit them in
/// turn do not depend on their addresses.
struct NameOrder {
  bool operator()(const JobEntry* a, const JobEntry* b) const {
    return a->job->name < b->job->name;
  }
  bool operator()(const StepRun* a, const StepRun* b) const {
    if (a->job != b->job) return (*this)(a->job, b->job);
    return std::tie(a->occurrence, a->number) <
           std::tie(b->occurrence, b->number);
  }
  bool operator()(const Unit* a, const Unit* b) const {
    if (a->step_run != b->step_run) return (*this)(a->step_run, b->step_run);
    return a->first_index < b->first_index;
  }
  /// Tasks of a unit, by their index.
  bool operator()(const std::pair<Unit*, int>& a,
                  const std::pair<Unit*, int>& b) const {
    if (a.first != b.first) return (*this)(a.first, b.first);
    return a.second < b.second;
  }
};

}  // namespace lapishatch::dispatch::internal

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::internal::WorkerLossReason> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "other-life", "lapsed", "unregistered", "maybe-other-life"};
};
template <>
struct EnumNames<dispatch::internal::StartObstacle> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "permission", "start-limit", "plan", "preemption"};
};
template <>
struct EnumNames<dispatch::internal::JobFailure> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "none", "attempts", "worker-losses", "limits"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_INTERNAL_UNIT_H_
