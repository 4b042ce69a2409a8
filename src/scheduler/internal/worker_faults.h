#ifndef LAPISHATCH_SCHEDULER_INTERNAL_WORKER_FAULTS_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_WORKER_FAULTS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/base.h"

namespace lapishatch::scheduler::internal {

/// Counts tasks that fail right after their start, by worker. A worker at which
/// several different jobs have failed in a row is quarantined, for a time that
/// grows with each quarantine; at most a share of the cell at once.
class WorkerFaults {
 public:
  WorkerFaults(double max_share, std::uint64_t seed)
      : max_share_(max_share), random_(seed) {}

  /// A task of `job` failed early. Returns whether the worker is quarantined
  /// from now on.
  bool Failed(const base::WorkerName& worker, const base::JobName& job,
              std::size_t workers_in_cell, base::TimePoint now) {
    auto& record = records_[worker];
    record.failed.insert(job);
    if (record.failed.size() < kJobsToCondemn || record.until) return false;
    const auto limit = max_share_ * static_cast<double>(workers_in_cell);
    if (static_cast<double>(quarantined_ + 1) > std::max(limit, 1.0)) {
      return false;
    }
    record.until = now + record.backoff.Next(random_);
    ++quarantined_;
    return true;
  }

  /// A task got past its start.
  void Succeeded(const base::WorkerName& worker) {
    const auto it = records_.find(worker);
    if (it == records_.end() || it->second.until) return;
    records_.erase(it);
  }

  bool IsQuarantined(const base::WorkerName& worker) const {
    const auto it = records_.find(worker);
    return it != records_.end() && it->second.until.has_value();
  }

  /// Releases whom the time has come for, and returns them: the next early
  /// failure puts them back for longer.
  std::vector<base::WorkerName> Release(base::TimePoint now) {
    std::vector<base::WorkerName> out;
    for (auto& [worker, record] : records_) {
      if (!record.until || *record.until > now) continue;
      record.until.reset();
      --quarantined_;
      out.push_back(worker);
    }
    return out;
  }

 private:
  static constexpr std::size_t kJobsToCondemn = 3;

  struct Record {
    /// Different jobs that failed since the last success.
    std::set<base::JobName> failed;
    std::optional<base::TimePoint> until;
    base::Backoff backoff{base::Duration(60'000), base::Duration(3'600'000)};
  };

  double max_share_;
  base::Random random_;
  std::size_t quarantined_ = 0;
  std::unordered_map<base::WorkerName, Record> records_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_WORKER_FAULTS_H_
