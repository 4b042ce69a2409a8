#ifndef LAPISHATCH_JOBS_JOB_SERVICE_H_
#define LAPISHATCH_JOBS_JOB_SERVICE_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "jobs/job.h"
#include "jobs/job_index.h"
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

/// Accepts and cancels jobs and reads their state, for any front end. Every
/// answer comes from the store. A job is found by its name, whichever service
/// accepted it; the service that a caller gives is where it is looked for
/// first, so that the present service of its queue costs least.
class JobService {
 public:
  explicit JobService(store::RowStore& store) : store_(store), index_(store) {}

  /// Reads ahead what the first submission needs, which costs one call. `first`
  /// becomes the home service of a store that has none.
  void Prepare(const base::ServiceName& first);

  /// Accepts `job` for its service, or confirms that a job of this name was
  /// accepted before, for any service. Costs one transaction for a job of the
  /// home service (see JobIndex), two for others.
  void Submit(const Job& job, std::function<void(SubmitResult)> done);

  /// The state of job `name`. Costs one or two reads if `service` accepted it,
  /// otherwise up to five.
  void ReadState(const base::ServiceName& service, const base::JobName& name,
                 const std::function<void(StateResult)>& done);

  /// Cancels job `name`. NoSuchJob means that no request of it is in the store,
  /// and that one which takes effect later, or is handed in later, is cancelled
  /// when it appears. Costs a read and a transaction if `service` accepted it,
  /// otherwise up to four reads and one transaction.
  void Cancel(const base::ServiceName& service, const base::JobName& name,
              const std::function<void(CancelResult)>& done);

  /// Number of jobs of `queue`, accepted for any of `services`, of which no
  /// task has started, as last written by the owners. Costs a read for each
  /// service. Fails if one of them cannot be read.
  void ReadWaitingCount(const std::vector<base::ServiceName>& services,
                        const QueueName& queue,
                        const std::function<void(WaitingCountResult)>& done);

 private:
  void StoreAtHome(const Job& job, std::function<void(SubmitResult)> done);
  void Reserve(const Job& job, std::function<void(SubmitResult)> done);
  /// Continues a submission whose service is decided, if `result` is known.
  void OnDecided(const JobIndex::ReserveResult& result, const Job& job,
                 const std::function<void(SubmitResult)>& done);
  /// Stores the request of a job that `service` accepts.
  void StoreFor(const base::ServiceName& service, Job job,
                const std::function<void(SubmitResult)>& done);
  /// Answers a submission whose write has no answer: accepted if the request is
  /// in `partition`, otherwise unknown.
  void ConfirmUnknown(const std::string& partition, const base::JobName& name,
                      const std::string& detail,
                      const std::function<void(SubmitResult)>& done);

  void ReadStateIn(const base::ServiceName& service, const base::JobName& name,
                   const std::function<void(StateResult)>& done);
  /// Reads the state of a job that `service` does not have.
  void ReadStateElsewhere(const base::ServiceName& service,
                          const base::JobName& name,
                          const std::function<void(StateResult)>& done);
  void CancelIn(const base::ServiceName& service, const base::JobName& name,
                const std::function<void(CancelResult)>& done);
  void TryCancel(const base::ServiceName& service, const base::JobName& name,
                 int attempts, const std::function<void(CancelResult)>& done);
  /// Cancels a job that `service` does not have.
  void CancelAbsent(const base::ServiceName& service, const base::JobName& name,
                    int attempts,
                    const std::function<void(CancelResult)>& done);
  /// Stores the cancellation of a job without a request where `service` would
  /// accept it.
  void CancelInAdvance(const base::ServiceName& service,
                       const base::JobName& name, int attempts,
                       const std::function<void(CancelResult)>& done);
  void ReadWaitingCountOf(const base::ServiceName& service,
                          const QueueName& queue,
                          const std::function<void(WaitingCountResult)>& done);

  store::RowStore& store_;
  JobIndex index_;
};

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_SERVICE_H_
