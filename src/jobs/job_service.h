#ifndef LAPISHATCH_JOBS_JOB_SERVICE_H_
#define LAPISHATCH_JOBS_JOB_SERVICE_H_

#include <functional>
#include <string>
#include <variant>

#include "base/base.h"
#include "jobs/job.h"
#include "store/row_store.h"

namespace lapishatch::jobs {

/// The job is in the store, written by this request or by an earlier one with
/// the same name.
struct JobAccepted {};

/// This request did not write the job to the store and will not do so later.
struct JobNotAccepted {
  std::string detail;
};

/// It is unknown whether the store wrote the job.
struct JobOutcomeUnknown {
  std::string detail;
};

struct NoSuchJob {};

/// The store could not be read, or did not confirm a cancellation.
struct JobStoreUnavailable {
  std::string detail;
};

using SubmitResult =
    std::variant<JobAccepted, JobNotAccepted, JobOutcomeUnknown>;
using StateResult = std::variant<JobState, NoSuchJob, JobStoreUnavailable>;

/// The cancellation is in the store; it has no effect if the job has already
/// ended.
struct JobCancelled {};

using CancelResult = std::variant<JobCancelled, NoSuchJob, JobStoreUnavailable>;
using WaitingCountResult = std::variant<int, JobStoreUnavailable>;

/// Accepts and cancels jobs and reads their state, for any front end.
/// Stateless: every answer comes from the store. A call costs one transaction
/// or one read, in some cases two operations.
class JobService {
 public:
  explicit JobService(store::RowStore& store) : store_(store) {}

  void Submit(const Job& job, std::function<void(SubmitResult)> done);

  /// The state of job `name` of `service`.
  void ReadState(const base::ServiceName& service, const base::JobName& name,
                 const std::function<void(StateResult)>& done);

  void Cancel(const base::ServiceName& service, const base::JobName& name,
              std::function<void(CancelResult)> done);

  /// Number of jobs of `queue` of which no task has started, as last written by
  /// the owner.
  void ReadWaitingCount(const base::ServiceName& service,
                        const QueueName& queue,
                        std::function<void(WaitingCountResult)> done);

 private:
  store::RowStore& store_;
};

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_SERVICE_H_
