#include "placement/failure_ledger.h"

#include <algorithm>

namespace lapishatch::placement {

Blame FailureLedger::Failed(const base::JobName& job,
                            const base::WorkerName& worker,
                            base::TimePoint now) {
  Expire(now);
  Erase(job, worker);
  order_.push_back({now, job, worker});
  by_job_[job].insert(worker);
  by_worker_[worker].insert(job);
  if (JobBlamed(job)) return Blame::kJob;
  if (WitnessesAgainst(worker) >= options_.jobs_to_blame_worker) {
    return Blame::kWorker;
  }
  return Blame::kNobody;
}

bool FailureLedger::JobBlamed(const base::JobName& job) const {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return false;
  // Workers that fail everybody say nothing about this job.
  const auto sound =
      std::count_if(it->second.begin(), it->second.end(), [&](const auto& on) {
        const auto& jobs = by_worker_.at(on);
        const auto others =
            std::count_if(jobs.begin(), jobs.end(), [&](const auto& other) {
              return other != job &&
                     by_job_.at(other).size() < options_.workers_to_blame_job;
            });
        return static_cast<std::size_t>(others) < options_.jobs_to_blame_worker;
      });
  return static_cast<std::size_t>(sound) >= options_.workers_to_blame_job;
}

std::size_t FailureLedger::WitnessesAgainst(
    const base::WorkerName& worker) const {
  const auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(it->second.begin(), it->second.end(),
                    [&](const auto& job) { return !JobBlamed(job); }));
}

void FailureLedger::Started(const base::JobName& job,
                            const base::WorkerName& worker) {
  // It can start something, and the job can start somewhere.
  Forget(worker);
  Forget(job);
}

void FailureLedger::Forget(const base::JobName& job) {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return;
  const auto workers = it->second;
  for (const auto& worker : workers) Erase(job, worker);
}

void FailureLedger::Forget(const base::WorkerName& worker) {
  const auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) return;
  const auto jobs = it->second;
  for (const auto& job : jobs) Erase(job, worker);
}

std::vector<base::WorkerName> FailureLedger::FailedOn(
    const base::JobName& job) const {
  const auto it = by_job_.find(job);
  if (it == by_job_.end()) return {};
  return {it->second.begin(), it->second.end()};
}

void FailureLedger::Expire(base::TimePoint now) {
  while (!order_.empty() && (now - order_.front().when > options_.window ||
                             order_.size() >= options_.limit)) {
    const auto oldest = order_.front();
    Erase(oldest.job, oldest.worker);
  }
}

void FailureLedger::Erase(const base::JobName& job,
                          const base::WorkerName& worker) {
  std::erase_if(order_, [&](const Failure& it) {
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
