#include <algorithm>
#include <chrono>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {
namespace {

estimation::WorkKind KindOf(const jobs::Job& job) {
  return {job.organisation, job.queue};
}

/// How many times longer a task takes on a worker of `rack` than on its
/// preferred one.
double RackFactor(const jobs::Step& step, const base::RackName& rack,
                  const Bounds& bounds) {
  const bool is_away =
      !step.preferred_rack.empty() && step.preferred_rack != rack;
  return is_away ? bounds.remote_factor : 1;
}

}  // namespace

void OwnedService::ObserveProgress(Unit& unit, Member& member, int percent,
                                   WorkerTime worker_time) {
  const auto& run = *unit.step_run;
  const bool is_over = unit.is_stopping || IsFinal(run.job->state);
  if (run.step->is_service || is_over) return;
  // All paces of one run share the size of its task, so only the first counts.
  if (member.is_pace_observed) return;
  const auto pace = member.pace.Observe(percent, worker_time);
  const auto* worker = fleet_.Find(member.worker);
  if (!pace || worker == nullptr) return;
  member.is_pace_observed = true;
  estimation::ObservedRun observed;
  observed.step = {run.job->job->name, run.occurrence, run.number};
  observed.kind = KindOf(*run.job->job);
  observed.worker = member.worker;
  observed.estimate = run.step->run_time_estimate;
  observed.rack_factor = RackFactor(*run.step, worker->rack, options_.bounds);
  observed.is_gang_member = run.step->is_gang && run.step->tasks > 1;
  for (const auto& it :
       run_times_.Observe(observed, *pace, dependencies_.loop.Now())) {
    UpdateSpeed(it);
  }
}

void OwnedService::UpdateSpeed(const base::WorkerName& name) {
  auto* worker = fleet_.Find(name);
  if (worker == nullptr) return;
  const bool was_slow = worker->IsSlow();
  const auto speed = run_times_.speeds().SpeedOf(name);
  worker->speed = speed.speed;
  if (worker->IsSlow() == was_slow) return;
  base::Log(base::events::kWorkerSpeedChanged, {{"service", service_.str()},
                                                {"worker", name},
                                                {"speed", speed.speed},
                                                {"error", speed.deviation}});
  if (dependencies_.metrics == nullptr) return;
  const auto slow =
      std::count_if(fleet_.workers().begin(), fleet_.workers().end(),
                    [](const auto& it) { return it.second.IsSlow(); });
  dependencies_.metrics->Set("lapishatch_slow_workers",
                             {{"service", service_.str()}},
                             static_cast<double>(slow));
}

void OwnedService::PredictRunTimes(const std::vector<Unit*>& starts) {
  for (auto* unit : starts) {
    const auto& run = *unit->step_run;
    // The tasks of a gang have the pace of the slowest.
    estimation::WorkerSpeed speed;
    double rack_factor = 1;
    for (const auto& it : unit->members) {
      if (const auto* worker = fleet_.Find(it.worker)) {
        rack_factor = std::max(
            rack_factor, RackFactor(*run.step, worker->rack, options_.bounds));
      }
      const auto of_worker = run_times_.speeds().SpeedOf(it.worker);
      if (&it == &unit->members.front() || of_worker.speed < speed.speed) {
        speed = of_worker;
      }
    }
    const auto expected = run_times_.RunTimeOf(
        KindOf(*run.job->job), run.step->run_time_estimate, speed);
    unit->expected_run_time = base::Duration(static_cast<std::int64_t>(
        rack_factor * static_cast<double>(expected.median.count())));
  }
}

void OwnedService::LogRunTime(const Unit& unit) {
  const auto& run = *unit.step_run;
  // A later run may have resumed from a checkpoint.
  const bool is_comparable = unit.expected_run_time > base::Duration(0) &&
                             !run.step->is_service && unit.last_run == 1;
  if (!is_comparable) return;
  const auto now = dependencies_.loop.Now();
  const auto actual = now - unit.started_at;
  if (dependencies_.metrics != nullptr) {
    dependencies_.metrics->Observe(
        "lapishatch_run_time_ratio",
        {{"organisation", run.job->job->organisation.str()}},
        std::chrono::duration<double>(actual) /
            std::chrono::duration<double>(unit.expected_run_time));
  }
  constexpr base::Duration kMinLogInterval{500};
  if (now - run_time_logged_at_ < kMinLogInterval) return;
  run_time_logged_at_ = now;
  base::Log(base::events::kRunTimeObserved,
            {{"request", run.job->job->name},
             {"task", TextOf(JobTracker::NameOf(unit, 0))},
             {"worker", unit.members.front().worker},
             {"predicted_ms", unit.expected_run_time.count()},
             {"estimate_ms", run.step->run_time_estimate.count()},
             {"actual_ms", actual.count()}});
}

void OwnedService::ForgetRunTimes(const base::JobName& job) {
  run_times_.speeds().Forget(job);
}

}  // namespace lapishatch::dispatch::internal
