#include <algorithm>
#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {

using base::TimePoint;

namespace {

/// Whether the worker runs the present run of a task of `unit`.
bool IsListedAsRunning(const WorkerReport& report, const Unit& unit,
                       int index) {
  const auto task = JobTracker::NameOf(
      unit, static_cast<std::size_t>(index - unit.first_index));
  return std::any_of(report.running.begin(), report.running.end(),
                     [&task, run = unit.last_run](const RunningTask& it) {
                       return it.task == task && it.run == run;
                     });
}

}  // namespace

/// Logs that a worker answers whose tasks were ended because it was silent.
void OwnedService::LogSurvival(const base::WorkerName& name, Worker& worker) {
  const auto tasks = std::exchange(worker.tasks_lost_to_silence, 0);
  if (tasks == 0) return;
  base::Log(base::events::kWorkerSurvived,
            {{"service", service_.str()}, {"worker", name}, {"tasks", tasks}});
  if (dependencies_.metrics == nullptr) return;
  dependencies_.metrics->Count("lapishatch_workers_survived_total",
                               {{"service", service_.str()}});
}

void OwnedService::OnWorkerReport(const base::WorkerName& name,
                                  const WorkerReport& report, TimePoint sent) {
  auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  if (AreDifferentIncarnations(worker->started_at_ms, report.started_at_ms)) {
    HandleRestart(name, report);
  }
  if (report.started_at_ms) worker->started_at_ms = report.started_at_ms;
  LogSurvival(name, *worker);
  worker->was_replaced_under_lease = false;
  ResolveByAnswer(name, worker->session->registration().endpoint,
                  report.started_at_ms);
  jobs::Resources strays;
  for (const auto& it : report.running) {
    auto* unit = FindUnitOfRun(it.task, it.run);
    if (unit != nullptr) {
      OnTaskRunning(name, it, report.worker_time, sent);
      continue;
    }
    if (auto* stray_unit = tracker_.FindUnit(it.task)) {
      strays += ResourcesPerTask(*stray_unit->step_run->step);
    }
    // The worker lists it again in its next report.
    SendStop(it.task, it.run, name, nullptr);
  }
  if (auto* fleet_worker = fleet_.Find(name)) {
    fleet_worker->stray_usage = strays;
  }
  for (const auto& it : report.ended) OnTaskEnded(name, it);
  if (report.may_have_more_ends) {
    MarkUnlistedMembers(name, report);
  } else {
    EndUnreportedTasks(name, report, sent);
  }
  const auto last_end = worker->session->last_received_end();
  if (!report.ended.empty()) {
    for (const auto& it : report.ended) worker->unrecorded.insert(it.task.job);
    WhenRecorded(worker->unrecorded, [weak = weak_from_this(), name, last_end,
                                      start = worker->started_at_ms] {
      const auto self = weak.lock();
      auto* it = self ? self->FindWorker(name) : nullptr;
      if (it == nullptr) return;
      // Each incarnation numbers its ends anew.
      if (AreDifferentIncarnations(start, it->started_at_ms)) return;
      if (it->session->last_received_end() == last_end) it->unrecorded.clear();
      it->session->OnEndsRecorded(last_end);
    });
  }
  SendVerifiedStarts(name);
  ScheduleDecisionRound();
}

Unit* OwnedService::FindUnitOfRun(const jobs::TaskName& task, int run) {
  auto* unit = tracker_.FindUnit(task);
  if (unit == nullptr || unit->members.empty() || unit->last_run != run) {
    return nullptr;
  }
  const auto& member = JobTracker::MemberOf(*unit, task.index);
  return member.state == MemberState::kTerminated ? nullptr : unit;
}

void OwnedService::OnTaskRunning(const base::WorkerName& name,
                                 const RunningTask& task,
                                 WorkerTime worker_time, TimePoint sent) {
  auto* unit = FindUnitOfRun(task.task, task.run);
  auto& member = JobTracker::MemberOf(*unit, task.task.index);
  if (member.worker != name) return;
  member.is_lost_unless_listed = false;
  JobTracker::OnCheckpoint(*unit, task.checkpoint, sent);
  ObserveProgress(*unit, member, task.percent, worker_time);
  const bool has_progress =
      task.percent != member.percent || member.state != MemberState::kRunning;
  if (has_progress) {
    member.percent = task.percent;
    member.last_progress_at = dependencies_.loop.Now();
  }
  if (member.first_seen_at == TimePoint{}) {
    member.first_percent = task.percent;
    member.first_seen_at = dependencies_.loop.Now();
  }
  member.has_run = true;
  if (member.state == MemberState::kRunning) return;
  member.state = MemberState::kRunning;
  member.confirmed_at = sent;
}

void OwnedService::OnTaskEnded(const base::WorkerName& name,
                               const EndedTask& end) {
  auto* unit = FindUnitOfRun(end.task, end.run);
  const bool is_current_run =
      unit != nullptr &&
      JobTracker::MemberOf(*unit, end.task.index).worker == name;
  if (!is_current_run) {
    auto* known_unit = tracker_.FindUnit(end.task);
    if (known_unit == nullptr || end.outcome != TaskOutcome::kDone) return;
    tracker_.OnEarlierRunDone(*known_unit, end.run, dependencies_.loop.Now());
    return;
  }
  if (end.outcome != TaskOutcome::kDone) {
    base::Log(base::events::kTaskEnded, {{"request", end.task.job},
                                         {"task", TextOf(end.task)},
                                         {"run", end.run},
                                         {"worker", name},
                                         {"how", base::NameOf(end.outcome)}});
  }
  if (dependencies_.metrics != nullptr) {
    dependencies_.metrics->Count(
        "lapishatch_task_ends_total",
        {{"how", std::string(base::NameOf(end.outcome))}});
  }
  if (end.outcome == TaskOutcome::kDone) LogRunTime(*unit);
  const auto now = dependencies_.loop.Now();
  if (worker_health_.OnEnded(name, end.task.job, end.outcome, workers_.size(),
                             now)) {
    base::Log(base::events::kWorkerPutOut,
              {{"service", service_.str()}, {"worker", name}});
  }
  tracker_.OnEnded(*unit, end.task.index, end.outcome, end.checkpoint, now);
}

void OwnedService::MarkUnlistedMembers(const base::WorkerName& name,
                                       const WorkerReport& report) {
  std::size_t missing = 0;
  for (const auto& [unit, index] : tracker_.MembersOn(name)) {
    auto& member = JobTracker::MemberOf(*unit, index);
    if (member.state == MemberState::kPlanned) continue;
    member.may_have_ended = !IsListedAsRunning(report, *unit, index);
    if (member.may_have_ended) ++missing;
  }
  LogCutEnds(name, report, missing);
}

void OwnedService::LogCutEnds(const base::WorkerName& name,
                              const WorkerReport& report, std::size_t missing) {
  constexpr base::Duration kMinLogInterval{1'000};
  auto& worker = *FindWorker(name);
  const auto now = dependencies_.loop.Now();
  const bool was_logged = worker.cut_ends_logged_at != TimePoint{};
  if (was_logged && now - worker.cut_ends_logged_at < kMinLogInterval) return;
  worker.cut_ends_logged_at = now;
  base::Log(base::events::kEndsCut,
            {{"service", service_.str()},
             {"worker", name},
             {"listed", report.ended.size()},
             {"last", worker.session->last_received_end()},
             {"running", report.running.size()},
             {"missing", missing}});
}

/// Whether a former owner may have started the task on an earlier incarnation
/// of the worker: the present one started after the job was accepted.
bool OwnedService::MayHaveEndedBefore(const Unit& unit, const Member& member,
                                      const WorkerReport& report) {
  constexpr std::int64_t kMaxClockErrorMs = 5'000;
  const bool was_started_by_former_owner =
      member.start_sent_at == TimePoint{} && !member.has_run;
  return was_started_by_former_owner && report.started_at_ms &&
         *report.started_at_ms + kMaxClockErrorMs >
             unit.step_run->job->job->accepted_ms;
}

/// Marks as over the members that the worker reports neither as running nor as
/// ended, once no order that was sent can still start them.
///
/// Invariant: only here is anything concluded from what a report does not list,
/// and only if the report lists all ends. Until then such a member keeps its
/// resources, and its worker's lease is renewed.
void OwnedService::EndUnreportedTasks(const base::WorkerName& name,
                                      const WorkerReport& report,
                                      TimePoint sent) {
  Members lost;
  Members maybe_lost;
  for (const auto& it : tracker_.MembersOn(name)) {
    auto* unit = it.first;
    const int index = it.second;
    auto& member = JobTracker::MemberOf(*unit, index);
    const jobs::TaskName task{unit->step_run->job->job->name,
                              unit->step_run->occurrence,
                              unit->step_run->number, index};
    if (member.state == MemberState::kPlanned) continue;
    member.may_have_ended = false;
    if (IsListedAsRunning(report, *unit, index)) continue;
    const bool was_confirmed =
        member.confirmed_at != TimePoint{} && member.confirmed_at < sent &&
        (member.state == MemberState::kRunning || member.is_stop_confirmed);
    // The expiry of a start by a former owner is not known here and is 0. The
    // worker refuses such a start since it has seen this owner's epoch.
    const bool is_start_expired = member.state == MemberState::kUnconfirmed &&
                                  report.worker_time > member.start_expires_at;
    if (!was_confirmed && !is_start_expired) continue;
    if (member.is_lost_unless_listed) {
      lost.push_back(it);
      continue;
    }
    if (MayHaveEndedBefore(*unit, member, report)) {
      maybe_lost.push_back(it);
      continue;
    }
    base::Log(base::events::kTaskVanished, {{"request", task.job},
                                            {"task", TextOf(task)},
                                            {"run", unit->last_run},
                                            {"worker", name}});
    tracker_.OnVanished(*unit, index, dependencies_.loop.Now());
  }
  if (!lost.empty()) {
    EndLostMembers(name, lost, WorkerLossReason::kRestarted);
  }
  if (!maybe_lost.empty()) {
    EndLostMembers(name, maybe_lost, WorkerLossReason::kMayHaveRestarted);
  }
}

/// Everything that ran in the earlier incarnation is over. Tasks that the
/// present one lists go on there. An order that had no answer may still be
/// carried out there, since the present incarnation knows neither its epoch nor
/// its time: such tasks are decided by later reports.
void OwnedService::HandleRestart(const base::WorkerName& name,
                                 const WorkerReport& report) {
  const auto is_listed = [&report](const jobs::TaskName& task, int run) {
    const auto is_same = [&](const auto& it) {
      return it.task == task && it.run == run;
    };
    return std::any_of(report.running.begin(), report.running.end(), is_same) ||
           std::any_of(report.ended.begin(), report.ended.end(), is_same);
  };
  Members lost;
  for (const auto& it : tracker_.MembersOn(name)) {
    auto& member = JobTracker::MemberOf(*it.first, it.second);
    const auto task = JobTracker::NameOf(
        *it.first, static_cast<std::size_t>(it.second - it.first->first_index));
    if (member.state == MemberState::kPlanned) continue;
    if (is_listed(task, it.first->last_run)) continue;
    // With an unanswered copy of its order, the task may begin once more.
    const bool is_over =
        member.state == MemberState::kRunning && member.unanswered_starts == 0;
    if (is_over) {
      lost.push_back(it);
      continue;
    }
    member.state = MemberState::kUnconfirmed;
    member.is_stop_confirmed = false;
    member.start_expires_at =
        report.worker_time + options_.bounds.max_lease.count();
    member.is_lost_unless_listed = true;
    ++member.unanswered_starts;
  }
  base::Log(base::events::kWorkerIncarnationChanged,
            {{"service", service_.str()},
             {"worker", name},
             {"tasks", lost.size()},
             {"started_at_ms", *report.started_at_ms}});
  const auto crash = RecordCrash(name, WorkerLossReason::kRestarted);
  LogWorkerGone(name, lost.size(), WorkerLossReason::kRestarted, crash);
  EndLostMembers(name, lost, WorkerLossReason::kRestarted);
  tracker_.DropReservationsOn(name);
  departures_.erase(name);
  worker_health_.Remove(name);
  run_times_.speeds().Remove(name);
  UpdateSpeed(name);
  auto& worker = *FindWorker(name);
  worker.former_registration.reset();
  worker.tasks_lost_to_silence = 0;
  worker.unrecorded.clear();
  worker.paused_until = {};
}

}  // namespace lapishatch::dispatch::internal
