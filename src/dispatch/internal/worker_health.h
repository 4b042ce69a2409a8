#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_

#include <map>
#include <set>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "placement/worker_quarantine.h"

namespace lapishatch::dispatch::internal {

struct WorkerHealthOptions {
  /// Failures in a row, with no task ending well in between, that put a worker
  /// out. Tasks fail by their own fault now and then, so that fewer in a row
  /// may well be chance.
  int min_failures = 3;
  /// Of so many jobs at least: a job that can never be done fails anywhere.
  std::size_t min_jobs = 2;
  /// For so long after a failure, unless a task ends well there in between, a
  /// worker is suspect. A worker that fails all it starts does so for seconds
  /// and at once, so one failure is enough to send elsewhere what has other
  /// places: otherwise both attempts of a job fall on such workers.
  base::Duration suspect_duration{8'000};
  /// A worker that failed several jobs in a row gets work on trial after a
  /// pause that grows.
  placement::WorkerQuarantine::Options quarantine{0.2, base::Duration(4'000),
                                                  base::Duration(60'000),
                                                  base::Duration(60'000), 1};
};

/// Finds workers that fail what they start. Such a worker always has room, so
/// it would take one task after another and use up their attempts. Pure.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options)
      : options_(options), quarantine_(options.quarantine) {}

  /// A task ended on a worker of a fleet of `fleet_size`. True when the worker
  /// is put out by it.
  bool OnEnded(const base::WorkerName& worker, const base::JobName& job,
               TaskOutcome kind, std::size_t fleet_size, base::TimePoint now);

  /// Whether the worker has lately failed a task and ended none well since.
  bool IsSuspect(const base::WorkerName& worker, base::TimePoint now) const;

  /// Puts a worker out for another reason. False when it is out, or too many
  /// are.
  bool Quarantine(const base::WorkerName& worker, std::size_t fleet_size,
                  base::TimePoint now) {
    return quarantine_.Add(worker, fleet_size, now);
  }

  /// Lets in again whose time is over.
  void ReleaseExpired(base::TimePoint now) { quarantine_.ReleaseExpired(now); }

  void Remove(const base::WorkerName& worker);

  bool IsQuarantined(const base::WorkerName& worker) const {
    return quarantine_.Contains(worker);
  }

 private:
  struct Record {
    int failures = 0;
    std::set<base::JobName> jobs;
  };

  const WorkerHealthOptions options_;
  placement::WorkerQuarantine quarantine_;
  std::map<base::WorkerName, Record> records_;
  /// When each worker last failed a task, until one ends well there.
  std::map<base::WorkerName, base::TimePoint> failed_at_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_
