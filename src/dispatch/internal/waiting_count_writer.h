#ifndef LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_

#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// Writes the number of waiting jobs of each queue to the store when it has
/// changed, on condition that the owner fence is unchanged.
class WaitingCountWriter {
 public:
  WaitingCountWriter(base::EventLoop& loop, store::RowStore& store,
                     std::string partition, store::RowVersion fence,
                     const JobTracker& tracker);
  ~WaitingCountWriter();
  WaitingCountWriter(const WaitingCountWriter&) = delete;
  WaitingCountWriter& operator=(const WaitingCountWriter&) = delete;

  /// Writes now and periodically until this object is destroyed.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_
