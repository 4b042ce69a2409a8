#ifndef LAPISHATCH_DISPATCH_SERVICE_OWNERS_H_
#define LAPISHATCH_DISPATCH_SERVICE_OWNERS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/base.h"
#include "dispatch/service_owner.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

struct ServiceOwnersOptions {
  /// Interval of the searches for services with jobs. Each costs one call to
  /// the store for a thousand request partitions.
  base::Duration search_interval{30'000};
  /// Pause after a search that failed.
  base::Duration search_retry{1'000};
  /// A service without queues is given up when no search has found a job of it
  /// for this long. Longer than a process may accept jobs by an outdated
  /// configuration, and than the store may delay a write.
  base::Duration retention{60'000};
};

/// The owners of one process: one for each service to which queues send jobs,
/// and one for each other service that still has jobs. What a service has
/// accepted is run by it, whatever the configuration says later, so a service
/// needs an owner until the last of its jobs is removed. Processes that have
/// never seen a configuration with the service find it by its requests in the
/// store.
class ServiceOwners {
 public:
  /// Creates the owner of a service, which this class starts.
  using OwnerFactory = std::function<std::unique_ptr<ServiceOwner>(
      const base::ServiceName& service)>;

  ServiceOwners(base::EventLoop& loop, store::RowStore& store,
                OwnerFactory factory, ServiceOwnersOptions options);
  ~ServiceOwners();
  ServiceOwners(const ServiceOwners&) = delete;
  ServiceOwners& operator=(const ServiceOwners&) = delete;

  /// Begins to search for services with jobs.
  void Start();

  /// Sets the services to which the queues in force send jobs.
  void SetConfigured(std::set<base::ServiceName> services);

  /// The services that may have jobs, as far as this process knows, in order of
  /// name.
  std::vector<base::ServiceName> services() const;

  /// See ServiceOwner.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);
  void PutWorker(const WorkerRegistration& registration);
  void RemoveWorker(const base::WorkerName& name);
  /// Forgets the workers put so far, which owners to be created would get.
  void ForgetWorkers();

  /// Releases all services. `done` is called once all releases are in the
  /// store; during an outage of the store that may never happen.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_SERVICE_OWNERS_H_
