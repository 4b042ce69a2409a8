#ifndef LAPISHATCH_JOBS_JOB_INDEX_H_
#define LAPISHATCH_JOBS_JOB_INDEX_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "jobs/job.h"
#include "store/row_store.h"

namespace lapishatch::jobs {

/// The store did not answer, or not as required; `detail` says why.
struct IndexUnavailable {
  std::string detail;
};

/// The index has no entry for the job. It may still be one of the home service.
struct NotIndexed {};

/// The home service's request partition holds the cancellation of a name that
/// had no request.
struct CancelledInAdvance {};

/// Knows for every job the service that accepted it.
///
/// Invariant: where the rows of an accepted job lie follows from the job's name
/// and the store alone. The configuration, which may send the job's queue to
/// another service at any time and may differ between processes, decides only
/// where a new job goes.
///
/// One service of the store, the home service, is recorded once and never
/// changes. For each job name, the request partition of the home service
/// decides which service accepts the job: it holds either the request itself,
/// if that is the home service, or an index entry that names the service. A
/// request or an entry is written only on condition that there is neither, in
/// one transaction, so two processes with different configurations cannot both
/// accept a name. With one service, a job costs no more than its request.
class JobIndex {
 public:
  explicit JobIndex(store::RowStore& store);

  using HomeResult = std::variant<base::ServiceName, IndexUnavailable>;
  /// The home service. Records `candidate` as such if there is none. Costs one
  /// read the first time, one transaction more in a new store, and nothing
  /// afterwards.
  void FindHome(const base::ServiceName& candidate,
                const std::function<void(HomeResult)>& done);

  using LocateResult =
      std::variant<base::ServiceName, NotIndexed, IndexUnavailable>;
  /// The service of a job according to its entry, or the home service if it has
  /// none. NotIndexed if the store has no home service. Costs one read.
  void Locate(const base::JobName& name,
              const std::function<void(LocateResult)>& done);

  /// The result of a reservation: the service that is to accept the job, which
  /// may differ from the requested one if an earlier request decided.
  using ReserveResult =
      std::variant<base::ServiceName, CancelledInAdvance, IndexUnavailable>;
  /// Adds an entry for a job of `service`, unless the name has one, is that of
  /// a job of the home service or was cancelled before any request for it.
  /// `service` must not be the home service, and FindHome must have succeeded.
  /// Costs one transaction.
  void Reserve(const base::JobName& name, const base::ServiceName& service,
               std::function<void(ReserveResult)> done);

  /// Removes the entry of a job of `service`, if there is one. An entry that is
  /// written meanwhile stays. FindHome must have succeeded. Costs a read and a
  /// transaction. `done` receives whether the store has confirmed it.
  void Remove(const base::JobName& name, const base::ServiceName& service,
              std::function<void(bool)> done);

  /// The home service. FindHome must have succeeded.
  const base::ServiceName& home() const;

  /// Partition and condition of the transaction that writes a request of the
  /// home service.
  std::string DecidingPartition(const base::JobName& name) const;
  static store::RowCondition NoEntryCondition(const base::JobName& name);

  /// The service that accepted `name`, by the rows that were `present` when
  /// such a transaction conflicted. FindHome must have succeeded.
  ReserveResult DecidedService(const std::vector<store::StoredRow>& present,
                               const base::JobName& name) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_INDEX_H_
