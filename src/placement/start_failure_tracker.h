#ifndef LAPISHATCH_PLACEMENT_START_FAILURE_TRACKER_H_
#define LAPISHATCH_PLACEMENT_START_FAILURE_TRACKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "base/base.h"

namespace lapishatch::placement {

/// Who is to blame for failed starts.
enum class FailureCause : std::uint8_t {
  /// Too little is known.
  kUnknown,
  /// Different jobs fail on the worker, and they run elsewhere or have hardly
  /// been tried there.
  kWorker,
  /// The job fails on different workers, on which others start.
  kJob,
};

/// Remembers which jobs lately failed to start on which workers. A worker is
/// blamed by the number of distinct jobs that fail on it, a job by the number
/// of distinct workers on which it fails; a job that is blamed counts against
/// no worker, and a worker that is blamed against no job, so that one bad job
/// can't take workers out and one bad worker can't condemn jobs. Pure.
class StartFailureTracker {
 public:
  struct Options {
    /// Distinct jobs that fail on a worker, and on no other that starts them.
    std::size_t min_jobs_failed_on_worker = 3;
    /// Distinct workers on which a job fails.
    std::size_t min_workers_failed_by_job = 3;
    /// Older failures are forgotten.
    base::Duration window{1'800'000};
    /// Failures remembered at most.
    std::size_t max_failures = 10'000;
  };

  StartFailureTracker() : StartFailureTracker(Options()) {}
  explicit StartFailureTracker(Options options) : options_(options) {}

  /// A start of `job` on `worker` has failed. Returns who is to blame by now.
  FailureCause RecordFailure(const base::JobName& job,
                             const base::WorkerName& worker,
                             base::TimePoint now);

  /// `job` runs on `worker`: what failed there before was not the worker's
  /// fault, or has passed.
  void RecordStart(const base::JobName& job, const base::WorkerName& worker);

  /// The job is gone, or the worker is released: forget its failures.
  void Forget(const base::JobName& job);
  void Forget(const base::WorkerName& worker);

  /// Workers on which a job has lately failed, so that it is tried elsewhere.
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
