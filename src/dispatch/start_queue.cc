#include "dispatch/internal/start_queue.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace lapishatch::dispatch::internal {

DeadlineStatus DeadlineStatusOf(const StepRun& run,
                                const TaskPlannerOptions& options,
                                base::TimePoint now) {
  const auto& job = *run.job;
  const auto left = base::Duration(static_cast<std::int64_t>(
      options.required_time_share *
      static_cast<double>(run.critical_path.count())));
  const auto begin = run.due_ms > 0 ? run.ready_since : job.accepted_at;
  if (now + left > begin + options.expiry_factor * job.latency_objective) {
    return DeadlineStatus::kExpired;
  }
  return now + left > begin + job.latency_objective ? DeadlineStatus::kLate
                                                    : DeadlineStatus::kInTime;
}

std::vector<StepRun*> SortedReadySteps(const JobTracker& tracker,
                                       const Guarantees& guarantees,
                                       const TaskPlannerOptions& options,
                                       base::TimePoint now) {
  const auto key = [&](StepRun* it) {
    const auto& job = *it->job;
    const auto status = DeadlineStatusOf(*it, options, now);
    const bool is_urgent = job.job->priority == kUrgentPriority;
    const auto latest =
        job.accepted_at + job.latency_objective - it->critical_path;
    const std::string_view name = job.job->name.str();
    return std::tuple(
        guarantees.ClassOf(job), status == DeadlineStatus::kExpired,
        status == DeadlineStatus::kLate && !is_urgent, job.job->priority,
        status, latest, name, it->occurrence, it->number, it);
  };
  std::vector<decltype(key(nullptr))> keys;
  keys.reserve(tracker.ready().size());
  for (auto* it : tracker.ready()) keys.push_back(key(it));
  std::sort(keys.begin(), keys.end());
  std::vector<StepRun*> out;
  out.reserve(keys.size());
  for (const auto& it : keys) out.push_back(std::get<StepRun*>(it));
  return out;
}

}  // namespace lapishatch::dispatch::internal
