#ifndef LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNTER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNTER_H_

#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/internal/job_book.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// Writes how many jobs of each queue wait, when that has changed, on condition
/// that the owner is still the same.
class WaitingCounter {
 public:
  WaitingCounter(base::EventLoop& loop, store::RowStore& store,
                 std::string part, store::RowVersion fence,
                 const JobBook& book);
  ~WaitingCounter();
  WaitingCounter(const WaitingCounter&) = delete;
  WaitingCounter& operator=(const WaitingCounter&) = delete;

  /// Begins to write, and goes on as long as this object lives.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WAITING_COUNTER_H_
