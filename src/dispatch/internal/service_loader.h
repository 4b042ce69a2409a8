#ifndef LAPISHATCH_DISPATCH_INTERNAL_SERVICE_LOADER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_SERVICE_LOADER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "jobs/jobs.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// The state of a service that a new owner reads from the store.
struct LoadedService {
  /// Versions of the fence rows, by partition.
  std::vector<store::RowVersion> fence_versions;
  std::map<base::JobName, store::StoredRow> progress_rows;
};

/// Fences off former owners in every partition of a service, then reads the
/// progress that they recorded there, several partitions in parallel. Retries
/// until it has read everything or finds a later owner.
class ServiceLoader {
 public:
  ServiceLoader(base::EventLoop& loop, store::RowStore& store,
                const base::ServiceName& service, Epoch epoch,
                std::function<void(LoadedService)> on_loaded,
                std::function<void(const std::string&)> on_lost);
  ~ServiceLoader();
  ServiceLoader(const ServiceLoader&) = delete;
  ServiceLoader& operator=(const ServiceLoader&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_SERVICE_LOADER_H_
