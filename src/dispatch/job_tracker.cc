#include "dispatch/internal/job_tracker.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/crash_policy.h"

namespace lapishatch::dispatch::internal {
namespace {

/// Sets the critical paths of the steps of an occurrence. Iterates in reverse,
/// since a step depends only on earlier ones.
void SetCriticalPaths(std::deque<StepRun>& runs) {
  for (auto it = runs.rbegin(); it != runs.rend(); ++it) {
    it->critical_path += it->step->run_time_estimate;
    for (const int before : it->step->depends_on) {
      auto& critical_path =
          runs[static_cast<std::size_t>(before)].critical_path;
      critical_path = std::max(critical_path, it->critical_path);
    }
  }
}

/// A job's row holds all its units, and each write of a job with many units
/// costs kilobytes. Changes that no caller waits for are therefore batched. A
/// start that is not urgent waits until it is recorded; an end that is not yet
/// recorded only delays the next poll of its worker.
constexpr base::Duration kStartBatchDelay{40};
constexpr base::Duration kEndBatchDelay{100};

/// Due time of changes that are recorded without delay.
constexpr base::TimePoint kImmediately{};

constexpr CrashPolicyOptions kCrashPolicy;

}  // namespace

using jobs::JobProgress;
using jobs::JobState;
using jobs::UnitPhase;
using jobs::UnitRecord;

JobEntry* JobTracker::Add(std::shared_ptr<const jobs::Job> job,
                          const JobProgress* progress,
                          std::uint64_t row_version, base::Duration age,
                          base::TimePoint now) {
  auto& entry = jobs_[job->name];
  if (entry) return entry.get();
  entry = std::make_unique<JobEntry>();
  entry->job = std::move(job);
  entry->partition = jobs::ProgressPartitionIndex(entry->job->name);
  entry->added_at = now;
  entry->accepted_at = now - age;
  entry->row_version = row_version;
  const bool has_ended = progress != nullptr && IsFinal(progress->state);
  // Tasks of a job that has ended may still be running, so its units are built
  // too.
  BuildRuns(*entry, now);
  if (progress != nullptr) Restore(*entry, *progress, now);
  if (!has_ended) {
    unfinished_.insert(entry.get());
    return entry.get();
  }
  End(*entry, progress->state);
  dirty(entry->partition).erase(entry.get());
  return entry.get();
}

JobEntry* JobTracker::AddInvalid(const base::JobName& name,
                                 std::optional<JobState> final_state,
                                 std::uint64_t row_version,
                                 base::TimePoint now) {
  auto& entry = jobs_[name];
  if (entry) return entry.get();
  entry = std::make_unique<JobEntry>();
  jobs::Job job;
  job.name = name;
  entry->job = std::make_shared<const jobs::Job>(std::move(job));
  entry->partition = jobs::ProgressPartitionIndex(name);
  entry->added_at = now;
  entry->accepted_at = now;
  entry->row_version = row_version;
  entry->state = final_state.value_or(JobState::kQueued);
  entry->is_held = !final_state;
  if (entry->is_held) ++held_jobs_;
  return entry.get();
}

void JobTracker::Reject(JobEntry& job) {
  if (IsFinal(job.state)) return;
  job.failure.reason = JobFailure::kLimits;
  job.failure.task.job = job.job->name;
  End(job, JobState::kFailed);
}

void JobTracker::MarkDirty(JobEntry& job, base::TimePoint due) {
  const auto [it, is_new] = dirty(job.partition).try_emplace(&job, due);
  if (!is_new) it->second = std::min(it->second, due);
}

void JobTracker::BuildRuns(JobEntry& job, base::TimePoint now) {
  const auto& steps = job.job->steps;
  const int occurrences = jobs::OccurrenceCount(*job.job);
  job.runs.resize(static_cast<std::size_t>(occurrences));
  for (int k = 0; k < occurrences; ++k) {
    auto& runs = job.runs[static_cast<std::size_t>(k)];
    for (std::size_t i = 0; i < steps.size(); ++i) {
      auto& run = runs.emplace_back();
      run.job = &job;
      run.occurrence = k;
      run.number = static_cast<int>(i);
      run.step = &steps[i];
      run.pending_dependencies = static_cast<int>(steps[i].depends_on.size());
      run.ready_since = now;
      const int units = steps[i].is_gang ? 1 : steps[i].tasks;
      for (int n = 0; n < units; ++n) {
        auto& unit = run.units.emplace_back();
        unit.step_run = &run;
        unit.first_index = n;
        // Time spent waiting under an earlier owner counts as well.
        unit.waiting_since = job.accepted_at;
      }
      if (job.job->schedule.repeat_count > 0) {
        run.due_ms =
            job.job->schedule.first_due_ms + k * job.job->schedule.interval_ms;
        run.is_due = false;
        not_due_.emplace(run.due_ms, &run);
      }
      UpdateReady(run);
    }
    SetCriticalPaths(runs);
  }
  auto chain = base::Duration(0);
  for (const auto& it : job.runs.front()) {
    chain = std::max(chain, it.critical_path);
  }
  job.latency_objective =
      job.job->target_latency +
      base::Duration(static_cast<std::int64_t>(
          job.job->slack_factor * static_cast<double>(chain.count())));
}

void JobTracker::OnCheckpoint(Unit& unit, const std::string& checkpoint,
                              base::TimePoint now) {
  if (checkpoint.empty() || checkpoint == unit.checkpoint) return;
  unit.checkpoint = checkpoint;
  unit.checkpointed_at = now;
}

void JobTracker::Restore(JobEntry& job, const JobProgress& progress,
                         base::TimePoint now) {
  job.state = IsFinal(progress.state) ? JobState::kRunning : progress.state;
  for (const auto& record : progress.units) {
    auto* unit =
        FindUnit({job.job->name, record.occurrence, record.step, record.index});
    if (unit == nullptr) continue;
    unit->failures = record.failures;
    unit->failed_run = record.last_failed_run;
    unit->last_run = record.last_run;
    unit->checkpoint = record.checkpoint;
    unit->losses = record.losses;
    RestoreSilentWorkers(*unit);
    if (record.phase == UnitPhase::kDone) MarkDone(*unit, now);
    if (record.phase != UnitPhase::kStarted) continue;
    unit->last_run = record.last_run - 1;
    Plan(*unit, record.workers, now);
    for (auto& member : unit->members) member.state = MemberState::kUnconfirmed;
  }
  dirty(job.partition).erase(&job);
}

void JobTracker::Remove(const base::JobName& name) {
  const auto it = jobs_.find(name);
  if (it == jobs_.end()) return;
  RemoveFromIndexes(*it->second);
  if (it->second->is_held) --held_jobs_;
  unfinished_.erase(it->second.get());
  dirty(it->second->partition).erase(it->second.get());
  jobs_.erase(it);
}

JobEntry* JobTracker::Find(const base::JobName& name) {
  const auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Unit* JobTracker::FindUnit(const jobs::TaskName& task) {
  auto* job = Find(task.job);
  if (job == nullptr || task.occurrence < 0 || task.step < 0) return nullptr;
  if (static_cast<std::size_t>(task.occurrence) >= job->runs.size()) {
    return nullptr;
  }
  auto& runs = job->runs[static_cast<std::size_t>(task.occurrence)];
  if (static_cast<std::size_t>(task.step) >= runs.size()) return nullptr;
  auto& run = runs[static_cast<std::size_t>(task.step)];
  if (task.index < 0 || task.index >= run.step->tasks) return nullptr;
  const int unit = run.step->is_gang ? 0 : task.index;
  return &run.units[static_cast<std::size_t>(unit)];
}

jobs::TaskName JobTracker::NameOf(const Unit& unit, std::size_t member) {
  return {unit.step_run->job->job->name, unit.step_run->occurrence,
          unit.step_run->number, unit.first_index + static_cast<int>(member)};
}

void JobTracker::Plan(Unit& unit, const std::vector<base::WorkerName>& workers,
                      base::TimePoint now) {
  DropReservation(unit);
  auto& run = *unit.step_run;
  const auto needs = ResourcesPerTask(*run.step);
  unit.phase = UnitPhase::kStarted;
  ++unit.last_run;
  unit.is_stopping = false;
  unit.started_at = now;
  unit.checkpointed_at = now;
  unit.members.clear();
  for (const auto& it : workers) {
    const auto position = static_cast<int>(unit.members.size());
    auto& member = unit.members.emplace_back();
    member.worker = it;
    member.is_suspect = LossesOf(unit.losses, position).suspicion > 0;
    fleet_.Allocate(it, needs);
    if (member.is_suspect) fleet_.AddSuspectTasks(it, 1);
    ++run.tasks_by_worker[it];
    members_on_[it].emplace(&unit, unit.first_index + position);
  }
  active_.insert(&unit);
  if (run.job->state == JobState::kQueued) run.job->state = JobState::kRunning;
  const bool is_urgent = run.job->job->priority == kUrgentPriority;
  MarkDirty(*run.job, is_urgent ? kImmediately : now + kStartBatchDelay);
  UpdateReady(run);
}

void JobTracker::OnEnded(Unit& unit, int index, TaskOutcome kind,
                         const std::string& checkpoint, base::TimePoint now) {
  auto& member = MemberOf(unit, index);
  if (member.state == MemberState::kTerminated) return;
  OnCheckpoint(unit, checkpoint, now);
  const bool is_service = unit.step_run->step->is_service;
  if (kind == TaskOutcome::kDone && !is_service) MarkDone(unit, now);
  if (kind != TaskOutcome::kDone) {
    CountUnsuccessfulRun(unit.losses, index - unit.first_index);
  }
  const bool counts = unit.failed_run < unit.last_run && !is_service;
  if (kind == TaskOutcome::kFailed && counts) {
    unit.failed_run = unit.last_run;
    unit.failed_workers = {member.worker};
    ++unit.failures;
    MarkDirty(*unit.step_run->job, now + kEndBatchDelay);
  }
  TerminateMember(unit, member, now);
}

void JobTracker::OnEarlierRunDone(Unit& unit, int run, base::TimePoint now) {
  const bool is_over = unit.phase == UnitPhase::kDone ||
                       unit.step_run->step->is_service ||
                       IsFinal(unit.step_run->job->state);
  if (is_over || run > unit.last_run) return;
  DropReservation(unit);
  MarkDone(unit, now);
  Stop(unit);
}

void JobTracker::OnRefused(Unit& unit, int index, base::TimePoint now) {
  OnLost(unit, index, now);
}

void JobTracker::OnVanished(Unit& unit, int index, base::TimePoint now) {
  CountUnsuccessfulRun(unit.losses, index - unit.first_index);
  OnLost(unit, index, now);
}

jobs::TaskLosses JobTracker::RecordLoss(Unit& unit, int index,
                                        const MemberLoss& loss,
                                        base::TimePoint now) {
  const int position = index - unit.first_index;
  const auto& member = MemberOf(unit, index);
  const bool resets_losses =
      unit.step_run->step->is_service &&
      member.first_seen_at != base::TimePoint{} &&
      now - member.first_seen_at >= kCrashPolicy.loss_reset_run_time;
  if (resets_losses && loss.evidence != LossEvidence::kNone) {
    RemoveFromSilentIndex(unit);
    std::erase_if(unit.losses,
                  [position](const auto& it) { return it.member == position; });
    AddToSilentIndex(unit);
    unit.lost_at.clear();
  }
  switch (loss.evidence) {
    case LossEvidence::kNone:
      return LossesOf(unit.losses, position);
    case LossEvidence::kCrash:
      AddCrash(unit.losses, position, loss.suspicion);
      break;
    case LossEvidence::kUnproved:
      AddUnprovedCrash(unit.losses, position);
      break;
    case LossEvidence::kSilent:
      AddSilentWorker(unit.losses, position, loss.worker);
      AddToSilentIndex(unit);
      break;
  }
  if (loss.worker.endpoint != http::Endpoint{}) {
    unit.lost_at.insert(loss.worker.endpoint);
  }
  return LossesOf(unit.losses, position);
}

std::vector<Unit*> JobTracker::UnitsWithSilentWorkersAt(
    const http::Endpoint& endpoint) const {
  const auto it = silent_at_.find(endpoint);
  if (it == silent_at_.end()) return {};
  return {it->second.begin(), it->second.end()};
}

bool JobTracker::ResolveSilentWorkers(Unit& unit,
                                      const SilenceEvidence& evidence,
                                      base::TimePoint now) {
  RemoveFromSilentIndex(unit);
  const bool has_changed =
      internal::ResolveSilentWorkers(unit.losses, evidence);
  AddToSilentIndex(unit);
  if (!has_changed) return false;
  MarkDirty(*unit.step_run->job, now + kEndBatchDelay);
  if (unit.phase == UnitPhase::kWaiting) GiveUpIfLimited(unit);
  return true;
}

/// Indexes the silent workers that an earlier owner recorded, and keeps the
/// unit off their addresses.
void JobTracker::RestoreSilentWorkers(Unit& unit) {
  for (const auto& losses : unit.losses) {
    for (const auto& it : losses.silent) unit.lost_at.insert(it.endpoint);
  }
  AddToSilentIndex(unit);
}

void JobTracker::AddToSilentIndex(Unit& unit) {
  // No decision depends any more on what became of the workers of such units.
  const bool is_over =
      unit.phase == UnitPhase::kDone || IsFinal(unit.step_run->job->state);
  if (is_over) return;
  for (const auto& losses : unit.losses) {
    for (const auto& it : losses.silent) silent_at_[it.endpoint].insert(&unit);
  }
}

void JobTracker::RemoveFromSilentIndex(Unit& unit) {
  for (const auto& losses : unit.losses) {
    for (const auto& worker : losses.silent) {
      const auto it = silent_at_.find(worker.endpoint);
      if (it == silent_at_.end()) continue;
      it->second.erase(&unit);
      if (it->second.empty()) silent_at_.erase(it);
    }
  }
}

void JobTracker::OnLost(Unit& unit, int index, base::TimePoint now) {
  auto& member = MemberOf(unit, index);
  if (member.state == MemberState::kTerminated) return;
  TerminateMember(unit, member, now);
}

int JobTracker::CountPendingStarts() const {
  int out = 0;
  for (const auto* unit : active_) {
    if (unit->is_stopping) continue;
    for (const auto& it : unit->members) {
      const bool is_sent = it.state == MemberState::kUnconfirmed &&
                           it.start_sent_at != base::TimePoint{};
      if (it.state == MemberState::kPlanned || is_sent) ++out;
    }
  }
  return out;
}

std::vector<std::pair<Unit*, int>> JobTracker::MembersOn(
    const base::WorkerName& worker) const {
  const auto it = members_on_.find(worker);
  if (it == members_on_.end()) return {};
  return {it->second.begin(), it->second.end()};
}

void JobTracker::RemoveMemberFromIndex(Unit& unit,
                                       const base::WorkerName& worker,
                                       int index) {
  const auto it = members_on_.find(worker);
  if (it == members_on_.end()) return;
  it->second.erase({&unit, index});
  if (it->second.empty()) members_on_.erase(it);
}

void JobTracker::TerminateMember(Unit& unit, Member& member,
                                 base::TimePoint now) {
  auto& run = *unit.step_run;
  member.state = MemberState::kTerminated;
  const auto index =
      unit.first_index + static_cast<int>(&member - unit.members.data());
  RemoveMemberFromIndex(unit, member.worker, index);
  if (member.is_suspect) fleet_.AddSuspectTasks(member.worker, -1);
  fleet_.Release(member.worker, ResourcesPerTask(*run.step));
  const auto it = run.tasks_by_worker.find(member.worker);
  if (it != run.tasks_by_worker.end() && --it->second == 0) {
    run.tasks_by_worker.erase(it);
  }
  const bool is_last = std::all_of(
      unit.members.begin(), unit.members.end(),
      [](const Member& m) { return m.state == MemberState::kTerminated; });
  if (is_last) return Finish(unit, now);
  // The other tasks of a gang are useless without this one, unless the gang is
  // done.
  if (unit.phase != UnitPhase::kDone) Stop(unit);
}

void JobTracker::Finish(Unit& unit, base::TimePoint now) {
  auto& job = *unit.step_run->job;
  unit.members.clear();
  unit.is_stopping = false;
  active_.erase(&unit);
  to_stop_.erase(&unit);
  if (unit.phase != UnitPhase::kDone) {
    unit.phase = UnitPhase::kWaiting;
    unit.waiting_since = now;
    MarkDirty(job, now + kEndBatchDelay);
    GiveUpIfLimited(unit);
  }
  UpdateReady(*unit.step_run);
}

/// Fails the job if the unit must not be started again.
void JobTracker::GiveUpIfLimited(const Unit& unit) {
  if (unit.failures >= unit.step_run->job->job->max_attempts) {
    Fail(unit, JobFailure::kAttempts);
  } else if (VerdictOn(unit.losses, kCrashPolicy) == RestartVerdict::kGiveUp) {
    Fail(unit, JobFailure::kWorkerLosses);
  }
}

/// Fails the job because `unit` has reached a limit.
void JobTracker::Fail(const Unit& unit, JobFailure reason) {
  auto& job = *unit.step_run->job;
  if (IsFinal(job.state)) return;
  const auto worst = std::max_element(
      unit.losses.begin(), unit.losses.end(), [](const auto& a, const auto& b) {
        return a.PossibleCrashes() < b.PossibleCrashes();
      });
  const auto losses = worst == unit.losses.end() ? jobs::TaskLosses{} : *worst;
  job.failure = {reason, NameOf(unit, static_cast<std::size_t>(losses.member)),
                 unit.failures, losses};
  End(job, JobState::kFailed);
}

void JobTracker::MarkDone(Unit& unit, base::TimePoint now) {
  if (unit.phase == UnitPhase::kDone) return;
  unit.phase = UnitPhase::kDone;
  // The other tasks of a done gang end by themselves.
  to_stop_.erase(&unit);
  RemoveFromSilentIndex(unit);
  unit.is_stopping = false;
  auto& run = *unit.step_run;
  auto& job = *run.job;
  ++run.units_done;
  MarkDirty(job, now + kEndBatchDelay);
  UpdateReady(run);
  if (!run.IsDone()) return;
  Unblock(job, run.occurrence, run.number, now);
  for (const auto& runs : job.runs) {
    for (const auto& it : runs) {
      if (!it.IsDone()) return;
    }
  }
  if (!IsFinal(job.state)) End(job, JobState::kCompleted);
}

void JobTracker::Unblock(JobEntry& job, int occurrence, int done_step,
                         base::TimePoint now) {
  for (auto& it : job.runs[static_cast<std::size_t>(occurrence)]) {
    const auto& after = it.step->depends_on;
    const auto n = std::count(after.begin(), after.end(), done_step);
    if (n == 0) continue;
    it.pending_dependencies -= static_cast<int>(n);
    it.ready_since = now;
    for (auto& unit : it.units) unit.waiting_since = now;
    UpdateReady(it);
  }
}

void JobTracker::UpdateReady(StepRun& run) {
  const bool may_start =
      run.pending_dependencies == 0 && run.is_due && !IsFinal(run.job->state) &&
      !run.job->is_cancel_requested &&
      std::any_of(run.units.begin(), run.units.end(), [](const Unit& it) {
        return it.phase == UnitPhase::kWaiting;
      });
  if (may_start) {
    ready_.insert(&run);
  } else {
    ready_.erase(&run);
  }
}

void JobTracker::ActivateDueOccurrences(std::int64_t unix_ms,
                                        base::TimePoint now) {
  while (!not_due_.empty() && not_due_.begin()->first <= unix_ms) {
    auto& run = *not_due_.begin()->second;
    not_due_.erase(not_due_.begin());
    run.is_due = true;
    run.ready_since = now - base::Duration(unix_ms - run.due_ms);
    for (auto& it : run.units) it.waiting_since = run.ready_since;
    UpdateReady(run);
  }
}

void JobTracker::Stop(Unit& unit) {
  if (unit.members.empty()) return;
  unit.is_stopping = true;
  to_stop_.insert(&unit);
}

void JobTracker::Cancel(JobEntry& job) {
  if (job.is_cancel_requested || IsFinal(job.state)) return;
  job.is_cancel_requested = true;
  End(job, JobState::kCancelled);
}

/// Prevents further starts of the job and stops its running tasks.
void JobTracker::End(JobEntry& job, JobState state) {
  job.state = state;
  if (std::exchange(job.is_held, false)) --held_jobs_;
  unfinished_.erase(&job);
  ended_.push_back(job.job->name);
  // Callers wait for the end of the job.
  MarkDirty(job, kImmediately);
  for (auto& runs : job.runs) {
    for (auto& run : runs) {
      UpdateReady(run);
      for (auto& unit : run.units) {
        DropReservation(unit);
        RemoveFromSilentIndex(unit);
        if (unit.phase != UnitPhase::kDone) Stop(unit);
      }
    }
  }
}

void JobTracker::RemoveFromIndexes(JobEntry& job) {
  for (auto& runs : job.runs) {
    for (auto& run : runs) {
      ready_.erase(&run);
      std::erase_if(not_due_,
                    [&run](const auto& it) { return it.second == &run; });
      for (auto& unit : run.units) {
        DropReservation(unit);
        to_stop_.erase(&unit);
        active_.erase(&unit);
        RemoveFromSilentIndex(unit);
        for (std::size_t i = 0; i < unit.members.size(); ++i) {
          RemoveMemberFromIndex(unit, unit.members[i].worker,
                                unit.first_index + static_cast<int>(i));
        }
      }
    }
  }
}

JobProgress JobTracker::ProgressOf(const JobEntry& job) const {
  JobProgress out;
  out.state = job.state;
  for (const auto& runs : job.runs) {
    for (const auto& run : runs) {
      for (const auto& unit : run.units) {
        const bool is_done = unit.phase == UnitPhase::kDone;
        if (unit.last_run == 0 && !is_done) continue;
        UnitRecord record;
        record.occurrence = run.occurrence;
        record.step = run.number;
        record.index = unit.first_index;
        record.phase = unit.phase;
        // For a unit that is done, only its phase is needed.
        if (!is_done) {
          record.failures = unit.failures;
          record.last_failed_run = unit.failed_run;
          record.last_run = unit.last_run;
          record.checkpoint = unit.checkpoint;
          record.losses = unit.losses;
          for (const auto& it : unit.members) {
            record.workers.push_back(it.worker);
          }
        }
        out.units.push_back(std::move(record));
      }
    }
  }
  return out;
}

jobs::WaitingJobCounts JobTracker::CountWaitingJobs() const {
  jobs::WaitingJobCounts out;
  for (const auto& [name, it] : jobs_) {
    const bool is_waiting = it->state == JobState::kQueued && !it->is_held;
    if (is_waiting) ++out[it->job->queue];
  }
  return out;
}

void JobTracker::DropReservation(Unit& unit) {
  const auto needs = ResourcesPerTask(*unit.step_run->step);
  for (const auto& it : unit.reserved) {
    if (auto* worker = fleet_.Find(it)) worker->reserved -= needs;
  }
  unit.reserved.clear();
}

void JobTracker::DropReservationsOn(const base::WorkerName& worker) {
  for (auto* run : ready_) {
    for (auto& unit : run->units) {
      const auto it =
          std::find(unit.reserved.begin(), unit.reserved.end(), worker);
      if (it != unit.reserved.end()) DropReservation(unit);
    }
  }
}

void JobTracker::SetReservation(Unit& unit,
                                std::vector<base::WorkerName> workers) {
  DropReservation(unit);
  const auto needs = ResourcesPerTask(*unit.step_run->step);
  for (const auto& it : workers) {
    if (auto* worker = fleet_.Find(it)) worker->reserved += needs;
  }
  unit.reserved = std::move(workers);
}

}  // namespace lapishatch::dispatch::internal
