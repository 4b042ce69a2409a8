#ifndef LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/unit.h"
#include "jobs/jobs.h"

namespace lapishatch::dispatch::internal {

/// Everything that is known of the jobs of a service, and how each changes. It
/// sends and stores nothing: whoever calls it looks at `dirty` for what is to
/// be recorded and at `to_stop` for what is to be stopped.
///
/// This is where a second run of a task is prevented: a unit goes back to
/// waiting only in `Finish`, when every member of its last run is over, and a
/// member is over only by OnEnded, OnRefused or OnLost, each of which says why
/// it can run no more.
class JobTracker {
 public:
  explicit JobTracker(Fleet& fleet) : fleet_(fleet) {}

  /// Adds a job as it was accepted, with what an earlier owner recorded of it.
  /// Members of a recorded start are unconfirmed until their workers are heard.
  /// `age` is the time since its acceptance.
  JobEntry* Add(std::shared_ptr<const jobs::Job> job,
                const jobs::JobProgress* progress, std::uint64_t row_version,
                base::Duration age, base::TimePoint now);

  /// A run was seen with a checkpoint.
  static void OnCheckpoint(Unit& unit, const std::string& checkpoint,
                           base::TimePoint now);

  /// Forgets a job of which nothing may run any more.
  void Remove(const base::JobName& name);

  JobEntry* Find(const base::JobName& name);
  const std::map<base::JobName, std::unique_ptr<JobEntry>>& jobs() const {
    return jobs_;
  }

  /// The unit of a task, or null when no job has such a task.
  Unit* FindUnit(const jobs::TaskName& task);

  /// The member of `unit` that is task `index`.
  static Member& MemberOf(Unit& unit, int index) {
    return unit.members[static_cast<std::size_t>(index - unit.first_index)];
  }
  static const Member& MemberOf(const Unit& unit, int index) {
    return unit.members[static_cast<std::size_t>(index - unit.first_index)];
  }

  static jobs::TaskName NameOf(const Unit& unit, std::size_t member);

  /// Begins the next run of a waiting unit on `workers`. Nothing may be sent
  /// before it is recorded.
  void Plan(Unit& unit, const std::vector<base::WorkerName>& workers,
            base::TimePoint now);

  /// The run of a member is over as the worker says. A run that is not the
  /// present one is nothing.
  void OnEnded(Unit& unit, int index, TaskOutcome kind,
               const std::string& checkpoint, base::TimePoint now);

  /// A run that had been given up as lost turns out to have ended well, on a
  /// worker that was not reached then: what replaced it is stopped.
  void OnEarlierRunDone(Unit& unit, int run, base::TimePoint now);

  /// The member has not begun and never will.
  void OnRefused(Unit& unit, int index, base::TimePoint now);

  /// The member may have begun, and is certain to run no more.
  void OnLost(Unit& unit, int index, base::TimePoint now);

  /// Like OnLost, for a member that its worker neither runs nor lists as ended.
  void OnVanished(Unit& unit, int index, base::TimePoint now);

  /// Records that the worker of a member was lost, and adds `suspicion` to the
  /// task. Call before OnLost. Returns the losses of the task.
  static jobs::TaskLosses RecordLoss(Unit& unit, int index, int suspicion,
                                     base::TimePoint now);

  /// Stops the present run of a unit, to be started again later.
  void Stop(Unit& unit);

  void Cancel(JobEntry& job);

  /// Lets the occurrences begin whose time has come.
  void ActivateDueOccurrences(std::int64_t unix_ms, base::TimePoint now);

  jobs::JobProgress ProgressOf(const JobEntry& job) const;

  /// For each queue, jobs none of whose tasks has begun.
  jobs::WaitingJobCounts CountWaitingJobs() const;

  /// Steps with units that may be started now.
  const std::set<StepRun*>& ready() const { return ready_; }

  /// Units whose present run is to be stopped, until it is over.
  const std::set<Unit*>& to_stop() const { return to_stop_; }

  /// Units with a present run.
  const std::set<Unit*>& active() const { return active_; }

  /// Tasks whose starts are about to be sent, or were sent by this owner and
  /// have no answer yet.
  int CountPendingStarts() const;

  /// Tasks of present runs that are or may be on a worker: the unit, and the
  /// task's index.
  std::vector<std::pair<Unit*, int>> MembersOn(
      const base::WorkerName& worker) const;

  /// Jobs of a part whose progress is not recorded as it is, and until when it
  /// should be; taken by the part's recorder.
  using DirtyJobs = std::map<JobEntry*, base::TimePoint>;
  DirtyJobs& dirty(int part) { return dirty_[static_cast<std::size_t>(part)]; }

  /// Jobs that have not ended.
  const std::set<const JobEntry*>& unfinished() const { return unfinished_; }

  /// Jobs that have ended since the last call.
  std::vector<base::JobName> TakeEnded() { return std::exchange(ended_, {}); }

  /// Gives up the room that a waiting unit was promised.
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
  void Fail(JobEntry& job, JobFailure failure);
  void End(JobEntry& job, jobs::JobState state);
  void RemoveFromIndexes(JobEntry& job);

  Fleet& fleet_;
  std::map<base::JobName, std::unique_ptr<JobEntry>> jobs_;
  std::multimap<std::int64_t, StepRun*> not_due_;
  std::set<StepRun*> ready_;
  std::set<Unit*> to_stop_;
  std::set<Unit*> active_;
  /// What MembersOn tells; each news of a worker asks for it.
  std::unordered_map<base::WorkerName, std::set<std::pair<Unit*, int>>>
      members_on_;
  std::array<DirtyJobs, jobs::kProgressPartitionCount> dirty_;
  std::set<const JobEntry*> unfinished_;
  std::vector<base::JobName> ended_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_JOB_TRACKER_H_
