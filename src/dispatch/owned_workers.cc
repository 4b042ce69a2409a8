#include <algorithm>
#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {

using base::TimePoint;

OwnedService::Worker* OwnedService::FindWorker(const base::WorkerName& name) {
  const auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : &it->second;
}

void OwnedService::PutWorker(const WorkerRegistration& registration) {
  if (registration.service != service_) return;
  auto& worker = workers_[registration.name];
  // Most rows of the feed are heartbeats that change nothing.
  const bool is_unchanged = worker.session && worker.is_registered &&
                            worker.session->registration() == registration;
  if (is_unchanged) return;
  if (worker.session && IsOutdated(worker, registration)) {
    base::Log(base::events::kRegistrationOutdated,
              {{"service", service_.str()}, {"worker", registration.name}});
    return;
  }
  HandleCapacityChange(registration);
  fleet_.Put(registration);
  worker.is_registered = true;
  if (!worker.session) {
    NoteReplacement(registration);
    OpenSession(registration);
    return RecordDeparture(registration);
  }
  const bool is_restart = AreDifferentIncarnations(worker.started_at_ms,
                                                   registration.started_at_ms);
  if (is_restart && !worker.former_registration) {
    worker.former_registration = worker.session->registration();
  }
  worker.session->SetRegistration(registration);
  RecordDeparture(registration);
  ScheduleDecisionRound();
}

/// Notes that a worker has registered for the first time: the one that was
/// registered at its address before has ended.
void OwnedService::NoteReplacement(const WorkerRegistration& registration) {
  auto& latest = latest_at_[registration.endpoint];
  const auto former = std::exchange(latest, registration.name);
  if (former == registration.name) return;
  auto* worker = FindWorker(former);
  if (worker == nullptr || !worker->session) return;
  worker->was_replaced_under_lease =
      !worker->session->IsReachable() && worker->session->IsLeaseHeld();
}

/// Logs a change of capacity. A reduction drops the reservations on the worker:
/// the tasks being stopped for them may no longer free enough room.
void OwnedService::HandleCapacityChange(
    const WorkerRegistration& registration) {
  const auto* fleet_worker = fleet_.Find(registration.name);
  if (fleet_worker == nullptr || !fleet_worker->is_known) return;
  if (fleet_worker->capacity == registration.capacity) return;
  const bool is_reduction =
      !registration.capacity.Covers(fleet_worker->capacity);
  base::Log(base::events::kCapacityChanged,
            {{"service", service_.str()},
             {"worker", registration.name},
             {"cpu_millis", registration.capacity.cpu_millis},
             {"memory_mb", registration.capacity.memory_mb},
             {"accelerators", registration.capacity.accelerators},
             {"tasks", tracker_.MembersOn(registration.name).size()}});
  if (is_reduction) tracker_.DropReservationsOn(registration.name);
}

/// Records when a draining worker may leave: the earliest time that follows
/// from any of its registrations.
void OwnedService::RecordDeparture(const WorkerRegistration& registration) {
  if (!registration.is_draining || !registration.remaining_time) return;
  const auto stays = *registration.remaining_time - registration.max_age;
  const auto departs_at = dependencies_.loop.Now() + stays;
  const auto [it, is_new] =
      departures_.try_emplace(registration.name, departs_at);
  it->second = std::min(it->second, departs_at);
  if (!is_new) return;
  base::Log(base::events::kWorkerLeaving,
            {{"service", service_.str()},
             {"worker", registration.name},
             {"tasks", tracker_.MembersOn(registration.name).size()},
             {"stays_ms", stays.count()}});
}

/// Stops the units that would be lost when a draining worker leaves.
void OwnedService::StopUnitsOnDrainingWorkers() {
  const auto now = dependencies_.loop.Now();
  for (auto* unit :
       FindUnitsToDrain(tracker_, departures_, drain_options_, now)) {
    const auto task = JobTracker::NameOf(*unit, 0);
    base::Log(
        base::events::kUnitDrained,
        {{"request", task.job},
         {"task", TextOf(task)},
         {"run", unit->last_run},
         {"tasks", unit->members.size()},
         {"left_ms", RemainingWork(*unit, unit->members.front(), now).count()},
         {"saved", !unit->checkpoint.empty()}});
    tracker_.Stop(*unit);
  }
}

void OwnedService::OpenSession(const WorkerRegistration& registration) {
  const auto weak = weak_from_this();
  const auto name = registration.name;
  WorkerSession::Events events;
  events.on_report = [weak, name](const WorkerReport& report, TimePoint sent) {
    if (const auto self = weak.lock()) self->OnWorkerReport(name, report, sent);
  };
  events.on_superseded = [weak] {
    if (const auto self = weak.lock()) {
      self->GiveUpOwnership("a worker has seen a higher epoch");
    }
  };
  events.on_other_incarnation = [weak, name] {
    const auto self = weak.lock();
    if (!self) return;
    self->EndAllTasksOn(name, WorkerLossReason::kRestarted);
    self->ResolveByReplacement(name);
    self->ForgetAddress(name);
    self->fleet_.Remove(name);
    self->departures_.erase(name);
    self->dependencies_.loop.Post([weak, name] {
      if (const auto owned = weak.lock()) owned->workers_.erase(name);
    });
  };
  events.on_ends_unusable = [weak, name](std::string_view detail) {
    const auto self = weak.lock();
    auto* worker = self ? self->FindWorker(name) : nullptr;
    if (worker == nullptr) return;
    base::Log(base::events::kEndsUnusable,
              {{"service", self->service_.str()},
               {"worker", name},
               {"last", worker->session->last_received_end()},
               {"detail", detail}});
  };
  events.may_renew = permissions_.may_renew;
  events.max_lease = permissions_.max_lease;
  auto& worker = workers_[name];
  worker.session = std::make_unique<WorkerSession>(
      dependencies_.loop, dependencies_.worker_client, registration, epoch_,
      session_options_, events);
  if (is_loaded_) worker.session->Start();
}

/// A registration may be read after a report of a later incarnation. With a
/// clock that was set back, a later incarnation has a lower start time; it is
/// accepted once the earlier one does not answer any more.
bool OwnedService::IsOutdated(const Worker& worker,
                              const WorkerRegistration& registration) const {
  const auto confirmed = worker.session->confirmed_start();
  return AreDifferentIncarnations(confirmed, registration.started_at_ms) &&
         *registration.started_at_ms < *confirmed &&
         worker.session->IsReachable();
}

const WorkerRegistration& OwnedService::LostRegistration(const Worker& worker) {
  return worker.former_registration ? *worker.former_registration
                                    : worker.session->registration();
}

void OwnedService::RemoveWorker(const base::WorkerName& name) {
  if (auto* worker = FindWorker(name)) worker->is_registered = false;
  UpdateWorkerStates();
}

bool OwnedService::IsInEvacuatedDomain(const Worker& worker) const {
  if (!dependencies_.evacuations) return false;
  return dependencies_.evacuations().domains.contains(
      worker.session->registration().domain);
}

bool OwnedService::HasFreshEvacuations() const {
  if (!dependencies_.evacuations) return true;
  const auto& evacuations = dependencies_.evacuations();
  return evacuations.as_of >= epoch_ &&
         dependencies_.loop.Now() - evacuations.confirmed_at <
             options_.max_evacuations_age;
}

bool OwnedService::HasFreshRegistrations() const {
  if (!dependencies_.registrations_read_at) return true;
  return dependencies_.loop.Now() - dependencies_.registrations_read_at() <
         options_.max_registrations_age;
}

OwnerObstacle OwnedService::Obstacle() const {
  if (!HasFreshEvacuations()) return OwnerObstacle::kEvacuations;
  if (!HasFreshRegistrations()) return OwnerObstacle::kRegistrations;
  return OwnerObstacle::kNone;
}

bool OwnedService::HasWaitingWork() const {
  return std::any_of(
      tracker_.ready().begin(), tracker_.ready().end(), [](const StepRun* run) {
        return std::any_of(run->units.begin(), run->units.end(),
                           [](const Unit& it) {
                             return it.phase == jobs::UnitPhase::kWaiting;
                           });
      });
}

bool OwnedService::IsWithinCapacity(const base::WorkerName& name) {
  const auto* fleet_worker = fleet_.Find(name);
  if (fleet_worker == nullptr) return false;
  auto remaining = fleet_worker->capacity;
  remaining -= fleet_worker->used;
  remaining -= fleet_worker->stray_usage;
  return remaining.Covers({});
}

/// Logs changes of the evacuations and schedules a decision round if the set of
/// evacuated domains has changed.
void OwnedService::HandleEvacuationChanges() {
  if (!dependencies_.evacuations) return;
  if (HasFreshEvacuations() != had_fresh_evacuations_) {
    had_fresh_evacuations_ = !had_fresh_evacuations_;
    base::Log(had_fresh_evacuations_ ? base::events::kEvacuationsKnown
                                     : base::events::kEvacuationsUnknown,
              {{"service", service_.str()},
               {"as_of", dependencies_.evacuations().as_of},
               {"epoch", epoch_}});
  }
  const auto& domains = dependencies_.evacuations().domains;
  if (domains == logged_evacuated_domains_) return;
  logged_evacuated_domains_ = domains;
  std::size_t tasks = 0;
  for (const auto& [name, worker] : workers_) {
    if (IsInEvacuatedDomain(worker)) tasks += tracker_.MembersOn(name).size();
  }
  base::Log(base::events::kServiceEvacuates, {{"service", service_.str()},
                                              {"domains", domains.size()},
                                              {"tasks_there", tasks}});
  ScheduleDecisionRound();
}

/// Detects the failure domains that have stopped answering. An order sent there
/// gets no answer, and a task that it should start is delayed until the
/// worker's lease has expired.
void OwnedService::UpdateSilentDomains() {
  std::vector<PollState> polls;
  polls.reserve(workers_.size());
  for (const auto& [name, worker] : workers_) {
    const auto& session = *worker.session;
    if (!worker.is_registered || !session.has_answered()) continue;
    polls.push_back({session.registration().domain, session.LastAnswerTime(),
                     session.AnswerDueTime()});
  }
  auto silent = FindSilentDomains(polls, {}, dependencies_.loop.Now());
  if (silent == silent_domains_) return;
  for (const auto& it : silent) {
    if (silent_domains_.contains(it)) continue;
    base::Log(base::events::kDomainSilent,
              {{"service", service_.str()}, {"domain", it.str()}});
  }
  for (const auto& it : silent_domains_) {
    if (silent.contains(it)) continue;
    base::Log(base::events::kDomainAnswers,
              {{"service", service_.str()}, {"domain", it.str()}});
  }
  silent_domains_ = std::move(silent);
}

/// Updates, for each worker in the fleet, whether it accepts new tasks, is
/// suspect and has crashed recently. A worker accepts new tasks if it is
/// registered, not draining and not excluded for failing tasks, is in no
/// evacuated or silent domain, has answered recently and has not recently
/// refused a start. `workers_` and the fleet are both ordered by name.
void OwnedService::UpdateWorkerStates() {
  const auto now = dependencies_.loop.Now();
  auto it = workers_.begin();
  for (auto& [name, fleet_worker] : fleet_.workers()) {
    while (it != workers_.end() && it->first < name) ++it;
    if (it == workers_.end()) return;
    if (it->first != name) continue;
    const auto& worker = it->second;
    const auto& session = *worker.session;
    const bool is_reached =
        session.has_answered() && session.IsReachable() &&
        !silent_domains_.contains(session.registration().domain);
    // The registration may still be that of an earlier incarnation.
    const bool is_current = !AreDifferentIncarnations(
        session.confirmed_start(), session.registration().started_at_ms);
    const bool is_available = worker.is_registered && is_current &&
                              !session.registration().is_draining &&
                              !IsInEvacuatedDomain(worker);
    fleet_worker.is_schedulable = is_reached && is_available &&
                                  worker.paused_until <= now &&
                                  !worker_health_.IsQuarantined(name);
    const auto& address = session.registration().endpoint;
    fleet_worker.is_unreliable = crash_history_.IsUnreliable(address, now);
    fleet_worker.is_suspect =
        worker_health_.IsSuspect(name, now) || fleet_worker.is_unreliable;
    fleet_worker.last_crash_at = crash_history_.LastRecentCrash(address, now);
  }
}

void OwnedService::ForgetAddress(const base::WorkerName& name) {
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  const auto it = latest_at_.find(worker->session->registration().endpoint);
  if (it != latest_at_.end() && it->second == name) latest_at_.erase(it);
}

/// Stops units with a task whose progress has stalled, so that they start on
/// other workers. The worker of such a task makes no progress although it
/// answers and its lease is renewed.
void OwnedService::StopStalledUnits() {
  const auto now = dependencies_.loop.Now();
  std::vector<Unit*> stalled_units;
  for (auto* unit : tracker_.active()) {
    const auto& step = *unit->step_run->step;
    if (unit->is_stopping || unit->phase == jobs::UnitPhase::kDone) continue;
    if (step.is_service) continue;
    const auto share = base::Duration(static_cast<std::int64_t>(
        options_.stalled_estimate_share *
        static_cast<double>(step.run_time_estimate.count())));
    const auto stall_limit = std::max(options_.stalled_after, share);
    std::set<base::WorkerName> stalled_workers;
    for (const auto& it : unit->members) {
      const bool is_stalled = it.state == MemberState::kRunning &&
                              !it.may_have_ended &&
                              it.last_progress_at != TimePoint{} &&
                              now - it.last_progress_at > stall_limit;
      if (is_stalled) stalled_workers.insert(it.worker);
    }
    if (stalled_workers.empty()) continue;
    // A whole gang stalls when one of its tasks does, so a stalled gang does
    // not show which worker is at fault. Only workers that are already excluded
    // because of other tasks count.
    if (unit->members.size() == 1) {
      worker_health_.Quarantine(*stalled_workers.begin(), workers_.size(), now);
    }
    std::erase_if(stalled_workers, [this](const auto& it) {
      return !worker_health_.IsQuarantined(it);
    });
    if (stalled_workers.empty()) continue;
    unit->failed_workers = std::move(stalled_workers);
    stalled_units.push_back(unit);
  }
  for (auto* unit : stalled_units) {
    const auto task = JobTracker::NameOf(*unit, 0);
    base::Log(base::events::kTaskStalled,
              {{"request", task.job},
               {"task", TextOf(task)},
               {"run", unit->last_run},
               {"worker", *unit->failed_workers.begin()}});
    tracker_.Stop(*unit);
  }
}

/// Ends the tasks on workers whose leases have certainly expired, and removes
/// such workers if they are no longer registered.
void OwnedService::HandleExpiredLeases() {
  const auto now = dependencies_.loop.Now();
  // A former owner that has stopped granted its leases before the acquisition,
  // so they end within one worker lease after it.
  const auto& session = session_options_;
  const auto max_former_lease =
      std::max(session.lease_duration, former_leases_);
  const auto unanswered_expiry =
      max_former_lease + session.lease_duration / 20 + session.clock_margin;
  std::vector<base::WorkerName> to_remove;
  for (auto& [name, worker] : workers_) {
    const auto& it = *worker.session;
    const bool has_lapsed = it.has_answered()
                                ? it.HasLeaseExpired()
                                : now - acquired_at_ > unanswered_expiry;
    if (!has_lapsed) continue;
    const auto tasks = tracker_.MembersOn(name).size();
    if (tasks > 0) EndAllTasksOn(name, WorkerLossReason::kLeaseExpired);
    worker.tasks_lost_to_silence += tasks;
    if (!worker.is_registered) to_remove.push_back(name);
  }
  for (const auto& it : to_remove) {
    ForgetAddress(it);
    workers_.erase(it);
    departures_.erase(it);
    worker_health_.Remove(it);
    run_times_.speeds().Remove(it);
    fleet_.Remove(it);
  }
  if (now - acquired_at_ <= unanswered_expiry) return;
  // Recorded starts on workers that never registered under this epoch.
  std::map<base::WorkerName, Members> lost;
  for (auto* unit : tracker_.active()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      const auto& it = unit->members[i];
      if (it.state == MemberState::kTerminated ||
          workers_.contains(it.worker)) {
        continue;
      }
      lost[it.worker].emplace_back(unit,
                                   unit->first_index + static_cast<int>(i));
    }
  }
  for (const auto& [name, members] : lost) {
    EndLostMembers(name, members, WorkerLossReason::kUnregistered);
  }
}

void OwnedService::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  planner_.SetGuarantees(std::move(guarantees));
  ScheduleDecisionRound();
}

}  // namespace lapishatch::dispatch::internal
