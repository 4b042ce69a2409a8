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

void OwnedService::PutWorker(const WorkerRegistration& entry) {
  if (entry.service != service_) return;
  auto& worker = workers_[entry.name];
  // Most of what the feed tells are heartbeats that change nothing.
  const bool is_known = worker.session && worker.is_listed &&
                        worker.session->registration() == entry;
  if (is_known) return;
  NoteCapacity(entry);
  fleet_.Put(entry);
  worker.is_listed = true;
  if (!worker.session) {
    OpenSession(entry);
    return NoteDeparture(entry);
  }
  worker.session->SetRegistration(entry);
  NoteDeparture(entry);
  Pump();
}

/// Logs a change of capacity. A reduction drops the reservations on the worker:
/// the tasks being stopped for them may no longer free enough room.
void OwnedService::NoteCapacity(const WorkerRegistration& entry) {
  const auto* place = fleet_.Find(entry.name);
  if (place == nullptr || !place->is_known) return;
  if (place->capacity == entry.capacity) return;
  const bool has_shrunk = !entry.capacity.Covers(place->capacity);
  base::Log(base::events::kCapacityChanged,
            {{"service", service_.str()},
             {"worker", entry.name},
             {"cpu_millis", entry.capacity.cpu_millis},
             {"memory_mb", entry.capacity.memory_mb},
             {"accelerators", entry.capacity.accelerators},
             {"tasks", book_.MembersOn(entry.name).size()}});
  if (has_shrunk) book_.DropReservationsOn(entry.name);
}

/// A worker that leaves says how long it stays at least. Its entry may be as
/// old as the feed's spacing, so the earliest time that was told counts.
void OwnedService::NoteDeparture(const WorkerRegistration& entry) {
  if (!entry.is_draining || !entry.remaining_time) return;
  const auto at = ports_.loop.Now() + *entry.remaining_time;
  const auto [it, is_new] = departures_.try_emplace(entry.name, at);
  it->second = std::min(it->second, at);
  if (!is_new) return;
  base::Log(base::events::kWorkerLeaving,
            {{"service", service_.str()},
             {"worker", entry.name},
             {"tasks", book_.MembersOn(entry.name).size()},
             {"stays_ms", entry.remaining_time->count()}});
}

/// Stops what would be lost with a worker that leaves.
void OwnedService::DrainWorkers() {
  const auto now = ports_.loop.Now();
  for (auto* unit : FindDrained(book_, departures_, {}, now)) {
    const auto task = JobBook::NameOf(*unit, 0);
    base::Log(base::events::kUnitDrained,
              {{"request", task.job},
               {"task", TextOf(task)},
               {"run", unit->last_run},
               {"tasks", unit->members.size()},
               {"left_ms", WorkLeft(*unit, unit->members.front(), now).count()},
               {"saved", !unit->checkpoint.empty()}});
    book_.Stop(*unit);
  }
}

void OwnedService::OpenSession(const WorkerRegistration& entry) {
  const auto weak = weak_from_this();
  const auto name = entry.name;
  WorkerSession::Events events;
  events.on_report = [weak, name](const WorkerReport& news, TimePoint sent) {
    if (const auto self = weak.lock()) self->OnNews(name, news, sent);
  };
  events.on_superseded = [weak] {
    if (const auto self = weak.lock()) {
      self->Lose("a worker has seen a higher epoch");
    }
  };
  events.on_other_incarnation = [weak, name] {
    const auto self = weak.lock();
    if (!self) return;
    self->EndAllOn(name, WorkerLossReason::kOtherLife);
    self->fleet_.Remove(name);
    self->departures_.erase(name);
    self->ports_.loop.Post([weak, name] {
      if (const auto held = weak.lock()) held->workers_.erase(name);
    });
  };
  events.may_renew = rights_.may_renew;
  events.max_lease = rights_.longest_lease;
  auto& worker = workers_[name];
  worker.session =
      std::make_unique<WorkerSession>(ports_.loop, ports_.worker_client, entry,
                                      epoch_, session_options_, events);
  if (is_loaded_) worker.session->Start();
}

void OwnedService::RemoveWorker(const base::WorkerName& name) {
  if (auto* worker = FindWorker(name)) worker->is_listed = false;
  UpdateOpen();
}

bool OwnedService::IsEvacuated(const Worker& worker) const {
  if (!ports_.evacuations) return false;
  return ports_.evacuations().domains.contains(
      worker.session->registration().domain);
}

bool OwnedService::KnowsEvacuations() const {
  if (!ports_.evacuations) return true;
  const auto& known = ports_.evacuations();
  return known.as_of >= epoch_ &&
         ports_.loop.Now() - known.confirmed_at < options_.max_evacuations_age;
}

bool OwnedService::HasFreshRegistrations() const {
  if (!ports_.registrations_read_at) return true;
  return ports_.loop.Now() - ports_.registrations_read_at() <
         options_.max_registrations_age;
}

bool OwnedService::IsWithinCapacity(const base::WorkerName& name) {
  const auto* place = fleet_.Find(name);
  if (place == nullptr) return false;
  auto room = place->capacity;
  room -= place->used;
  room -= place->strays;
  return room.Covers({});
}

/// Logs what has changed of the evacuations, and has it decided upon.
void OwnedService::NoteEvacuations() {
  if (!ports_.evacuations) return;
  if (KnowsEvacuations() != knows_evacuations_) {
    knows_evacuations_ = !knows_evacuations_;
    base::Log(knows_evacuations_ ? base::events::kEvacuationsKnown
                                 : base::events::kEvacuationsUnknown,
              {{"service", service_.str()},
               {"as_of", ports_.evacuations().as_of},
               {"epoch", epoch_}});
  }
  const auto& present = ports_.evacuations().domains;
  if (present == evacuated_) return;
  evacuated_ = present;
  std::size_t tasks = 0;
  for (const auto& [name, worker] : workers_) {
    if (IsEvacuated(worker)) tasks += book_.MembersOn(name).size();
  }
  base::Log(base::events::kServiceEvacuates, {{"service", service_.str()},
                                              {"domains", present.size()},
                                              {"tasks_there", tasks}});
  Pump();
}

/// Notes which failure domains are cut off: an order that is sent there has no
/// answer, and what it should start waits for the worker's lease to run out.
void OwnedService::FindSilent() {
  std::vector<PollState> polls;
  polls.reserve(workers_.size());
  for (const auto& [name, worker] : workers_) {
    const auto& session = *worker.session;
    if (!worker.is_listed || !session.has_answered()) continue;
    polls.push_back({session.registration().domain, session.LastAnswerTime(),
                     session.AnswerDueTime()});
  }
  auto silent = FindSilentDomains(polls, {}, ports_.loop.Now());
  if (silent == silent_) return;
  for (const auto& it : silent) {
    if (silent_.contains(it)) continue;
    base::Log(base::events::kDomainSilent,
              {{"service", service_.str()}, {"domain", it.str()}});
  }
  for (const auto& it : silent_) {
    if (silent.contains(it)) continue;
    base::Log(base::events::kDomainAnswers,
              {{"service", service_.str()}, {"domain", it.str()}});
  }
  silent_ = std::move(silent);
}

/// Whether each worker may get new tasks: it is registered, does not leave, is
/// in no evacuated or silent domain, has answered lately and refused nothing.
/// Both maps are in the order of names.
void OwnedService::UpdateOpen() {
  const auto now = ports_.loop.Now();
  auto it = workers_.begin();
  for (auto& [name, place] : fleet_.workers()) {
    while (it != workers_.end() && it->first < name) ++it;
    if (it == workers_.end()) return;
    if (it->first != name) continue;
    const auto& worker = it->second;
    const auto& session = *worker.session;
    const bool is_reached = session.has_answered() && session.IsReachable() &&
                            !silent_.contains(session.registration().domain);
    const bool is_wanted = worker.is_listed &&
                           !session.registration().is_draining &&
                           !IsEvacuated(worker);
    place.is_open = is_reached && is_wanted && worker.closed_until <= now &&
                    !health_.IsOut(name);
    const auto& address = session.registration().endpoint;
    place.is_suspect =
        health_.IsSuspect(name, now) || crashes_.IsUnreliable(address, now);
    place.has_recent_crash = crashes_.HasRecentCrash(address, now);
  }
}

void OwnedService::OnNews(const base::WorkerName& name,
                          const WorkerReport& news, TimePoint sent) {
  auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  jobs::Resources strays;
  for (const auto& it : news.running) {
    auto* unit = FindRun(it.task, it.run);
    if (unit != nullptr) {
      OnRunning(name, it, sent);
      continue;
    }
    if (auto* former = book_.FindUnit(it.task)) {
      strays += CountedNeeds(*former->step->step);
    }
    SendStop(it.task, it.run, name);
  }
  if (auto* place = fleet_.Find(name)) place->strays = strays;
  for (const auto& it : news.ended) OnEnded(name, it);
  ResolveUnlisted(name, news, sent);
  const auto told = worker->session->last_received_end();
  if (!news.ended.empty()) {
    for (const auto& it : news.ended) worker->unrecorded.insert(it.task.job);
    WhenRecorded(worker->unrecorded, [weak = weak_from_this(), name, told] {
      const auto self = weak.lock();
      auto* it = self ? self->FindWorker(name) : nullptr;
      if (it == nullptr) return;
      if (it->session->last_received_end() == told) it->unrecorded.clear();
      it->session->OnEndsRecorded(told);
    });
  }
  Pump();
}

Unit* OwnedService::FindRun(const jobs::TaskName& task, int run) {
  auto* unit = book_.FindUnit(task);
  if (unit == nullptr || unit->members.empty() || unit->last_run != run) {
    return nullptr;
  }
  const auto& member = JobBook::MemberOf(*unit, task.index);
  return member.state == MemberState::kOver ? nullptr : unit;
}

void OwnedService::OnRunning(const base::WorkerName& name,
                             const RunningTask& task, TimePoint sent) {
  auto* unit = FindRun(task.task, task.run);
  auto& member = JobBook::MemberOf(*unit, task.task.index);
  if (member.worker != name) return;
  JobBook::OnCheckpoint(*unit, task.checkpoint, sent);
  const bool has_progress =
      task.percent != member.percent || member.state != MemberState::kRunning;
  if (has_progress) {
    member.percent = task.percent;
    member.last_progress = ports_.loop.Now();
  }
  if (member.first_seen == TimePoint{}) {
    member.first_percent = task.percent;
    member.first_seen = ports_.loop.Now();
  }
  if (member.state == MemberState::kRunning) return;
  member.state = MemberState::kRunning;
  member.confirmed = sent;
}

void OwnedService::OnEnded(const base::WorkerName& name, const EndedTask& end) {
  auto* unit = FindRun(end.task, end.run);
  const bool is_present =
      unit != nullptr &&
      JobBook::MemberOf(*unit, end.task.index).worker == name;
  if (!is_present) {
    auto* former = book_.FindUnit(end.task);
    if (former == nullptr || end.outcome != TaskOutcome::kDone) return;
    book_.OnEarlierDone(*former, end.run, ports_.loop.Now());
    return;
  }
  if (end.outcome != TaskOutcome::kDone) {
    base::Log(base::events::kTaskEnded, {{"request", end.task.job},
                                         {"task", TextOf(end.task)},
                                         {"run", end.run},
                                         {"worker", name},
                                         {"how", base::NameOf(end.outcome)}});
  }
  if (ports_.metrics != nullptr) {
    ports_.metrics->Count("lapishatch_task_ends_total",
                          {{"how", std::string(base::NameOf(end.outcome))}});
  }
  const auto now = ports_.loop.Now();
  if (health_.OnEnded(name, end.task.job, end.outcome, workers_.size(), now)) {
    base::Log(base::events::kWorkerPutOut,
              {{"service", service_.str()}, {"worker", name}});
  }
  book_.OnEnded(*unit, end.task.index, end.outcome, end.checkpoint, now);
}

/// Members that the worker neither runs nor has listed as ended are over, when
/// nothing that was sent can begin them any more.
void OwnedService::ResolveUnlisted(const base::WorkerName& name,
                                   const WorkerReport& news, TimePoint sent) {
  for (const auto& it : book_.MembersOn(name)) {
    auto* unit = it.first;
    const int index = it.second;
    auto& member = JobBook::MemberOf(*unit, index);
    const jobs::TaskName task{unit->step->job->job->name,
                              unit->step->occurrence, unit->step->number,
                              index};
    const bool is_listed =
        std::any_of(news.running.begin(), news.running.end(),
                    [&task, run = unit->last_run](const RunningTask& running) {
                      return running.task == task && running.run == run;
                    });
    if (is_listed || member.state == MemberState::kPlanned) continue;
    const bool was_confirmed =
        member.confirmed != TimePoint{} && member.confirmed < sent &&
        (member.state == MemberState::kRunning || member.is_stop_confirmed);
    // A start of a former owner has no known expiry here (0): this owner's
    // epoch has ended it.
    const bool is_too_late = member.state == MemberState::kUnconfirmed &&
                             news.worker_time > member.expires;
    if (!was_confirmed && !is_too_late) continue;
    base::Log(base::events::kTaskVanished, {{"request", task.job},
                                            {"task", TextOf(task)},
                                            {"run", unit->last_run},
                                            {"worker", name}});
    book_.OnVanished(*unit, index, ports_.loop.Now());
  }
}

/// Stops runs that do not get on, to be started elsewhere: their worker stands
/// still, though it renews its lease and answers.
void OwnedService::CheckStalled() {
  const auto now = ports_.loop.Now();
  std::vector<Unit*> stalled;
  for (auto* unit : book_.active()) {
    const auto& step = *unit->step->step;
    if (unit->is_stopping || unit->phase == jobs::UnitPhase::kDone) continue;
    if (step.is_service) continue;
    const auto share = base::Duration(static_cast<std::int64_t>(
        options_.stalled_estimate_share *
        static_cast<double>(step.run_time_estimate.count())));
    const auto patience = std::max(options_.stalled_after, share);
    std::set<base::WorkerName> still;
    for (const auto& it : unit->members) {
      const bool is_still = it.state == MemberState::kRunning &&
                            it.last_progress != TimePoint{} &&
                            now - it.last_progress > patience;
      if (is_still) still.insert(it.worker);
    }
    if (still.empty()) continue;
    // A whole gang stands still when one of its tasks does: which worker it is
    // shows by what else is there.
    if (unit->members.size() == 1) {
      health_.PutOut(*still.begin(), workers_.size(), now);
    }
    std::erase_if(still, [this](const auto& it) { return !health_.IsOut(it); });
    if (still.empty()) continue;
    unit->failed_on = std::move(still);
    stalled.push_back(unit);
  }
  for (auto* unit : stalled) {
    const auto task = JobBook::NameOf(*unit, 0);
    base::Log(base::events::kTaskStalled,
              {{"request", task.job},
               {"task", TextOf(task)},
               {"run", unit->last_run},
               {"worker", *unit->failed_on.begin()}});
    book_.Stop(*unit);
  }
}

/// Ends what was on workers whose leases have certainly run out, and forgets
/// those that are not registered any more.
void OwnedService::CheckLapsed() {
  const auto now = ports_.loop.Now();
  // The leases that a former owner has given reach `outage_lease_limit` beyond
  // its last renewal of the row at most, which was at least the row's lease
  // before it was taken; those of one that is gone were given before.
  const auto& session = session_options_;
  const auto reach =
      former_is_gone_
          ? session.lease_duration
          : std::max(session.lease_duration,
                     options_.outage_lease_limit - options_.lease.duration);
  const auto unheard =
      reach + session.lease_duration / 20 + session.clock_margin;
  std::vector<base::WorkerName> gone;
  for (auto& [name, worker] : workers_) {
    const auto& it = *worker.session;
    const bool has_lapsed =
        it.has_answered() ? it.HasLeaseExpired() : now - taken_at_ > unheard;
    if (!has_lapsed) continue;
    if (!book_.MembersOn(name).empty()) {
      EndAllOn(name, WorkerLossReason::kLapsed);
    }
    if (!worker.is_listed) gone.push_back(name);
  }
  for (const auto& it : gone) {
    workers_.erase(it);
    departures_.erase(it);
    health_.Forget(it);
    fleet_.Remove(it);
  }
  if (now - taken_at_ <= unheard) return;
  // Recorded starts at workers that were never seen under this epoch.
  std::map<base::WorkerName, Members> lost;
  for (auto* unit : book_.active()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      const auto& it = unit->members[i];
      if (it.state == MemberState::kOver || workers_.contains(it.worker)) {
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
  Pump();
}

}  // namespace lapishatch::dispatch::internal
