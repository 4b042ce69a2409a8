#include "dispatch/internal/worker_health.h"

namespace lapishatch::dispatch::internal {

bool WorkerHealth::OnEnded(const base::WorkerName& worker,
                           const base::JobName& job, TaskOutcome kind,
                           std::size_t fleet_size, base::TimePoint now) {
  if (kind == TaskOutcome::kDone) {
    records_.erase(worker);
    failed_at_.erase(worker);
    return false;
  }
  if (kind != TaskOutcome::kFailed) return false;
  failed_at_[worker] = now;
  auto& record = records_[worker];
  ++record.failures;
  record.jobs.insert(job);
  const bool is_bad = record.failures >= options_.min_failures &&
                      record.jobs.size() >= options_.min_jobs;
  if (!is_bad) return false;
  records_.erase(worker);
  return quarantine_.Add(worker, fleet_size, now);
}

bool WorkerHealth::IsSuspect(const base::WorkerName& worker,
                             base::TimePoint now) const {
  const auto it = failed_at_.find(worker);
  return it != failed_at_.end() && now - it->second < options_.suspect_duration;
}

void WorkerHealth::Remove(const base::WorkerName& worker) {
  records_.erase(worker);
  failed_at_.erase(worker);
  quarantine_.Remove(worker);
}

}  // namespace lapishatch::dispatch::internal
