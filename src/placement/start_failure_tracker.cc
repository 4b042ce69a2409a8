#include "placement/start_failure_tracker.h"

#include <algorithm>

namespace lapishatch::placement {

FailureCause StartFailureTracker::RecordFailure(const base::JobName& job,
                                                const base::WorkerName& worker,
                                                base::TimePoint now) {
  Expire(now);
  Erase(job, worker);
  failures_.push_back({now, job, worker});
  by_job_[job].insert(worker);
  by_worker_[worker].insert(job);
  if (IsJobAtFault(job)) return FailureCause::kJob;
  if (CountFailedJobs(worker) >= options_.min_jobs_failed_on_worker) {
    return FailureCause::kWorker;
  }
  return FailureCause::kUnknown;
}

bool StartFailureTracker::IsJobAtFault(const base::JobName& job) const {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return false;
  // A worker on which many jobs fail is no evidence against this job.
  const auto sound_workers = std::count_if(
      it->second.begin(), it->second.end(), [&](const auto& worker) {
        const auto& jobs = by_worker_.at(worker);
        const auto others =
            std::count_if(jobs.begin(), jobs.end(), [&](const auto& other) {
              return other != job && by_job_.at(other).size() <
                                         options_.min_workers_failed_by_job;
            });
        return static_cast<std::size_t>(others) <
               options_.min_jobs_failed_on_worker;
      });
  return static_cast<std::size_t>(sound_workers) >=
         options_.min_workers_failed_by_job;
}

std::size_t StartFailureTracker::CountFailedJobs(
    const base::WorkerName& worker) const {
  const auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(it->second.begin(), it->second.end(),
                    [&](const auto& job) { return !IsJobAtFault(job); }));
}

void StartFailureTracker::RecordStart(const base::JobName& job,
                                      const base::WorkerName& worker) {
  // A successful start shows that the worker can start jobs and the job can
  // start.
  Forget(worker);
  Forget(job);
}

void StartFailureTracker::Forget(const base::JobName& job) {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return;
  const auto workers = it->second;
  for (const auto& worker : workers) Erase(job, worker);
}

void StartFailureTracker::Forget(const base::WorkerName& worker) {
  const auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) return;
  const auto jobs = it->second;
  for (const auto& job : jobs) Erase(job, worker);
}

std::vector<base::WorkerName> StartFailureTracker::FailedOn(
    const base::JobName& job) const {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return {};
  return {it->second.begin(), it->second.end()};
}

void StartFailureTracker::Expire(base::TimePoint now) {
  while (!failures_.empty() &&
         (now - failures_.front().when > options_.window ||
          failures_.size() >= options_.max_failures)) {
    const auto oldest = failures_.front();
    Erase(oldest.job, oldest.worker);
  }
}

void StartFailureTracker::Erase(const base::JobName& job,
                                const base::WorkerName& worker) {
  std::erase_if(failures_, [&](const Failure& it) {
    return it.job == job && it.worker == worker;
  });
  const auto by_job = by_job_.find(job);
  if (by_job != by_job_.end()) {
    by_job->second.erase(worker);
    if (by_job->second.empty()) by_job_.erase(by_job);
  }
  const auto by_worker = by_worker_.find(worker);
  if (by_worker != by_worker_.end()) {
    by_worker->second.erase(job);
    if (by_worker->second.empty()) by_worker_.erase(by_worker);
  }
}

}  // namespace lapishatch::placement
