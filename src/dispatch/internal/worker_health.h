#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_

#include <map>
#include <set>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "placement/worker_quarantine.h"

namespace lapishatch::dispatch::internal {

struct WorkerHealthOptions {
  /// Number of consecutive failures on a worker, without a success in between,
  /// after which it is quarantined. Tasks sometimes fail through their own
  /// fault, so fewer failures may be chance.
  int min_failures = 3;
  /// Minimum number of different jobs among these failures: a job that cannot
  /// succeed fails on any worker.
  std::size_t min_jobs = 2;
  /// How long after a failure a worker is suspect, unless a task succeeds
  /// there. A worker that fails all its tasks does so at once and for seconds,
  /// so after a single failure tasks that fit elsewhere avoid it. Otherwise
  /// both attempts of a job could fail on such workers.
  base::Duration suspect_duration{8'000};
  /// A quarantined worker gets tasks on trial after a pause that grows with
  /// each quarantine.
  placement::WorkerQuarantine::Options quarantine{0.2, base::Duration(4'000),
                                                  base::Duration(60'000),
                                                  base::Duration(60'000), 1};
};

/// Detects workers on which tasks fail. Such a worker always has free
/// resources, so it would take one task after another and use up their
/// attempts. Has no clock and does no I/O.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options)
      : options_(options), quarantine_(options.quarantine) {}

  /// Handles the end of a task on a worker of a fleet of `fleet_size`. Returns
  /// true if this quarantines the worker.
  bool OnEnded(const base::WorkerName& worker, const base::JobName& job,
               TaskOutcome kind, std::size_t fleet_size, base::TimePoint now);

  /// Whether a task failed on the worker recently and none has succeeded since.
  bool IsSuspect(const base::WorkerName& worker, base::TimePoint now) const;

  /// Quarantines a worker for another reason. Returns false if it is already
  /// quarantined or too many workers are.
  bool Quarantine(const base::WorkerName& worker, std::size_t fleet_size,
                  base::TimePoint now) {
    return quarantine_.Add(worker, fleet_size, now);
  }

  /// Releases the workers whose quarantine has expired.
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
  /// When a task last failed on each worker; erased by a success.
  std::map<base::WorkerName, base::TimePoint> failed_at_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_HEALTH_H_
