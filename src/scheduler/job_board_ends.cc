// What gangs tell the board: records of their starts and ends, and what becomes
// of the job after an attempt.

#include <algorithm>
#include <utility>

#include "scheduler/internal/job_board.h"

namespace lapishatch::scheduler::internal {
namespace {

double SecondsOf(base::Duration span) {
  return std::chrono::duration<double>(span).count();
}

base::MetricLabels LabelsOf(const config::JobSpec& spec) {
  return {{"organisation", spec.organisation.str()},
          {"class", std::string(base::NameOf(spec.work_class))}};
}

}  // namespace

config::JobStatus JobBoard::StatusOf(const Job& job, config::JobPhase phase,
                                     const std::string& reason) const {
  config::JobStatus status;
  status.phase = phase;
  status.reason = reason;
  status.cell = options_.cell;
  status.domain = options_.domain;
  status.attempts = std::max(job.status.attempts, job.may_have_run ? 1 : 0);
  status.checkpoint = job.status.checkpoint;
  if (job.gang == nullptr || phase == config::JobPhase::kQueued) return status;
  const auto& intent = job.gang->intent();
  status.attempt = intent.attempt;
  status.borrowed = intent.borrowed;
  int task = 0;
  for (const auto& member : intent.members) {
    status.members.push_back({task++, member.worker, member.accelerators});
  }
  return status;
}

void JobBoard::OnRecordWanted(GangRunner& gang) {
  const auto* job = Find(gang.job());
  if (job == nullptr) return;
  const auto attempt = gang.intent().attempt;
  const auto status = StatusOf(*job, config::JobPhase::kStarting, "");
  ports_.recorder.Record({gang.job(), status, PutIntent{gang.intent()}},
                         [this, guard = scope_.Weak(), name = gang.job(),
                          attempt](RecordResult result) {
                           if (guard.expired()) return;
                           OnIntentWritten(name, attempt, result);
                         });
  // An idempotent job may start unrecorded while the table is out: its workers
  // tell a next owner of it, and a second run would do no harm.
  const bool may_skip = gang.spec().idempotent && ports_.recorder.table_out();
  if (may_skip) gang.Tell(lifecycle::IntentRecorded{});
}

void JobBoard::OnIntentWritten(const base::JobName& name,
                               const base::AttemptId& attempt,
                               RecordResult result) {
  auto* job = Find(name);
  const auto it = active_.find(attempt);
  if (job == nullptr || it == active_.end()) return;
  const auto gang = it->second;
  switch (result) {
    case RecordResult::kRecorded:
      return gang->Tell(lifecycle::IntentRecorded{});
    case RecordResult::kSuperseded:
      return;
    case RecordResult::kForeignIntent:
      base::Log(base::events::kForeignIntent, {{"job", name}});
      job->foreign_intent = true;
      return gang->Tell(
          lifecycle::IntentNotRecorded{"another attempt is recorded"});
  }
}

void JobBoard::OnRunning(GangRunner& gang) {
  auto* job = Find(gang.job());
  if (job == nullptr) return;
  job->retry.Reset();
  base::Log(base::events::kGangRunning, {{"job", gang.job()}});
  const auto status = StatusOf(*job, config::JobPhase::kRunning, "");
  ports_.recorder.Record({gang.job(), status, KeepIntent{}}, {});
  if (ports_.metrics == nullptr) return;
  const auto waited = ports_.loop.Now() - job->accepted.submitted;
  ports_.metrics->Observe("lapishatch_job_start_seconds", LabelsOf(gang.spec()),
                          SecondsOf(waited));
}

void JobBoard::OnPartlyFinished(GangRunner& gang) {
  const auto* job = Find(gang.job());
  if (job == nullptr) return;
  const auto status = StatusOf(*job, config::JobPhase::kRunning, "");
  const auto it = active_.find(gang.intent().attempt);
  if (it == active_.end()) return;
  ports_.recorder.Record({gang.job(), status, PutIntent{gang.intent()}},
                         [gang = it->second](RecordResult result) {
                           if (result != RecordResult::kRecorded) return;
                           gang->AcknowledgeEnds();
                         });
}

void JobBoard::NoteStartOutcome(const GangRunner& gang,
                                const lifecycle::GangEnded& ended) {
  const bool early =
      ports_.loop.Now() - gang.started() < options_.early_failure;
  const auto& members = gang.intent().members;
  if (ended.outcome == lifecycle::GangOutcome::kFailed && early &&
      ended.failed_member >= 0) {
    const auto culprit = static_cast<std::size_t>(ended.failed_member);
    return ports_.workers.StartFailed(members.at(culprit).worker, gang.job());
  }
  if (ended.outcome != lifecycle::GangOutcome::kFinished && early) return;
  for (const auto& member : members) {
    ports_.workers.StartSucceeded(member.worker);
  }
}

void JobBoard::OnEnded(GangRunner& gang, const lifecycle::GangEnded& ended) {
  const auto it = active_.find(gang.intent().attempt);
  if (it == active_.end()) return;
  const auto runner = it->second;
  active_.erase(it);
  ending_.emplace(runner->intent().attempt, runner);
  ports_.planner.ReportEnded(gang.job(), ports_.loop.Now());
  replan_();
  NoteStartOutcome(gang, ended);
  NoteAtLarge(gang);
  auto* job = Find(gang.job());
  if (job == nullptr) return;
  if (ended.outcome != lifecycle::GangOutcome::kFinished) {
    base::Log(base::events::kGangStopped, {{"job", gang.job()},
                                           {"end", base::NameOf(ended.outcome)},
                                           {"reason", ended.reason}});
  }
  Conclude(*job, runner, ended);
}

void JobBoard::Conclude(Job& job, const std::shared_ptr<GangRunner>& gang,
                        const lifecycle::GangEnded& ended) {
  using lifecycle::GangOutcome;
  const bool idempotent = gang->spec().idempotent;
  const bool may_run_again = idempotent || !ended.may_have_run;
  if (ended.outcome == GangOutcome::kFinished) {
    return Finish(job, gang, config::JobPhase::kFinished, "");
  }
  if (job.foreign_intent) {
    job.foreign_intent = false;
    job.gang.reset();
    job.stage = Stage::kLoading;
    ending_.erase(gang->intent().attempt);
    to_load_.push_back(job.accepted.name);
    return StartLoads();
  }
  if (job.cancelled || ended.outcome == GangOutcome::kCancelled) {
    return Finish(job, gang, config::JobPhase::kCancelled, ended.reason);
  }
  if (ended.outcome == GangOutcome::kEvicted) {
    const bool whole = !ended.checkpoints.empty();
    if (whole) job.status.checkpoint = gang->CheckpointPrefix();
    if (whole || may_run_again) {
      return Requeue(job, gang, ended.reason, base::Duration(0));
    }
    return Finish(job, gang, config::JobPhase::kFailed,
                  "evicted (" + ended.reason +
                      ") without a whole checkpoint; it is non-idempotent and "
                      "is not run again");
  }
  const bool failed = ended.outcome == GangOutcome::kFailed;
  if (failed) ++job.failures;
  if (!may_run_again) {
    if (failed) {
      return Finish(job, gang, config::JobPhase::kFailed, ended.reason);
    }
    base::Log(base::events::kJobOutcomeUnknown,
              {{"job", gang->job()}, {"reason", ended.reason}});
    return Finish(job, gang, config::JobPhase::kUnknown,
                  ended.reason +
                      "; it is non-idempotent and may have run in "
                      "part, so it is not started again");
  }
  if (job.failures >= options_.max_attempts) {
    return Finish(job, gang, config::JobPhase::kFailed,
                  ended.reason + "; given up after " +
                      std::to_string(job.failures) + " failures");
  }
  Requeue(job, gang, ended.reason, job.retry.Next(random_));
}

void JobBoard::Requeue(Job& job, const std::shared_ptr<GangRunner>& gang,
                       const std::string& reason, base::Duration delay) {
  job.gang.reset();
  job.stage = Stage::kWaiting;
  const auto status = StatusOf(job, config::JobPhase::kQueued, reason);
  ports_.recorder.Record({job.accepted.name, status, DropIntent{}},
                         [this, guard = scope_.Weak(), gang](RecordResult) {
                           if (guard.expired()) return;
                           ending_.erase(gang->intent().attempt);
                           gang->AcknowledgeEnds();
                         });
  SubmitAfter(job, delay, reason);
}

void JobBoard::Finish(Job& job, const std::shared_ptr<GangRunner>& gang,
                      config::JobPhase phase, const std::string& reason) {
  job.stage = Stage::kEnding;
  job.status = StatusOf(job, phase, reason);
  job.gang.reset();
  const auto name = job.accepted.name;
  ports_.recorder.Record(
      {name, job.status, DropIntent{}},
      [this, guard = scope_.Weak(), name, gang](RecordResult) {
        if (guard.expired()) return;
        if (gang != nullptr) {
          ending_.erase(gang->intent().attempt);
          gang->AcknowledgeEnds();
        }
        over_.insert(name);
        jobs_.erase(name);
        ports_.recorder.Forget(name);
      });
}

}  // namespace lapishatch::scheduler::internal
