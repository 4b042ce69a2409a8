#include <algorithm>
#include <chrono>
#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {

namespace {

void LogPreemption(const Preemption& it) {
  const auto& job = *it.unit->step->job;
  base::Log(base::events::kUnitPreempted,
            {{"request", job.job->name},
             {"task", TextOf(JobBook::NameOf(*it.unit, 0))},
             {"run", it.unit->last_run},
             {"tasks", it.unit->members.size()},
             {"by", TextOf(JobBook::NameOf(*it.by, 0))},
             {"guaranteed", it.is_guaranteed},
             {"lost_core_s", static_cast<std::int64_t>(it.lost)}});
}

int CountTasks(const std::vector<Unit*>& units) {
  int out = 0;
  for (const auto* it : units) out += static_cast<int>(it->members.size());
  return out;
}

}  // namespace

/// Has a round of decisions made soon, once for everything that happens before
/// it. Rounds keep a distance that grows with what they cost, so that most of
/// the processor is left for leases, ends and stops however much there is to
/// decide.
void OwnedService::Pump() {
  if (is_pump_armed_ || !is_loaded_) return;
  is_pump_armed_ = true;
  const auto decide = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Decide();
  };
  const auto wait = next_decision_ - ports_.loop.Now();
  if (wait <= base::Duration(0)) return ports_.loop.Post(decide);
  ports_.loop.After(wait, decide);
}

/// Decides, records and sends.
void OwnedService::Decide() {
  is_pump_armed_ = false;
  const auto began = ports_.loop.Now();
  UpdateOpen();
  PlannerDecisions decisions;
  if (MayStart()) {
    const int under_way = book_.CountUnderWay();
    decisions = planner_.Decide(began, window_.size() - under_way);
    window_.RecordInFlight(under_way + CountTasks(decisions.starts));
  }
  waits_for_answers_ = decisions.is_limited;
  for (const auto& it : decisions.preempted) LogPreemption(it);
  SendStops();
  if (!decisions.starts.empty()) SendStarts(decisions.starts);
  LogEnds();
  for (const auto& it : recorders_) it->ScheduleWrite();
  const auto ended = ports_.loop.Now();
  if (ports_.metrics != nullptr) {
    ports_.metrics->Observe(
        "lapishatch_decision_seconds", {{"service", service_.str()}},
        std::chrono::duration<double>(ended - began).count());
  }
  next_decision_ =
      ended + std::max(options_.min_decision_interval,
                       options_.decision_pause_factor * (ended - began));
}

void OwnedService::WhenRecorded(const std::set<base::JobName>& jobs,
                                const std::function<void()>& done) {
  std::map<int, std::vector<base::JobName>> by_part;
  for (const auto& it : jobs)
    by_part[jobs::ProgressPartitionIndex(it)].push_back(it);
  if (by_part.empty()) return ports_.loop.Post(done);
  auto left = std::make_shared<std::size_t>(by_part.size());
  const auto on_part = [left, done] {
    if (--*left == 0) done();
  };
  for (const auto& [part, names] : by_part) {
    recorders_[static_cast<std::size_t>(part)]->WhenRecorded(names, on_part);
  }
}

/// Sends the starts of `units` once they are recorded, each part's by itself.
void OwnedService::SendStarts(const std::vector<Unit*>& units) {
  struct Planned {
    jobs::TaskName task;
    int run = 0;
  };
  struct PartStarts {
    std::vector<Planned> planned;
    std::vector<base::JobName> jobs;
  };
  std::map<int, PartStarts> by_part;
  for (const auto* unit : units) {
    const auto& job = *unit->step->job;
    if (ports_.metrics != nullptr && unit->last_run == 1) {
      ports_.metrics->Observe(
          "lapishatch_first_start_wait_seconds",
          {{"organisation", job.job->organisation.str()},
           {"priority", std::to_string(job.job->priority)}},
          std::chrono::duration<double>(unit->started - unit->waiting_since)
              .count());
    }
    base::Log(base::events::kUnitStarted,
              {{"request", job.job->name},
               {"task", TextOf(JobBook::NameOf(*unit, 0))},
               {"run", unit->last_run},
               {"tasks", unit->members.size()},
               {"worker", unit->members.front().worker},
               {"waited_ms", (unit->started - unit->waiting_since).count()},
               {"age_ms", (unit->started - job.accepted).count()}});
    auto& starts = by_part[job.part];
    starts.jobs.push_back(job.job->name);
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      starts.planned.push_back({JobBook::NameOf(*unit, i), unit->last_run});
    }
  }
  for (auto& [part, starts] : by_part) {
    recorders_[static_cast<std::size_t>(part)]->WhenRecorded(
        starts.jobs,
        [weak = weak_from_this(), planned = std::move(starts.planned)] {
          const auto self = weak.lock();
          if (!self) return;
          for (const auto& it : planned) self->SendStart(it.task, it.run);
          self->Pump();
        });
  }
}

void OwnedService::SendStart(const jobs::TaskName& task, int run) {
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  if (member.state == MemberState::kRunning) return;
  auto* worker = FindWorker(member.worker);
  const bool may_send = worker != nullptr && worker->session->has_answered() &&
                        !IsEvacuated(*worker) && !unit->is_stopping &&
                        MayStart();
  const bool fits = IsWithinCapacity(member.worker);
  if (!may_send || !fits) {
    if (member.state == MemberState::kPlanned) {
      book_.OnRefused(*unit, task.index, ports_.loop.Now());
    } else if (!fits) {
      // The worker may still carry out an order that was sent before, so the
      // unit is stopped rather than returned to waiting.
      book_.Stop(*unit);
    }
    return Pump();
  }
  auto& session = *worker->session;
  StartOrder order{
      task,
      run,
      unit->step->job->job->spec,
      session.EstimatedWorkerTime() + options_.start_validity.count(),
      epoch_,
      unit->checkpoint};
  session.NoteLeaseExpiry(order.expires_at);
  member.state = MemberState::kUnconfirmed;
  member.expires = std::max(member.expires, order.expires_at);
  member.sent = ports_.loop.Now();
  ports_.worker_client.Start(session.address(), std::move(order),
                             options_.start_timeout,
                             [weak = weak_from_this(), task, run,
                              sent = member.sent](StartResult result) {
                               const auto self = weak.lock();
                               if (!self) return;
                               self->NoteStartTime(result, sent);
                               self->OnStarted(task, run, std::move(result));
                             });
}

/// The size of the window follows how soon workers answer starts.
void OwnedService::NoteStartTime(const StartResult& result,
                                 base::TimePoint sent) {
  const auto now = ports_.loop.Now();
  if (std::holds_alternative<NotSent>(result)) return;
  const bool is_answered = !std::holds_alternative<NoAnswer>(result);
  const auto took = is_answered ? std::optional(now - sent) : std::nullopt;
  if (!window_.OnAnswer(took, now)) return;
  base::Log(base::events::kStartWindowChanged,
            {{"service", service_.str()},
             {"starts", window_.size()},
             {"under_way", book_.CountUnderWay()}});
}

void OwnedService::OnStarted(const jobs::TaskName& task, int run,
                             StartResult result) {
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  auto* worker = FindWorker(member.worker);
  const auto now = ports_.loop.Now();
  if (std::holds_alternative<Started>(result)) {
    member.state = MemberState::kRunning;
    member.confirmed = now;
    if (waits_for_answers_) Pump();
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
      return Lose("a worker has seen a higher epoch");
    }
    // Only the first try can be refused for good: a later one may be refused
    // since an earlier one has run and ended, which the worker then lists.
    if (member.unanswered > 0) return;
    if (worker != nullptr)
      worker->closed_until = now + options_.refusal_backoff;
    book_.OnRefused(*unit, task.index, now);
    return Pump();
  }
  if (std::holds_alternative<NotSent>(result) && member.unanswered == 0) {
    if (worker != nullptr) worker->session->MarkUnreachable();
    book_.OnRefused(*unit, task.index, now);
    return Pump();
  }
  ++member.unanswered;
  base::Log(base::events::kStartUnanswered, {{"request", task.job},
                                             {"task", TextOf(task)},
                                             {"run", run},
                                             {"worker", member.worker},
                                             {"tries", member.unanswered}});
  if (worker != nullptr) worker->session->MarkUnreachable();
  if (member.unanswered < options_.max_start_attempts)
    return SendStart(task, run);
  book_.Stop(*unit);
  Pump();
}

void OwnedService::SendStops() {
  for (auto* unit : book_.to_stop()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      auto& member = unit->members[i];
      const bool can_stop = member.state == MemberState::kUnconfirmed ||
                            member.state == MemberState::kRunning;
      if (!can_stop || member.is_stop_under_way) continue;
      member.is_stop_under_way = true;
      SendStop(JobBook::NameOf(*unit, i), unit->last_run, member.worker);
    }
  }
}

void OwnedService::SendStop(const jobs::TaskName& task, int run,
                            const base::WorkerName& name) {
  auto* worker = FindWorker(name);
  if (worker == nullptr || !rights_.may_renew()) return;
  ports_.worker_client.Stop(
      worker->session->address(), {task, run, epoch_}, options_.stop_timeout,
      [weak = weak_from_this(), task, run, name](const StopResult& result) {
        const auto self = weak.lock();
        if (self) self->OnStopped(task, run, name, result);
      });
}

void OwnedService::OnStopped(const jobs::TaskName& task, int run,
                             const base::WorkerName& name,
                             const StopResult& result) {
  const auto* refused = std::get_if<Refused>(&result);
  if (refused != nullptr && refused->reason == RefusalReason::kStaleEpoch) {
    return Lose("a worker has seen a higher epoch");
  }
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  if (member.worker != name) return;
  if (std::holds_alternative<Stopped>(result)) {
    member.is_stop_confirmed = true;
    member.confirmed = ports_.loop.Now();
  }
  // Its end is listed soon; a stop whose order was lost is sent again.
  ports_.loop.After(
      options_.stop_retry_interval, [weak = weak_from_this(), task, run] {
        const auto self = weak.lock();
        if (!self) return;
        if (auto* it = self->FindRun(task, run)) {
          JobBook::MemberOf(*it, task.index).is_stop_under_way = false;
          self->Pump();
        }
      });
}

void OwnedService::LogEnds() {
  for (const auto& it : book_.TakeEnded()) {
    if (const auto* job = book_.Find(it)) LogEnd(*job);
  }
}

void OwnedService::LogEnd(const JobEntry& job) {
  if (!IsFinal(job.state) || ended_at_.contains(job.job->name)) return;
  const auto now = ports_.loop.Now();
  ended_at_.emplace(job.job->name, now);
  if (ports_.metrics != nullptr) {
    ports_.metrics->Observe(
        "lapishatch_job_seconds",
        {{"organisation", job.job->organisation.str()},
         {"priority", std::to_string(job.job->priority)},
         {"state", std::string(base::NameOf(job.state))}},
        std::chrono::duration<double>(now - job.accepted).count());
  }
  base::Log(base::events::kJobEnded,
            {{"request", job.job->name},
             {"state", base::NameOf(job.state)},
             {"failure", base::NameOf(job.failure)},
             {"priority", job.job->priority},
             {"objective_ms", job.objective.count()},
             {"after_ms", (now - job.accepted).count()}});
}

}  // namespace lapishatch::dispatch::internal
