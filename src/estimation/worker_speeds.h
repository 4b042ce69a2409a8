#ifndef LAPISHATCH_ESTIMATION_WORKER_SPEEDS_H_
#define LAPISHATCH_ESTIMATION_WORKER_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "estimation/log_estimate.h"
#include "jobs/job.h"

namespace lapishatch::estimation {

struct WorkerSpeedOptions {
  /// Standard deviation of the logarithm of a speed before any observation.
  double prior_deviation = 0.4;
  /// The same of one observation: tasks of a step differ in size.
  double task_deviation = 0.45;
  /// Growth of the variance of a speed per second without observations.
  double drift_per_second = 0.002;
  /// Number of other workers of the step that an observation is compared with.
  std::size_t min_peers = 3;
  /// Bounds of the memory: steps under observation, and runs of each.
  std::size_t max_steps = 256;
  std::size_t max_runs_per_step = 64;
  std::size_t max_workers = 16'384;
};

/// Speed of a worker relative to the median of those that run the same steps.
struct WorkerSpeed {
  double speed = 1;
  /// Relative standard deviation of `speed`.
  double deviation = 0;
};

/// The tasks that one step of a job runs in one occurrence.
struct StepName {
  base::JobName job;
  int occurrence = 0;
  int step = 0;

  friend auto operator<=>(const StepName&, const StepName&) = default;
};

/// Learns how fast workers are from the pace of the tasks of one step on
/// several workers. All tasks of a step share the error of its estimate, so
/// only their differences count. If all workers become slow alike, nothing
/// changes: the cause is then the work. Only tasks that run by themselves may
/// be observed, since the tasks of a gang all have the pace of the slowest.
class WorkerSpeeds {
 public:
  explicit WorkerSpeeds(WorkerSpeedOptions options) : options_(options) {}

  /// Handles the pace of a run of a task of `step` on `worker`, once a run: it
  /// would take `full_run_time` in full, which must be positive, with a
  /// relative standard deviation of `deviation`. Returns the workers whose
  /// speed has changed: this one, or several once there are enough runs to
  /// compare. Takes time linear in the number of runs observed of the step.
  std::vector<base::WorkerName> Observe(const StepName& step,
                                        const base::WorkerName& worker,
                                        base::Duration full_run_time,
                                        double deviation, base::TimePoint now);

  /// Forgets the runs of a job, none of whose tasks will run again.
  void Forget(const base::JobName& job);

  /// Forgets a worker that has left.
  void Remove(const base::WorkerName& worker) { workers_.erase(worker); }

  /// Returns a speed of 1 for a worker that was not observed.
  WorkerSpeed SpeedOf(const base::WorkerName& worker) const;

  /// Increases with every change of a speed.
  std::uint64_t version() const { return version_; }

  const std::map<base::WorkerName, LogEstimate>& workers() const {
    return workers_;
  }

 private:
  struct Run {
    base::WorkerName worker;
    double log_time = 0;
    double deviation = 0;
    /// Whether the run was compared with those of other workers.
    bool is_compared = false;
  };

  /// A step whose runs are compared.
  struct ObservedStep {
    std::vector<Run> runs;
    base::TimePoint last_observed_at{};
  };

  void EvictOldestStep();
  void Compare(const Run& run, double peer_log_time, base::TimePoint now);

  /// Time that the step takes on a worker with speed 1, by its runs on other
  /// workers; false if there are too few.
  bool FindPeerTime(const std::vector<Run>& runs,
                    const base::WorkerName& worker, double& log_time) const;

  const WorkerSpeedOptions options_;
  std::map<base::WorkerName, LogEstimate> workers_;
  std::map<StepName, ObservedStep> steps_;
  std::uint64_t version_ = 0;
};

}  // namespace lapishatch::estimation

#endif  // LAPISHATCH_ESTIMATION_WORKER_SPEEDS_H_
