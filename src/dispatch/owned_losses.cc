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

/// A worker that neither answers nor is registered for this long has ended: one
/// that regains its connection to the platform registers again.
constexpr base::Duration kMaxAbsence{30'000};

/// A silent worker that is still registered after this time lives: the platform
/// removes the registrations of workers that it has not heard for seconds.
constexpr base::Duration kMinPresence{6'000};

/// What the end of a worker that had fallen silent says of the task.
LossEvidence EvidenceOfEnd(const jobs::SilentWorker& worker) {
  return worker.ran_task ? LossEvidence::kCrash : LossEvidence::kUnproved;
}

/// Whether the task was running when its worker was lost, or the worker was
/// never heard again after its start had been sent.
bool WasRunning(const Member& member, base::TimePoint last_answer_at) {
  const bool ended_at_start = member.verified_start_at != TimePoint{} &&
                              member.verified_start_at >= last_answer_at;
  return member.has_run || ended_at_start;
}

/// Whether the task may have ended between the worker's last answer and its
/// crash, whose time is unknown unless the worker closed its connection.
bool MayHaveEndedUnseen(const Unit& unit, const Member& member,
                        const EndedIncarnation& worker, base::TimePoint now) {
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

CrashRecord OwnedService::RecordCrash(const base::WorkerName& name,
                                      WorkerLossReason reason) {
  if (reason != WorkerLossReason::kRestarted) return CrashRecord::kNoCrash;
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return CrashRecord::kNoCrash;
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

/// Decides about the workers that fell silent at an address where `name`
/// answers: it has survived, and others have ended.
void OwnedService::ResolveByAnswer(const base::WorkerName& name,
                                   const http::Endpoint& endpoint,
                                   const WorkerStartTime& started_at_ms) {
  const SilenceEvidence evidence = [&](const jobs::SilentWorker& it) {
    if (it.endpoint != endpoint) return std::optional<LossEvidence>();
    const bool has_start_times = it.started_at_ms != 0 && started_at_ms;
    const bool has_survived =
        it.name == name &&
        (!has_start_times || it.started_at_ms == *started_at_ms);
    if (has_survived) return std::optional(LossEvidence::kNone);
    return std::optional(EvidenceOfEnd(it));
  };
  for (auto* unit : tracker_.UnitsWithSilentWorkersAt(endpoint)) {
    ResolveSilentWorkers(*unit, evidence);
  }
}

/// Decides about the losses to `name`, in whose place another incarnation
/// answers.
void OwnedService::ResolveByReplacement(const base::WorkerName& name) {
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  const SilenceEvidence evidence = [&name](const jobs::SilentWorker& it) {
    return it.name == name ? std::optional(EvidenceOfEnd(it))
                           : std::optional<LossEvidence>();
  };
  const auto& endpoint = LostRegistration(*worker).endpoint;
  for (auto* unit : tracker_.UnitsWithSilentWorkersAt(endpoint)) {
    ResolveSilentWorkers(*unit, evidence);
  }
}

/// Decides about silent workers by their registrations, which the platform
/// keeps while a worker reaches it and removes when it is silent.
void OwnedService::ResolveByRegistrations() {
  constexpr base::Duration kInterval{1'000};
  const auto now = dependencies_.loop.Now();
  if (tracker_.silent_at().empty()) return silent_since_.clear();
  if (now - registrations_checked_at_ < kInterval) return;
  registrations_checked_at_ = now;
  std::map<base::WorkerName, SilentWorkerState> states;
  std::set<Unit*, NameOrder> decided;
  for (const auto& [endpoint, units] : tracker_.silent_at()) {
    for (auto* unit : units) {
      for (const auto& losses : unit->losses) {
        for (const auto& it : losses.silent) {
          const auto& state =
              states.try_emplace(it.name, StateOf(it)).first->second;
          if (EvidenceOf(it, state)) decided.insert(unit);
        }
      }
    }
  }
  silent_since_ = std::move(states);
  const SilenceEvidence evidence = [this](const jobs::SilentWorker& it) {
    const auto state = silent_since_.find(it.name);
    return state == silent_since_.end() ? std::optional<LossEvidence>()
                                        : EvidenceOf(it, state->second);
  };
  for (auto* unit : decided) ResolveSilentWorkers(*unit, evidence);
}

/// What the registration of a silent worker says of it, if anything.
std::optional<LossEvidence> OwnedService::EvidenceOf(
    const jobs::SilentWorker& worker, const SilentWorkerState& state) const {
  if (departures_.contains(worker.name)) return LossEvidence::kNone;
  const auto duration = dependencies_.loop.Now() - state.since;
  if (state.is_registered) {
    if (duration < kMinPresence) return std::nullopt;
    return LossEvidence::kNone;
  }
  if (duration < kMaxAbsence) return std::nullopt;
  return EvidenceOfEnd(worker);
}

/// Whether a silent worker is registered now, and since when that has been so
/// while the registrations were read.
OwnedService::SilentWorkerState OwnedService::StateOf(
    const jobs::SilentWorker& silent) {
  const auto* worker = FindWorker(silent.name);
  const bool is_registered =
      worker != nullptr && worker->is_registered &&
      silent.started_at_ms ==
          worker->session->registration().started_at_ms.value_or(0);
  const auto known = silent_since_.find(silent.name);
  const bool is_unchanged = known != silent_since_.end() &&
                            known->second.is_registered == is_registered &&
                            HasFreshRegistrations();
  if (is_unchanged) return known->second;
  return {is_registered, dependencies_.loop.Now()};
}

/// Applies `evidence` to a unit, and logs what it decides.
void OwnedService::ResolveSilentWorkers(Unit& unit,
                                        const SilenceEvidence& evidence) {
  const auto task = JobTracker::NameOf(unit, 0);
  const SilenceEvidence logged = [&](const jobs::SilentWorker& it) {
    const auto out = evidence(it);
    if (!out) return out;
    const auto outcome =
        *out == LossEvidence::kNone ? "survived" : base::NameOf(*out);
    base::Log(base::events::kLossResolved, {{"request", task.job},
                                            {"task", TextOf(task)},
                                            {"worker", it.name},
                                            {"outcome", outcome}});
    if (dependencies_.metrics != nullptr) {
      dependencies_.metrics->Count("lapishatch_losses_resolved_total",
                                   {{"outcome", std::string(outcome)}});
    }
    return out;
  };
  if (tracker_.ResolveSilentWorkers(unit, logged, dependencies_.loop.Now())) {
    ScheduleDecisionRound();
  }
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
  LogWorkerGone(name, members.size(), reason, crash);
  EndLostMembers(name, members, reason);
  ScheduleDecisionRound();
}

}  // namespace lapishatch::dispatch::internal
