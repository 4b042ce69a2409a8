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

/// What a new owner finds in the store.
struct LoadedService {
  /// Versions of the fence rows, by part.
  std::vector<store::RowVersion> fence_versions;
  std::map<base::JobName, store::StoredRow> progress_rows;
};

/// Fences off former owners in every part of a service and then reads what they
/// recorded there, all parts at once. Goes on until it is done or another owner
/// is seen.
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
