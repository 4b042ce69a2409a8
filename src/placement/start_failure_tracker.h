#ifndef LAPISHATCH_PLACEMENT_START_FAILURE_TRACKER_H_
#define LAPISHATCH_PLACEMENT_START_FAILURE_TRACKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "base/base.h"

namespace lapishatch::placement {

/// Probable cause of failed starts.
enum class FailureCause : std::uint8_t {
  /// There is not enough evidence.
  kUnknown,
  /// Different jobs fail on the worker, and they run on other workers or have
  /// hardly been tried there.
  kWorker,
  /// The job fails on different workers on which other jobs start.
  kJob,
};

/// Tracks recent failed starts by job and worker. A worker is at fault when
/// enough distinct jobs fail on it, a job when it fails on enough distinct
/// workers. Failures of a faulty job do not count against workers, nor those of
/// a faulty worker against jobs, so that one bad job can't quarantine workers
/// and one bad worker can't fail jobs. Free of I/O.
class StartFailureTracker {
 public:
  struct Options {
    /// Distinct jobs that must fail on a worker, and on no other that starts
    /// them, before the worker is at fault.
    std::size_t min_jobs_failed_on_worker = 3;
    /// Distinct workers on which a job must fail before the job is at fault.
    std::size_t min_workers_failed_by_job = 3;
    /// Failures older than this are discarded.
    base::Duration window{1'800'000};
    /// Maximum number of failures kept.
    std::size_t max_failures = 10'000;
  };

  StartFailureTracker() : StartFailureTracker(Options()) {}
  explicit StartFailureTracker(Options options) : options_(options) {}

  /// Records a failed start of `job` on `worker` and returns the probable
  /// cause.
  FailureCause RecordFailure(const base::JobName& job,
                             const base::WorkerName& worker,
                             base::TimePoint now);

  /// Records that `job` started on `worker`. Discards the earlier failures of
  /// both: they were not the worker's fault, or the fault is gone.
  void RecordStart(const base::JobName& job, const base::WorkerName& worker);

  /// Discards the failures of a job that is gone or of a worker that is
  /// released.
  void Forget(const base::JobName& job);
  void Forget(const base::WorkerName& worker);

  /// Workers on which a job has recently failed, so that the caller can avoid
  /// them.
  std::vector<base::WorkerName> FailedOn(const base::JobName& job) const;

  std::size_t size() const { return failures_.size(); }

 private:
  struct Failure {
    base::TimePoint when;
    base::JobName job;
    base::WorkerName worker;
  };

  bool IsJobAtFault(const base::JobName& job) const;
  std::size_t CountFailedJobs(const base::WorkerName& worker) const;
  void Expire(base::TimePoint now);
  void Erase(const base::JobName& job, const base::WorkerName& worker);

  Options options_;
  std::deque<Failure> failures_;
  std::map<base::JobName, std::set<base::WorkerName>> by_job_;
  std::map<base::WorkerName, std::set<base::JobName>> by_worker_;
};

}  // namespace lapishatch::placement

namespace lapishatch::base {
template <>
struct EnumNames<placement::FailureCause> {
  static constexpr std::array<std::string_view, 3> kNames = {"nobody", "worker",
                                                             "job"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_PLACEMENT_START_FAILURE_TRACKER_H_
