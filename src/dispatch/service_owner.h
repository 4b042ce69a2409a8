#ifndef LAPISHATCH_DISPATCH_SERVICE_OWNER_H_
#define LAPISHATCH_DISPATCH_SERVICE_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/bounds.h"
#include "dispatch/evacuations.h"
#include "dispatch/owner_fitness.h"
#include "dispatch/owner_lease.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

/// Dependencies of an owner. The referenced objects must outlive it.
struct ServiceOwnerDependencies {
  base::EventLoop& loop;
  store::RowStore& store;
  WorkerClient& worker_client;
  /// Returns the total time for which this VM has been suspended.
  std::function<base::Duration()> suspended_time;
  /// Returns the time in milliseconds since 1970.
  std::function<std::int64_t()> unix_ms;
  /// May be null.
  base::MetricRegistry* metrics = nullptr;
  /// Called when this process acquires or loses the service. PutWorker and
  /// RemoveWorker are needed only while it is the owner, and all workers must
  /// be put again after each acquisition. May be empty.
  std::function<void(bool is_owner)> on_ownership_change = nullptr;
  /// Returns the evacuations last read. Empty where operators cannot request
  /// evacuations.
  std::function<const Evacuations&()> evacuations = nullptr;
  /// Returns when the workers' registrations were last read in full. Empty
  /// where they are always current.
  std::function<base::TimePoint()> registrations_read_at = nullptr;
};

struct ServiceOwnerOptions {
  OwnerLeaseOptions lease;
  Bounds bounds;
  /// An owner that cannot reach the store continues to renew worker leases for
  /// this long after the last renewal of its own lease, so that running tasks
  /// survive an outage. Its successors wait until these leases have ended, at
  /// most OwnerLeaseOptions::outage_lease_limit after that renewal, before they
  /// restart the tasks of an unreachable worker elsewhere.
  base::Duration outage_renewal_limit{8'000};
  /// Longest time from a decision until its order reaches the worker. The
  /// worker refuses orders that a suspended process sends later.
  base::Duration start_validity{1'500};
  base::Duration start_timeout{500};
  /// No task starts if the evacuations were last confirmed longer ago than
  /// this: an order sent later could reach a domain after its evacuation is in
  /// force.
  base::Duration max_evacuations_age{3'000};
  /// No task starts if the workers' registrations were last read longer ago
  /// than this: their capacities may have been reduced since.
  base::Duration max_registrations_age{1'000};
  base::Duration stop_timeout{600};
  /// A stop is sent again until the worker lists the end of the task.
  base::Duration stop_retry_interval{500};
  /// A task that still runs this long after it had to stop is logged.
  base::Duration stop_overdue_after{2'000};
  int max_start_attempts = 3;
  OwnerFitnessOptions fitness;
  /// A worker that refused an order as unhealthy or for lack of capacity gets
  /// no further starts for this long.
  base::Duration refusal_backoff{1'000};
  /// A run whose progress, in whole percent, has not changed for this long and
  /// for this share of its estimate is started elsewhere. One percent takes a
  /// hundredth of the estimate, and up to 24 times that on a slow worker
  /// outside its rack. The limit detects workers that stall permanently; it
  /// tolerates shorter stalls, since stopping a run loses its work.
  base::Duration stalled_after{8'000};
  double stalled_estimate_share = 0.3;
  /// Least time between two decision rounds, and the same as a multiple of the
  /// duration of the last round.
  base::Duration min_decision_interval{10};
  int decision_pause_factor = 3;
  /// Interval of the checks for expired leases, exceeded waits and due work.
  base::Duration tick_interval{100};
  /// Ended jobs are removed after this time.
  base::Duration ended_job_retention{180'000};
};

/// The options of an owner that meets `bounds`, which must pass ValidateBounds.
ServiceOwnerOptions OwnerOptionsFor(const Bounds& bounds);

/// Takes part in the ownership of a service on behalf of one process. The owner
/// starts, stops and records the tasks of the service's jobs; a process that is
/// not the owner is a candidate for ownership.
class ServiceOwner {
 public:
  ServiceOwner(ServiceOwnerDependencies dependencies, base::ServiceName service,
               const std::string& vm, ServiceOwnerOptions options);
  ~ServiceOwner();
  ServiceOwner(const ServiceOwner&) = delete;
  ServiceOwner& operator=(const ServiceOwner&) = delete;

  void Start();

  /// Adds or updates a registered worker. Ignores workers of other services and
  /// removes a known worker that has moved to another service.
  void PutWorker(const WorkerRegistration& registration);

  /// Handles the removal of a worker's registration. Its tasks count as ended
  /// only once its lease has expired.
  void RemoveWorker(const base::WorkerName& name);

  /// Sets the number of accelerators guaranteed to each organisation for urgent
  /// jobs.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

  /// Releases the service. `done` is called once the release is in the store;
  /// during an outage of the store that may never happen.
  void Stop(std::function<void()> done);

  bool is_owner() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_SERVICE_OWNER_H_
