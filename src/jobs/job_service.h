#ifndef LAPISHATCH_JOBS_JOB_SERVICE_H_
#define LAPISHATCH_JOBS_JOB_SERVICE_H_

#include <functional>
#include <string>
#include <variant>

#include "base/base.h"
#include "jobs/job.h"
#include "store/row_store.h"

namespace lapishatch::jobs {

/// The job stands in the store; now or from an earlier request of its name.
struct JobAccepted {};

/// The job does not stand in the store, and this request will not put it there.
struct JobNotAccepted {
  std::string detail;
};

/// The store did not say.
struct JobOutcomeUnknown {
  std::string detail;
};

struct NoSuchJob {};

/// The store could not be read.
struct JobStoreUnavailable {
  std::string detail;
};

using SubmitResult =
    std::variant<JobAccepted, JobNotAccepted, JobOutcomeUnknown>;
using StateResult = std::variant<JobState, NoSuchJob, JobStoreUnavailable>;

/// The cancelling stands in the store, or the job has ended before.
struct JobCancelled {};

using CancelResult = std::variant<JobCancelled, NoSuchJob, JobStoreUnavailable>;
using WaitingCountResult = std::variant<int, JobStoreUnavailable>;

/// Accepts, shows and cancels jobs, on behalf of any front. Keeps nothing: each
/// answer is as of the store. One call costs one transaction or one read, in
/// some cases two.
class JobService {
 public:
  explicit JobService(store::RowStore& store) : store_(store) {}

  void Submit(const Job& job, std::function<void(SubmitResult)> done);

  /// The state of job `name` of `service`.
  void ReadState(const base::ServiceName& service, const base::JobName& name,
                 const std::function<void(StateResult)>& done);

  void Cancel(const base::ServiceName& service, const base::JobName& name,
              std::function<void(CancelResult)> done);

  /// Jobs of `queue` none of whose tasks has begun, as the owner last wrote.
  void ReadWaitingCount(const base::ServiceName& service,
                        const QueueName& queue,
                        std::function<void(WaitingCountResult)> done);

 private:
  store::RowStore& store_;
};

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_SERVICE_H_
