#ifndef LAPISHATCH_DISPATCH_INTERNAL_JOB_REMOVER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_JOB_REMOVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/job_indexer.h"
#include "jobs/jobs.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

struct JobRemoverOptions {
  /// Time from the end of a job until its removal.
  base::Duration retention{180'000};
  /// Jobs with outstanding calls to the store. Bounds the load on a store that
  /// returns after an outage.
  std::size_t max_in_flight = 16;
  base::Duration initial_backoff{200};
  base::Duration max_backoff{5'000};
};

/// Removes the rows of ended jobs, and decides which request rows are those of
/// new jobs.
///
/// Invariant: a job is known here, and in its owner's memory, from the time its
/// request row is first read until the feed of the request table has shown that
/// the row is deleted. A request row at the version that is known, or at an
/// earlier one, is therefore never taken for a new job, whatever the outcome of
/// a removal and however late a snapshot arrives.
///
/// The rows go in this order, each on condition that it is at the version that
/// was read, so that a removal that takes effect late spares a later job of the
/// same name:
/// - the index entry: until it is gone, a request of the same name is sent to
///   this service;
/// - the request and its cancellation;
/// - once the feed has shown that, the progress: a request without progress
///   would be treated as a new job by the next owner.
/// A later job of the same name is taken up when all of them are gone.
class JobRemover {
 public:
  struct Callbacks {
    /// Whether the job has ended, its progress is recorded and none of its
    /// tasks may be running.
    std::function<bool(const base::JobName&)> may_remove;
    /// Version of the job's progress row as last recorded.
    std::function<store::RowVersion(const base::JobName&)> progress_version;
    /// Version of the owner's fence row in the job's progress partition.
    std::function<store::RowVersion(const base::JobName&)> fence_version;
    /// The job's rows are removed: nothing of it is needed any more.
    std::function<void(const base::JobName&)> on_removed;
    /// A later job of the same name was stored meanwhile: called after
    /// on_removed with its request. None of the callbacks may destroy the
    /// JobRemover.
    std::function<void(const store::StoredRow&)> on_request;
    /// A later owner has fenced a partition.
    std::function<void(const std::string& reason)> on_lost;
  };

  /// `indexer` must outlive this object; `metrics` may be null.
  JobRemover(base::EventLoop& loop, store::RowStore& store,
             base::ServiceName service, JobIndexer& indexer,
             base::MetricRegistry* metrics, JobRemoverOptions options,
             Callbacks callbacks);
  ~JobRemover();
  JobRemover(const JobRemover&) = delete;
  JobRemover& operator=(const JobRemover&) = delete;

  /// Handles a request row. Returns whether it is that of a new job.
  bool AddRequest(const store::StoredRow& row);

  /// Handles a cancellation row. Returns whether it is that of the known job.
  /// One that precedes its request is kept until the request appears, at least
  /// for the retention of ended jobs, and then removed.
  bool AddCancellation(const base::JobName& name, const store::StoredRow& row);

  /// Handles the deletion of a cancellation row in the feed.
  void OnCancellationDeleted(const base::JobName& name,
                             const store::StoredRow& row);

  /// Returns whether a cancellation preceded the request of a new job, and
  /// forgets it.
  bool TakeCancellation(const base::JobName& name);

  /// Handles the deletion of a request row in the feed.
  void OnRequestDeleted(const store::StoredRow& row);

  /// Handles a snapshot of all requests and cancellations: those that it lacks
  /// are deleted.
  void OnSnapshot(const std::vector<store::StoredRow>& rows);

  /// Starts the retention of an ended job. Returns false if it had started
  /// before.
  bool MarkEnded(const base::JobName& name);

  /// Removes a progress row without a request, which an incomplete removal has
  /// left behind.
  void AddOrphanedProgress(const store::StoredRow& row);

  /// Sends the removals that are due. To be called periodically.
  void Update();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_JOB_REMOVER_H_
