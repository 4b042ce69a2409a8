#include <algorithm>
#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {

using base::Duration;
using base::TimePoint;

namespace {

/// Crashes detected within this time of each other may have a common cause.
/// Workers that fail at the same moment are detected one by one, when each is
/// polled.
constexpr base::Duration kCommonCauseWindow{6'000};

/// Whether the task was running when its worker was lost, or the worker was
/// never heard again after its start had been sent.
bool WasRunning(const Member& member, base::TimePoint last_answer_at) {
  if (member.may_have_ended) return false;
  const bool ended_at_start = member.verified_start_at != TimePoint{} &&
                              member.verified_start_at >= last_answer_at;
  return member.has_run || ended_at_start;
}

/// Whether the task may have ended between the worker's last answer and its
/// crash, whose time is unknown unless the worker closed its connection.
bool MayHaveEndedUnseen(const Unit& unit, const Member& member,
                        const EndedIncarnation& worker, base::TimePoint now) {
  if (member.may_have_ended) return true;
  if (worker.has_closed) return false;
  const auto silence = now - worker.last_answer_at;
  return RemainingWork(unit, member, worker.last_answer_at) <= silence;
}

}  // namespace

/// Logs a task that was lost with its worker and updates the metrics.
/// `tasks_of_other_units` is the number of tasks of other units that were lost
/// with the same worker.
void OwnedService::ReportLostTask(const Unit& unit, int index,
                                  std::ptrdiff_t tasks_of_other_units,
                                  WorkerLossReason reason,
                                  LossEvidence evidence,
                                  const jobs::TaskLosses& losses) {
  const auto& member = JobTracker::MemberOf(unit, index);
  const auto task = JobTracker::NameOf(
      unit, static_cast<std::size_t>(index - unit.first_index));
  const auto run_time = member.confirmed_at == TimePoint{}
                            ? base::Duration(0)
                            : dependencies_.loop.Now() - member.confirmed_at;
  base::Log(base::events::kTaskLost, {{"request", task.job},
                                      {"task", TextOf(task)},
                                      {"run", unit.last_run},
                                      {"worker", member.worker},
                                      {"reason", base::NameOf(reason)},
                                      {"evidence", base::NameOf(evidence)},
                                      {"ran_ms", run_time.count()},
                                      {"others", tasks_of_other_units},
                                      {"failures", unit.failures},
                                      {"losses", losses.PossibleCrashes()},
                                      {"crashes", losses.crashes},
                                      {"suspicion", losses.suspicion}});
  if (dependencies_.metrics == nullptr) return;
  dependencies_.metrics->Count("lapishatch_tasks_lost_total",
                               {{"reason", std::string(base::NameOf(reason))}});
}

/// Whether a suspect task is known to be running on the worker.
bool OwnedService::RunsSuspect(const base::WorkerName& name) const {
  const auto members = tracker_.MembersOn(name);
  return std::any_of(members.begin(), members.end(), [](const auto& it) {
    const auto& [unit, index] = it;
    const auto& member = JobTracker::MemberOf(*unit, index);
    return member.is_suspect && member.state == MemberState::kRunning;
  });
}

std::vector<jobs::TaskName> OwnedService::TasksOn(
    const base::WorkerName& name) const {
  std::vector<jobs::TaskName> out;
  for (const auto& [unit, index] : tracker_.MembersOn(name)) {
    out.push_back(JobTracker::NameOf(
        *unit, static_cast<std::size_t>(index - unit->first_index)));
  }
  return out;
}

DownWorkers OwnedService::FindDownWorkers() const {
  const auto now = dependencies_.loop.Now();
  DownWorkers out;
  for (const auto& [name, it] : recent_crashes_) {
    if (now - it.at < kCommonCauseWindow) out.workers.push_back(it.worker);
  }
  for (const auto& [name, worker] : workers_) {
    const auto& session = *worker.session;
    const auto& registration = session.registration();
    ++out.fleet_size;
    const auto fleet_worker = fleet_.workers().find(name);
    const bool has_suspects = fleet_worker != fleet_.workers().end() &&
                              fleet_worker->second.suspect_tasks > 0;
    if (!has_suspects) ++out.without_suspects;
    const bool is_down = worker.is_registered && !registration.is_draining &&
                         session.has_answered() && !session.IsReachable();
    if (!is_down || recent_crashes_.contains(name)) continue;
    if (!RunsSuspect(name)) {
      out.workers.push_back({registration.rack, TasksOn(name)});
    }
  }
  return out;
}

bool OwnedService::WasInUse(const base::WorkerName& name) const {
  const auto it = workers_.find(name);
  const bool has_answered =
      it != workers_.end() && it->second.session->has_answered();
  return has_answered || !tracker_.MembersOn(name).empty();
}

CrashRecord OwnedService::RecordCrash(const base::WorkerName& name,
                                      WorkerLossReason reason) {
  if (reason != WorkerLossReason::kRestarted) return CrashRecord::kNoCrash;
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return CrashRecord::kNoCrash;
  if (!WasInUse(name)) return CrashRecord::kNoCrash;
  if (departures_.contains(name)) return CrashRecord::kAnnounced;
  if (RunsSuspect(name)) return CrashRecord::kSuspect;
  const auto now = dependencies_.loop.Now();
  std::erase_if(recent_crashes_, [now](const auto& it) {
    return now - it.second.at >= kCommonCauseWindow;
  });
  const auto& registration = LostRegistration(*worker);
  const bool has_common_cause =
      HasCommonCause(FindDownWorkers(), registration.rack, {}, {});
  recent_crashes_[name] = {{registration.rack, TasksOn(name)}, now};
  crash_history_.Add(registration.endpoint, has_common_cause, now);
  return CrashRecord::kRecorded;
}

/// Returns what the loss of the worker says of a task on it.
LossEvidence OwnedService::EvidenceOf(const base::WorkerName& name,
                                      const Member& member,
                                      WorkerLossReason reason) {
  const bool was_sent = member.state != MemberState::kPlanned;
  if (!was_sent || departures_.contains(name)) return LossEvidence::kNone;
  const auto* worker = FindWorker(name);
  const bool is_of_former_owner = reason == WorkerLossReason::kUnregistered ||
                                  reason == WorkerLossReason::kMayHaveRestarted;
  if (worker == nullptr || is_of_former_owner) {
    return LossEvidence::kUnproved;
  }
  if (worker->was_replaced_under_lease) {
    return WasRunning(member, worker->session->LastAnswerTime())
               ? LossEvidence::kCrash
               : LossEvidence::kUnproved;
  }
  if (reason != WorkerLossReason::kRestarted) return LossEvidence::kSilent;
  const auto& ended = worker->session->ended_incarnation();
  const bool is_proved =
      ended.was_lease_held && WasRunning(member, ended.last_answer_at);
  return is_proved ? LossEvidence::kCrash : LossEvidence::kUnproved;
}

/// Reports and ends `members`, which were all on the lost worker. Losses are
/// not counted if the worker had announced its departure.
void OwnedService::EndLostMembers(const base::WorkerName& name,
                                  const Members& members,
                                  WorkerLossReason reason) {
  const auto* worker = FindWorker(name);
  jobs::SilentWorker lost{name, {}, 0, false};
  base::RackName rack;
  if (worker != nullptr) {
    const auto& registration = LostRegistration(*worker);
    rack = registration.rack;
    lost.endpoint = registration.endpoint;
    lost.started_at_ms =
        worker->started_at_ms.value_or(registration.started_at_ms.value_or(0));
  }
  const auto ended = worker == nullptr ? EndedIncarnation{}
                                       : worker->session->ended_incarnation();
  const auto down = members.empty() ? DownWorkers{} : FindDownWorkers();
  const auto now = dependencies_.loop.Now();
  for (const auto& [unit, index] : members) {
    const auto& member = JobTracker::MemberOf(*unit, index);
    const auto tasks_of_other_units = std::count_if(
        members.begin(), members.end(), [unit_of_task = unit](const auto& it) {
          return it.first != unit_of_task;
        });
    const auto task = JobTracker::NameOf(
        *unit, static_cast<std::size_t>(index - unit->first_index));
    const bool has_common_cause = HasCommonCause(down, rack, task, {});
    const bool is_explained = !member.has_run || has_common_cause ||
                              MayHaveEndedUnseen(*unit, member, ended, now);
    const auto evidence = EvidenceOf(name, member, reason);
    lost.ran_task = !has_common_cause && worker != nullptr &&
                    WasRunning(member, worker->session->LastAnswerTime());
    const MemberLoss loss{
        evidence, SuspicionOf(reason, is_explained, tasks_of_other_units == 0),
        lost};
    const auto losses = tracker_.RecordLoss(*unit, index, loss, now);
    ReportLostTask(*unit, index, tasks_of_other_units, reason, evidence,
                   losses);
  }
  for (const auto& [unit, index] : members) tracker_.OnLost(*unit, index, now);
}

/// Logs the loss of a worker: when it last answered, how the next poll failed,
/// when it could leave if it had announced that, and what its crash says of its
/// address.
void OwnedService::LogWorkerGone(const base::WorkerName& name,
                                 std::size_t tasks, WorkerLossReason reason,
                                 CrashRecord crash) {
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  const auto now = dependencies_.loop.Now();
  const auto& session = *worker->session;
  const auto silent_for =
      session.has_answered() ? now - session.LastAnswerTime() : Duration(0);
  const auto departure = departures_.find(name);
  const bool is_leaving = departure != departures_.end();
  const auto departed_for = is_leaving ? now - departure->second : Duration(0);
  base::Log(base::events::kWorkerGone,
            {{"service", service_.str()},
             {"worker", name},
             {"address", http::TextOf(LostRegistration(*worker).endpoint)},
             {"tasks", tasks},
             {"reason", base::NameOf(reason)},
             {"crash", base::NameOf(crash)},
             {"silent_ms", silent_for.count()},
             {"failure", session.first_failure()},
             {"leaving", is_leaving},
             {"departed_ms", departed_for.count()}});
}

void OwnedService::EndAllTasksOn(const base::WorkerName& name,
                                 WorkerLossReason reason) {
  const auto members = tracker_.MembersOn(name);
  const auto crash = RecordCrash(name, reason);
  // Another writer may register an unused worker again and again.
  if (WasInUse(name) || unused_worker_log_.Open(dependencies_.loop.Now())) {
    LogWorkerGone(name, members.size(), reason, crash);
  }
  EndLostMembers(name, members, reason);
  ScheduleDecisionRound();
}

}  // namespace lapishatch::dispatch::internal
