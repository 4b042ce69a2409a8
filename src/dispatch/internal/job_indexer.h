#ifndef LAPISHATCH_DISPATCH_INTERNAL_JOB_INDEXER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_JOB_INDEXER_H_

#include <functional>
#include <memory>

#include "base/base.h"
#include "jobs/jobs.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// Keeps the index entries of one service's jobs on behalf of its owner: adds
/// those of requests that an earlier version stored without one, and removes
/// those of removed jobs. Does nothing for the home service, whose requests
/// need no entries.
class JobIndexer {
 public:
  JobIndexer(base::EventLoop& loop, store::RowStore& store,
             base::ServiceName service);
  ~JobIndexer();
  JobIndexer(const JobIndexer&) = delete;
  JobIndexer& operator=(const JobIndexer&) = delete;

  /// Notes that a request has no entry.
  void AddUnindexed(const base::JobName& name);

  /// Continues to add missing entries, a bounded number at a time. To be called
  /// periodically.
  void Update();

  /// Whether it is known where the entries lie; Remove needs this.
  bool is_ready() const;

  /// Removes the entry of a job, if it has one. `done` receives whether the
  /// store has confirmed it.
  void Remove(const base::JobName& name, std::function<void(bool)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_JOB_INDEXER_H_
