#ifndef LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_

#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// Writes how many jobs of each queue wait, when that has changed, on condition
/// that the owner is still the same.
class WaitingCountWriter {
 public:
  WaitingCountWriter(base::EventLoop& loop, store::RowStore& store,
                     std::string part, store::RowVersion fence,
                     const JobTracker& tracker);
  ~WaitingCountWriter();
  WaitingCountWriter(const WaitingCountWriter&) = delete;
  WaitingCountWriter& operator=(const WaitingCountWriter&) = delete;

  /// Begins to write, and goes on as long as this object lives.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNT_WRITER_H_
