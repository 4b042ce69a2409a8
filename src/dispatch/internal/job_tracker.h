#ifndef LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/crash_policy.h"
#include "dispatch/internal/unit.h"
#include "jobs/jobs.h"

namespace lapishatch::dispatch::internal {

/// The loss of a member's worker, as the owner judges it.
struct MemberLoss {
  LossEvidence evidence = LossEvidence::kNone;
  /// Suspicion that a crash adds to the task.
  int suspicion = 0;
  /// The worker; without an endpoint if it is unknown.
  jobs::SilentWorker worker;
};

/// Tracks the jobs of a service and their state transitions. It sends and
/// stores nothing: callers read `dirty` for progress to record and `to_stop`
/// for units to stop.
///
/// This class prevents two runs of a task at the same time: a unit returns to
/// waiting only in `Finish`, when every member of its last run is terminated.
/// Only OnEnded, OnRefused and OnLost terminate a member, and each documents
/// why the member can no longer run.
class JobTracker {
 public:
  explicit JobTracker(Fleet& fleet) : fleet_(fleet) {}

  /// Adds an accepted job with the progress that an earlier owner recorded.
  /// Members of a recorded start are unconfirmed until their workers report.
  /// `age` is the time since its acceptance.
  JobEntry* Add(std::shared_ptr<const jobs::Job> job,
                const jobs::JobProgress* progress, std::uint64_t row_version,
                base::Duration age, base::TimePoint now);

  /// Adds a job that cannot be run, without units. It is held: nothing of it
  /// starts, and it counts as waiting in no queue, until it is cancelled or
  /// rejected. `final_state` is its state if it has ended.
  JobEntry* AddInvalid(const base::JobName& name,
                       std::optional<jobs::JobState> final_state,
                       std::uint64_t row_version, base::TimePoint now);

  /// Fails a job that was added with AddInvalid.
  void Reject(JobEntry& job);

  /// Number of jobs that are held.
  int held_jobs() const { return held_jobs_; }

  /// Handles a checkpoint reported by the current run.
  static void OnCheckpoint(Unit& unit, const std::string& checkpoint,
                           base::TimePoint now);

  /// Removes a job none of whose tasks may be running.
  void Remove(const base::JobName& name);

  JobEntry* Find(const base::JobName& name);
  const std::map<base::JobName, std::unique_ptr<JobEntry>>& jobs() const {
    return jobs_;
  }

  /// Returns the unit of a task, or null if no job has such a task.
  Unit* FindUnit(const jobs::TaskName& task);

  /// Returns the member of `unit` that is task `index`.
  static Member& MemberOf(Unit& unit, int index) {
    return unit.members[static_cast<std::size_t>(index - unit.first_index)];
  }
  static const Member& MemberOf(const Unit& unit, int index) {
    return unit.members[static_cast<std::size_t>(index - unit.first_index)];
  }

  static jobs::TaskName NameOf(const Unit& unit, std::size_t member);

  /// Begins the next run of a waiting unit on `workers`. No start request may
  /// be sent before the run is recorded.
  void Plan(Unit& unit, const std::vector<base::WorkerName>& workers,
            base::TimePoint now);

  /// Handles a worker's report that a member ended. Must only be called for the
  /// current run.
  void OnEnded(Unit& unit, int index, TaskOutcome kind,
               const std::string& checkpoint, base::TimePoint now);

  /// Handles the success of an earlier run that was given up as lost because
  /// its worker was unreachable. Marks the unit done and stops the run that
  /// replaced it.
  void OnEarlierRunDone(Unit& unit, int run, base::TimePoint now);

  /// Handles a refused start: the member has not begun and never will.
  void OnRefused(Unit& unit, int index, base::TimePoint now);

  /// Handles a loss: the member may have begun, and certainly no longer runs.
  void OnLost(Unit& unit, int index, base::TimePoint now);

  /// Like OnLost, for a member that its worker neither runs nor lists as ended.
  void OnVanished(Unit& unit, int index, base::TimePoint now);

  /// Records that the worker of a member was lost. Call before OnLost. Returns
  /// the losses of the task.
  jobs::TaskLosses RecordLoss(Unit& unit, int index, const MemberLoss& loss,
                              base::TimePoint now);

  /// Units with tasks under which a worker at `endpoint` fell silent.
  std::vector<Unit*> UnitsWithSilentWorkersAt(
      const http::Endpoint& endpoint) const;

  /// Units with silent workers, by the addresses of these.
  const std::map<http::Endpoint, std::set<Unit*, NameOrder>>& silent_at()
      const {
    return silent_at_;
  }

  /// Decides about the silent workers of a unit; see ResolveSilentWorkers.
  /// Fails the job if the unit waits and must not be started again. Returns
  /// whether anything was decided.
  bool ResolveSilentWorkers(Unit& unit, const SilenceEvidence& evidence,
                            base::TimePoint now);

  /// Stops the current run of a unit, which is started again later.
  void Stop(Unit& unit);

  void Cancel(JobEntry& job);

  /// Makes the occurrences ready whose due time has come.
  void ActivateDueOccurrences(std::int64_t unix_ms, base::TimePoint now);

  jobs::JobProgress ProgressOf(const JobEntry& job) const;

  /// Returns the number of jobs in each queue none of whose tasks has started.
  jobs::WaitingJobCounts CountWaitingJobs() const;

  /// Steps with units that may be started now.
  const std::set<StepRun*, NameOrder>& ready() const { return ready_; }

  /// Units whose current run must be stopped, until it has ended.
  const std::set<Unit*, NameOrder>& to_stop() const { return to_stop_; }

  /// Units with a current run.
  const std::set<Unit*, NameOrder>& active() const { return active_; }

  /// Returns the number of tasks whose start requests are about to be sent, or
  /// were sent by this owner and are unanswered.
  int CountPendingStarts() const;

  /// Returns the tasks of current runs that run or may run on a worker, as
  /// pairs of unit and task index.
  std::vector<std::pair<Unit*, int>> MembersOn(
      const base::WorkerName& worker) const;

  /// Jobs of a partition whose progress has changed since it was recorded, and
  /// the time by which to record it. The partition's recorder empties it.
  using DirtyJobs = std::map<JobEntry*, base::TimePoint, NameOrder>;
  DirtyJobs& dirty(int partition_index) {
    return dirty_[static_cast<std::size_t>(partition_index)];
  }

  /// Jobs that have not ended.
  const std::set<const JobEntry*, NameOrder>& unfinished() const {
    return unfinished_;
  }

  /// Returns the jobs that have ended since the last call.
  std::vector<base::JobName> TakeEnded() { return std::exchange(ended_, {}); }

  /// Releases the resources that are reserved for a waiting unit.
  void DropReservation(Unit& unit);
  /// Drops the reservations of all waiting units that include `worker`.
  void DropReservationsOn(const base::WorkerName& worker);
  void SetReservation(Unit& unit, std::vector<base::WorkerName> workers);

 private:
  void MarkDirty(JobEntry& job, base::TimePoint due);
  void BuildRuns(JobEntry& job, base::TimePoint now);
  void Restore(JobEntry& job, const jobs::JobProgress& progress,
               base::TimePoint now);
  void Unblock(JobEntry& job, int occurrence, int done_step,
               base::TimePoint now);
  void UpdateReady(StepRun& run);
  void RemoveMemberFromIndex(Unit& unit, const base::WorkerName& worker,
                             int index);
  void TerminateMember(Unit& unit, Member& member, base::TimePoint now);
  void Finish(Unit& unit, base::TimePoint now);
  void MarkDone(Unit& unit, base::TimePoint now);
  void GiveUpIfLimited(const Unit& unit);
  void Fail(const Unit& unit, JobFailure reason);
  void End(JobEntry& job, jobs::JobState state);
  void RemoveFromIndexes(JobEntry& job);
  void RestoreSilentWorkers(Unit& unit);
  void AddToSilentIndex(Unit& unit);
  void RemoveFromSilentIndex(Unit& unit);

  Fleet& fleet_;
  std::map<base::JobName, std::unique_ptr<JobEntry>> jobs_;
  std::multimap<std::int64_t, StepRun*> not_due_;
  std::set<StepRun*, NameOrder> ready_;
  std::set<Unit*, NameOrder> to_stop_;
  std::set<Unit*, NameOrder> active_;
  /// Index for MembersOn, which every worker report uses.
  std::unordered_map<base::WorkerName,
                     std::set<std::pair<Unit*, int>, NameOrder>>
      members_on_;
  std::map<http::Endpoint, std::set<Unit*, NameOrder>> silent_at_;
  std::array<DirtyJobs, jobs::kProgressPartitionCount> dirty_;
  std::set<const JobEntry*, NameOrder> unfinished_;
  std::vector<base::JobName> ended_;
  int held_jobs_ = 0;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_
