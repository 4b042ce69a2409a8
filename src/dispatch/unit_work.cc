#include "dispatch/internal/unit_work.h"

#include <algorithm>
#include <chrono>

#include "dispatch/fleet.h"

namespace lapishatch::dispatch::internal {

double SecondsOf(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

double WeightedCores(const jobs::Step& step) {
  constexpr double kMillisPerCore = 1'000;
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(step.needs.cpu_millis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(step.needs.accelerators);
}

double EstimatedWork(const StepRun& run) {
  return WeightedCores(*run.step) * run.TasksPerUnit() *
         SecondsOf(run.step->run_time_estimate);
}

double LostWork(const Unit& unit, base::TimePoint now) {
  const auto last_saved_at = std::max(unit.started_at, unit.checkpointed_at);
  return SecondsOf(now - last_saved_at) * WeightedCores(*unit.step_run->step) *
         unit.step_run->TasksPerUnit();
}

bool IsLastAttempt(const Unit& unit) {
  const auto& run = *unit.step_run;
  return !run.step->is_service &&
         unit.failures + 1 >= run.job->job->max_attempts;
}

jobs::Resources RemainingNeeds(const JobEntry& job) {
  jobs::Resources out;
  for (const auto& runs : job.runs) {
    for (const auto& it : runs) {
      if (it.pending_dependencies > 0 || !it.is_due) continue;
      const auto units =
          static_cast<std::int64_t>(it.units.size()) - it.units_done;
      const auto tasks = units * it.TasksPerUnit();
      const auto needs = ResourcesPerTask(*it.step);
      out += {tasks * needs.cpu_millis, tasks * needs.memory_mb,
              tasks * needs.accelerators};
    }
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
