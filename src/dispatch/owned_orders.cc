#include <algorithm>
#include <chrono>
#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {

namespace {

void LogPreemption(const Preemption& it) {
  const auto& job = *it.unit->step_run->job;
  base::Log(base::events::kUnitPreempted,
            {{"request", job.job->name},
             {"task", TextOf(JobTracker::NameOf(*it.unit, 0))},
             {"run", it.unit->last_run},
             {"tasks", it.unit->members.size()},
             {"by", TextOf(JobTracker::NameOf(*it.beneficiary, 0))},
             {"guaranteed", it.is_guaranteed},
             {"lost_core_s", static_cast<std::int64_t>(it.lost_core_seconds)}});
}

/// Number of workers that may have crashed under a task from which its worker
/// must have answered immediately before a start is sent.
constexpr int kVerifiedAfterCrashes = 2;

/// Logs, once for each unit, that its restart is deferred.
void LogDeferral(Unit& unit) {
  if (std::exchange(unit.is_deferral_logged, true)) return;
  const auto task = JobTracker::NameOf(unit, 0);
  base::Log(base::events::kRestartDeferred,
            {{"request", task.job},
             {"task", TextOf(task)},
             {"losses", unit.losses.front().PossibleCrashes()},
             {"silent", unit.losses.front().silent.size()}});
}

int CountTasks(const std::vector<Unit*>& units) {
  int out = 0;
  for (const auto* it : units) out += static_cast<int>(it->members.size());
  return out;
}

}  // namespace

/// Schedules a decision round, unless one is scheduled already. One round
/// covers all changes before it. The pause between two rounds grows with their
/// duration, so that most of the processor time remains for leases, ends and
/// stops under any load.
void OwnedService::ScheduleDecisionRound() {
  if (is_decision_round_scheduled_ || !is_loaded_) return;
  is_decision_round_scheduled_ = true;
  const auto decide = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->RunDecisionRound();
  };
  const auto wait = earliest_next_decision_ - dependencies_.loop.Now();
  if (wait <= base::Duration(0)) return dependencies_.loop.Post(decide);
  dependencies_.loop.After(wait, decide);
}

/// Plans starts and preemptions, records them, and sends starts and stops.
void OwnedService::RunDecisionRound() {
  is_decision_round_scheduled_ = false;
  const auto began = dependencies_.loop.Now();
  UpdateWorkerStates();
  PlannerDecisions decisions;
  const bool is_permitted = MayStart();
  if (is_permitted) {
    const int under_way = tracker_.CountPendingStarts();
    decisions = planner_.Decide(began, start_window_.size() - under_way);
    start_window_.RecordInFlight(under_way + CountTasks(decisions.starts));
  }
  is_limited_by_start_window_ = decisions.reached_start_limit;
  PredictRunTimes(decisions.starts);
  LogGuaranteeDemand();
  LogDelayedStarts(is_permitted);
  for (auto* it : decisions.deferred) LogDeferral(*it);
  for (const auto& it : decisions.preemptions) LogPreemption(it);
  SendStops();
  if (!decisions.starts.empty()) SendStartsWhenRecorded(decisions.starts);
  LogEndedJobs();
  for (const auto& it : recorders_) it->ScheduleWrite();
  const auto ended = dependencies_.loop.Now();
  if (dependencies_.metrics != nullptr) {
    dependencies_.metrics->Observe(
        "lapishatch_decision_seconds", {{"service", service_.str()}},
        std::chrono::duration<double>(ended - began).count());
  }
  earliest_next_decision_ =
      ended + std::max(options_.min_decision_interval,
                       options_.decision_pause_factor * (ended - began));
}

/// Logs when the guaranteed work begins to need more than the workers have, and
/// when it ceases to. Urgent jobs come and go, so changes in quick succession
/// are not logged.
void OwnedService::LogGuaranteeDemand() {
  constexpr base::Duration kMinLogInterval{1'000};
  const auto& demand = planner_.guarantees().demand();
  if (demand.is_overcommitted == was_overcommitted_) return;
  const auto now = dependencies_.loop.Now();
  if (now - overcommitment_logged_at_ < kMinLogInterval) return;
  was_overcommitted_ = demand.is_overcommitted;
  overcommitment_logged_at_ = now;
  constexpr std::int64_t kMillisPerCore = 1'000;
  constexpr std::int64_t kMbPerGb = 1'024;
  base::Log(was_overcommitted_ ? base::events::kGuaranteesOvercommitted
                               : base::events::kGuaranteesCovered,
            {{"service", service_.str()},
             {"total_accelerators", demand.total.accelerators},
             {"total_cores", demand.total.cpu_millis / kMillisPerCore},
             {"total_gb", demand.total.memory_mb / kMbPerGb},
             {"within_accelerators", demand.within.accelerators},
             {"within_cores", demand.within.cpu_millis / kMillisPerCore},
             {"within_gb", demand.within.memory_mb / kMbPerGb},
             {"capacity_accelerators", demand.capacity.accelerators},
             {"capacity_cores", demand.capacity.cpu_millis / kMillisPerCore},
             {"capacity_gb", demand.capacity.memory_mb / kMbPerGb}});
}

void OwnedService::LogDelayedStarts(bool is_permitted) {
  const auto now = dependencies_.loop.Now();
  const auto limit = options_.bounds.guaranteed_start_delay / 2;
  for (auto* run : tracker_.ready()) {
    const auto& job = *run->job;
    if (job.job->priority != kUrgentPriority) continue;
    for (auto& unit : run->units) {
      const bool waits = unit.phase == jobs::UnitPhase::kWaiting &&
                         unit.last_run == 0 &&
                         now - unit.waiting_since >= limit;
      if (!waits || std::exchange(unit.is_delay_logged, true)) continue;
      auto obstacle = StartObstacle::kPlan;
      if (is_limited_by_start_window_) obstacle = StartObstacle::kStartLimit;
      if (!unit.reserved.empty()) obstacle = StartObstacle::kPreemption;
      if (!is_permitted) obstacle = StartObstacle::kPermission;
      const auto use = planner_.guarantees().UseOf(job.job->organisation);
      base::Log(base::events::kUrgentStartDelayed,
                {{"request", job.job->name},
                 {"task", TextOf(JobTracker::NameOf(unit, 0))},
                 {"organisation", job.job->organisation},
                 {"waited_ms", (now - unit.waiting_since).count()},
                 {"obstacle", base::NameOf(obstacle)},
                 {"needs", use.needed},
                 {"guaranteed", use.guaranteed}});
    }
  }
}

void OwnedService::WhenRecorded(const std::set<base::JobName>& jobs,
                                const std::function<void()>& done) {
  std::map<int, std::vector<base::JobName>> by_partition;
  for (const auto& it : jobs) {
    by_partition[jobs::ProgressPartitionIndex(it)].push_back(it);
  }
  if (by_partition.empty()) return dependencies_.loop.Post(done);
  auto unrecorded_partitions =
      std::make_shared<std::size_t>(by_partition.size());
  const auto on_partition_recorded = [unrecorded_partitions, done] {
    if (--*unrecorded_partitions == 0) done();
  };
  for (const auto& [partition, names] : by_partition) {
    recorders_[static_cast<std::size_t>(partition)]->WhenRecorded(
        names, on_partition_recorded);
  }
}

/// Sends the starts of `units` once they are recorded. The starts of a
/// partition do not wait for other partitions.
void OwnedService::SendStartsWhenRecorded(const std::vector<Unit*>& units) {
  struct PartitionStarts {
    std::vector<PlannedStart> planned;
    std::vector<base::JobName> jobs;
  };
  std::map<int, PartitionStarts> by_partition;
  for (const auto* unit : units) {
    const auto& job = *unit->step_run->job;
    if (dependencies_.metrics != nullptr && unit->last_run == 1) {
      dependencies_.metrics->Observe(
          "lapishatch_first_start_wait_seconds",
          {{"organisation", job.job->organisation.str()},
           {"priority", std::to_string(job.job->priority)}},
          std::chrono::duration<double>(unit->started_at - unit->waiting_since)
              .count());
    }
    base::Log(base::events::kUnitStarted,
              {{"request", job.job->name},
               {"task", TextOf(JobTracker::NameOf(*unit, 0))},
               {"run", unit->last_run},
               {"tasks", unit->members.size()},
               {"worker", unit->members.front().worker},
               {"waited_ms", (unit->started_at - unit->waiting_since).count()},
               {"age_ms", (unit->started_at - job.accepted_at).count()}});
    auto& starts = by_partition[job.partition];
    starts.jobs.push_back(job.job->name);
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      starts.planned.push_back({JobTracker::NameOf(*unit, i), unit->last_run});
    }
  }
  for (auto& [partition, starts] : by_partition) {
    recorders_[static_cast<std::size_t>(partition)]->WhenRecorded(
        starts.jobs,
        [weak = weak_from_this(), planned = std::move(starts.planned)] {
          const auto self = weak.lock();
          if (!self) return;
          for (const auto& it : planned) self->SendStart(it.task, it.run);
          self->ScheduleDecisionRound();
        });
  }
}

void OwnedService::SendStart(const jobs::TaskName& task, int run) {
  auto* unit = FindUnitOfRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobTracker::MemberOf(*unit, task.index);
  if (member.state == MemberState::kRunning) return;
  auto* worker = FindWorker(member.worker);
  const bool may_send = worker != nullptr && worker->session->has_answered() &&
                        !IsInEvacuatedDomain(*worker) && !unit->is_stopping &&
                        MayStart();
  const bool is_within_capacity = IsWithinCapacity(member.worker);
  if (!may_send || !is_within_capacity) {
    if (member.state == MemberState::kPlanned) {
      tracker_.OnRefused(*unit, task.index, dependencies_.loop.Now());
    } else if (!is_within_capacity) {
      // The worker may still execute an order that was sent before, so the unit
      // is stopped instead of being returned to the queue.
      tracker_.Stop(*unit);
    }
    return ScheduleDecisionRound();
  }
  if (MustVerifyWorker(*unit, member, *worker)) {
    worker->unverified_starts.push_back({task, run});
    return;
  }
  auto& session = *worker->session;
  if (member.state == MemberState::kPlanned && HasJustAnswered(session)) {
    member.verified_start_at = dependencies_.loop.Now();
  }
  StartOrder order{
      task,
      run,
      unit->step_run->job->job->spec,
      session.EstimatedWorkerTime() + options_.start_validity.count(),
      epoch_,
      unit->checkpoint};
  session.NoteLeaseExpiry(order.expires_at);
  member.state = MemberState::kUnconfirmed;
  member.start_expires_at = std::max(member.start_expires_at, order.expires_at);
  member.start_sent_at = dependencies_.loop.Now();
  dependencies_.worker_client.Start(
      session.address(), std::move(order), options_.start_timeout,
      [weak = weak_from_this(), task, run,
       sent = member.start_sent_at](StartResult result) {
        const auto self = weak.lock();
        if (!self) return;
        self->UpdateStartWindow(result, sent);
        self->OnStartResult(task, run, std::move(result));
      });
}

bool OwnedService::HasJustAnswered(const WorkerSession& session) const {
  constexpr base::Duration kMaxAnswerAge{100};
  return dependencies_.loop.Now() - session.LastAnswerTime() <= kMaxAnswerAge;
}

bool OwnedService::MustVerifyWorker(const Unit& unit, const Member& member,
                                    Worker& worker) {
  const bool may_crash =
      std::any_of(unit.losses.begin(), unit.losses.end(), [](const auto& it) {
        return it.PossibleCrashes() >= kVerifiedAfterCrashes;
      });
  const bool must_verify = may_crash && member.state == MemberState::kPlanned &&
                           !HasJustAnswered(*worker.session);
  if (must_verify && worker.unverified_starts.empty()) {
    worker.session->PollNow();
  }
  return must_verify;
}

void OwnedService::SendVerifiedStarts(const base::WorkerName& name) {
  auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  for (const auto& it : std::exchange(worker->unverified_starts, {})) {
    SendStart(it.task, it.run);
  }
}

void OwnedService::DropUnverifiedStarts() {
  for (auto& [name, worker] : workers_) {
    if (worker.unverified_starts.empty()) continue;
    if (worker.session->IsReachable()) continue;
    for (const auto& it : std::exchange(worker.unverified_starts, {})) {
      auto* unit = FindUnitOfRun(it.task, it.run);
      if (unit == nullptr) continue;
      const auto& member = JobTracker::MemberOf(*unit, it.task.index);
      if (member.state != MemberState::kPlanned) continue;
      tracker_.OnRefused(*unit, it.task.index, dependencies_.loop.Now());
    }
  }
}

/// Adjusts the size of the start window to the time that workers take to answer
/// starts. Starts that were not sent do not count.
void OwnedService::UpdateStartWindow(const StartResult& result,
                                     base::TimePoint sent) {
  const auto now = dependencies_.loop.Now();
  if (std::holds_alternative<NotSent>(result)) return;
  const bool is_answered = !std::holds_alternative<NoAnswer>(result);
  const auto answer_time =
      is_answered ? std::optional(now - sent) : std::nullopt;
  if (!start_window_.OnAnswer(answer_time, now)) return;
  base::Log(base::events::kStartWindowChanged,
            {{"service", service_.str()},
             {"starts", start_window_.size()},
             {"under_way", tracker_.CountPendingStarts()}});
}

void OwnedService::OnStartResult(const jobs::TaskName& task, int run,
                                 StartResult result) {
  auto* unit = FindUnitOfRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobTracker::MemberOf(*unit, task.index);
  auto* worker = FindWorker(member.worker);
  const auto now = dependencies_.loop.Now();
  if (const auto* started = std::get_if<Started>(&result)) {
    // The next report decides what runs in another incarnation of the worker.
    const bool is_other =
        worker != nullptr &&
        worker->session->IsFromOtherIncarnation(started->worker_time);
    if (is_other) return;
    if (worker != nullptr) {
      worker->session->ConfirmLease(member.start_expires_at);
    }
    member.state = MemberState::kRunning;
    member.has_run = true;
    member.confirmed_at = now;
    if (is_limited_by_start_window_) ScheduleDecisionRound();
    return;
  }
  if (member.state == MemberState::kRunning) return;
  if (const auto* refused = std::get_if<Refused>(&result)) {
    base::Log(base::events::kStartRefused,
              {{"request", task.job},
               {"task", TextOf(task)},
               {"run", run},
               {"worker", member.worker},
               {"reason", base::NameOf(refused->reason)}});
    if (refused->reason == RefusalReason::kStaleEpoch) {
      return GiveUpOwnership("a worker has seen a higher epoch");
    }
    // A refusal is final only for the first attempt. A later attempt may be
    // refused because an earlier one has run and ended, which the worker then
    // reports.
    if (member.unanswered_starts > 0) return;
    if (worker != nullptr) {
      worker->paused_until = now + options_.refusal_backoff;
    }
    tracker_.OnRefused(*unit, task.index, now);
    return ScheduleDecisionRound();
  }
  if (std::holds_alternative<NotSent>(result) &&
      member.unanswered_starts == 0) {
    if (worker != nullptr) worker->session->MarkUnreachable();
    tracker_.OnRefused(*unit, task.index, now);
    return ScheduleDecisionRound();
  }
  ++member.unanswered_starts;
  base::Log(base::events::kStartUnanswered,
            {{"request", task.job},
             {"task", TextOf(task)},
             {"run", run},
             {"worker", member.worker},
             {"tries", member.unanswered_starts}});
  if (worker != nullptr) worker->session->MarkUnreachable();
  if (member.unanswered_starts < options_.max_start_attempts) {
    return SendStart(task, run);
  }
  tracker_.Stop(*unit);
  ScheduleDecisionRound();
}

void OwnedService::LogEndedJobs() {
  for (const auto& it : tracker_.TakeEnded()) {
    ForgetRunTimes(it);
    if (const auto* job = tracker_.Find(it)) LogEndedJob(*job);
  }
}

/// Logs the task that reached a limit, and counts the failure.
void OwnedService::LogFailure(const JobEntry& job) {
  const auto& failure = job.failure;
  base::Log(base::events::kJobFailed,
            {{"request", job.job->name},
             {"task", TextOf(failure.task)},
             {"reason", base::NameOf(failure.reason)},
             {"failures", failure.failures},
             {"max_attempts", job.job->max_attempts},
             {"losses", failure.losses.PossibleCrashes()},
             {"crashes", failure.losses.crashes},
             {"suspicion", failure.losses.suspicion}});
  if (dependencies_.metrics == nullptr) return;
  dependencies_.metrics->Count(
      "lapishatch_jobs_failed_total",
      {{"reason", std::string(base::NameOf(failure.reason))}});
}

void OwnedService::LogEndedJob(const JobEntry& job) {
  if (!IsFinal(job.state) || !remover_.MarkEnded(job.job->name)) return;
  const auto now = dependencies_.loop.Now();
  if (dependencies_.metrics != nullptr) {
    dependencies_.metrics->Observe(
        "lapishatch_job_seconds",
        {{"organisation", job.job->organisation.str()},
         {"priority", std::to_string(job.job->priority)},
         {"state", std::string(base::NameOf(job.state))}},
        std::chrono::duration<double>(now - job.accepted_at).count());
  }
  if (job.failure.reason != JobFailure::kNone) LogFailure(job);
  base::Log(base::events::kJobEnded,
            {{"request", job.job->name},
             {"state", base::NameOf(job.state)},
             {"failure", base::NameOf(job.failure.reason)},
             {"priority", job.job->priority},
             {"objective_ms", job.latency_objective.count()},
             {"after_ms", (now - job.accepted_at).count()}});
}

}  // namespace lapishatch::dispatch::internal
