#ifndef LAPISHATCH_DISPATCH_SERVICE_OWNER_H_
#define LAPISHATCH_DISPATCH_SERVICE_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/bounds.h"
#include "dispatch/evacuations.h"
#include "dispatch/owner_lease.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

/// What an owner works with. All must outlive it.
struct ServiceOwnerDependencies {
  base::EventLoop& loop;
  store::RowStore& store;
  WorkerClient& worker_client;
  /// For how long this VM has been suspended in all.
  std::function<base::Duration()> suspended_time;
  /// Milliseconds since 1970.
  std::function<std::int64_t()> unix_ms;
  /// May be null.
  base::MetricRegistry* metrics = nullptr;
  /// Called when this process begins or ceases to own the service: it needs to
  /// hear of workers only in between, and of all of them each time it begins.
  /// May be empty.
  std::function<void(bool is_owner)> on_ownership_change = nullptr;
  /// What is being evacuated, as it is known now. Empty where operators have no
  /// way to ask for it.
  std::function<const Evacuations&()> evacuations = nullptr;
  /// When the workers' registrations were last read in full. Empty where they
  /// are always current.
  std::function<base::TimePoint()> registrations_read_at = nullptr;
};

struct ServiceOwnerOptions {
  OwnerLeaseOptions lease;
  Bounds bounds;
  /// An owner that misses the store goes on renewing leases at workers for so
  /// long after its last renewal, so that what runs outlives an outage. A
  /// successor waits as long before it starts elsewhere what was last on a
  /// worker that it does not reach.
  base::Duration outage_renewal_limit{8'000};
  /// No lease at a worker reaches further beyond that renewal, so that the
  /// successor's wait is no longer than an outage asks for.
  base::Duration outage_lease_limit{11'000};
  /// Most time from a decision to its order at the worker: what a suspended
  /// process sends later is refused as late.
  base::Duration start_validity{1'500};
  base::Duration start_timeout{500};
  /// Nothing starts once the evacuations were confirmed longer ago: an order
  /// sent later could reach a domain after its evacuation is in force.
  base::Duration max_evacuations_age{3'000};
  /// Nothing starts if the workers' registrations were last read longer ago
  /// than this: their capacities may have been reduced since.
  base::Duration max_registrations_age{1'000};
  base::Duration stop_timeout{600};
  /// A stop is sent again until its end is listed.
  base::Duration stop_retry_interval{500};
  int max_start_attempts = 3;
  /// A worker that refused for want of health or room gets nothing for so long.
  base::Duration refusal_backoff{1'000};
  /// A run whose progress, in whole percents, has not moved for so long,
  /// and for this share of its estimate, is started elsewhere. One percent
  /// takes a hundredth of the estimate, and up to 24 times that on a slow
  /// worker off its rack. It guards against workers that stand still for good;
  /// shorter stands are better sat out, as a stopped run is lost.
  base::Duration stalled_after{8'000};
  double stalled_estimate_share = 0.3;
  /// Least time between two rounds of decisions, and that time as a multiple of
  /// what the last one took.
  base::Duration min_decision_interval{10};
  int decision_pause_factor = 3;
  /// Between two looks at what has lapsed, waits too long or is due.
  base::Duration tick_interval{100};
  /// Jobs that ended so long ago are removed.
  base::Duration ended_job_retention{180'000};
};

/// The options of an owner that keeps to `bounds`, which have no problem.
ServiceOwnerOptions OwnerOptionsFor(const Bounds& bounds);

/// One process's part in owning a service: as the owner it starts, stops and
/// records the tasks of the service's jobs; otherwise it waits to become it.
class ServiceOwner {
 public:
  ServiceOwner(ServiceOwnerDependencies ports, base::ServiceName service,
               const std::string& vm, ServiceOwnerOptions options);
  ~ServiceOwner();
  ServiceOwner(const ServiceOwner&) = delete;
  ServiceOwner& operator=(const ServiceOwner&) = delete;

  void Start();

  /// A worker has registered or changed; workers of other services are passed
  /// over, and one that has become such is removed.
  void PutWorker(const WorkerRegistration& registration);

  /// A worker's registration is gone. What runs there is over only when its
  /// lease is.
  void RemoveWorker(const base::WorkerName& name);

  /// Accelerators that each organisation is guaranteed for urgent jobs.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

  /// Hands the service over; `done` is called when that is written, which may
  /// be never while the store is out.
  void Stop(std::function<void()> done);

  bool is_owner() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_SERVICE_OWNER_H_
