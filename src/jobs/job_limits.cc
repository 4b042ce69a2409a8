#include "jobs/job_limits.h"

#include <algorithm>
#include <initializer_list>
#include <tuple>

namespace lapishatch::jobs {
namespace {

/// Largest count of runs, failures or losses in a record. Counts that start
/// here can be increased without overflow.
constexpr int kMaxRecordedCount = 1'000'000'000;

bool IsJobNumber(std::int64_t n) { return n >= 0 && n <= kMaxJobNumber; }

std::optional<JobLimit> FindExceededLimit(const Step& step, int number) {
  if (step.tasks < 1) return JobLimit::kTasks;
  const auto& needs = step.needs;
  for (const auto it :
       {needs.cpu_millis, needs.memory_mb, needs.accelerators}) {
    if (!IsJobNumber(it)) return JobLimit::kResources;
  }
  if (!IsJobNumber(step.run_time_estimate.count())) return JobLimit::kRunTime;
  for (const int it : step.depends_on) {
    if (it < 0 || it >= number) return JobLimit::kDependencies;
  }
  if (step.max_tasks_per_worker < 0) return JobLimit::kTasksPerWorker;
  return std::nullopt;
}

bool IsRecordedCount(int n) { return n >= 0 && n <= kMaxRecordedCount; }

bool AreLossesOf(const std::vector<TaskLosses>& losses, int tasks_per_unit) {
  return std::all_of(losses.begin(), losses.end(), [&](const TaskLosses& it) {
    return it.member >= 0 && it.member < tasks_per_unit &&
           IsRecordedCount(it.crashes) && IsRecordedCount(it.suspicion) &&
           IsRecordedCount(it.unproved) && IsRecordedCount(it.retries);
  });
}

bool IsRecordOf(const UnitRecord& record, const Job& job) {
  const bool has_step =
      record.occurrence >= 0 && record.occurrence < OccurrenceCount(job) &&
      record.step >= 0 && record.step < static_cast<int>(job.steps.size());
  if (!has_step) return false;
  const auto& step = job.steps[static_cast<std::size_t>(record.step)];
  const int units = step.is_gang ? 1 : step.tasks;
  if (record.index < 0 || record.index >= units) return false;
  const int tasks_per_unit = step.is_gang ? step.tasks : 1;
  const bool has_counts = IsRecordedCount(record.failures) &&
                          IsRecordedCount(record.last_failed_run) &&
                          IsRecordedCount(record.last_run) &&
                          AreLossesOf(record.losses, tasks_per_unit);
  if (!has_counts) return false;
  if (record.phase != UnitPhase::kStarted) return true;
  return record.last_run >= 1 &&
         record.workers.size() == static_cast<std::size_t>(tasks_per_unit);
}

}  // namespace

std::optional<JobLimit> FindExceededLimit(const std::vector<Step>& steps,
                                          const Schedule& schedule) {
  if (steps.empty() || steps.size() > kMaxStepsPerJob) return JobLimit::kSteps;
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const auto exceeded = FindExceededLimit(steps[i], static_cast<int>(i));
    if (exceeded) return exceeded;
    tasks += steps[i].tasks;
  }
  if (schedule.repeat_count < 0) return JobLimit::kRepetitions;
  const std::int64_t occurrences = std::max(schedule.repeat_count, 1);
  if (tasks > kMaxTasksPerJob / occurrences) return JobLimit::kTasks;
  if (schedule.first_due_ms < 0 || !IsJobNumber(schedule.interval_ms)) {
    return JobLimit::kDueTimes;
  }
  const auto span = (occurrences - 1) * schedule.interval_ms;
  const auto latest = std::numeric_limits<std::int64_t>::max();
  if (schedule.first_due_ms > latest - span) return JobLimit::kDueTimes;
  return std::nullopt;
}

bool IsProgressOf(const JobProgress& progress, const Job& job) {
  const auto position = [](const UnitRecord& it) {
    return std::tie(it.occurrence, it.step, it.index);
  };
  const auto& units = progress.units;
  const bool has_duplicate =
      std::adjacent_find(units.begin(), units.end(),
                         [&](const UnitRecord& a, const UnitRecord& b) {
                           return position(a) == position(b);
                         }) != units.end();
  return !has_duplicate &&
         std::all_of(units.begin(), units.end(),
                     [&](const UnitRecord& it) { return IsRecordOf(it, job); });
}

}  // namespace lapishatch::jobs
