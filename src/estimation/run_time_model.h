#ifndef LAPISHATCH_ESTIMATION_RUN_TIME_MODEL_H_
#define LAPISHATCH_ESTIMATION_RUN_TIME_MODEL_H_

#include <vector>

#include "base/base.h"
#include "estimation/pace_meter.h"
#include "estimation/run_time_ratios.h"
#include "estimation/worker_speeds.h"

namespace lapishatch::estimation {

/// A run time that is not known exactly: a log-normal distribution.
struct RunTimeEstimate {
  base::Duration median{0};
  /// Standard deviation of the logarithm, about the relative error.
  double deviation = 0;

  /// The time that is not exceeded with probability `quantile`, between 0 and
  /// 1, exclusively.
  base::Duration AtQuantile(double quantile) const;
};

/// A run of a task, as the model sees it.
struct ObservedRun {
  StepName step;
  WorkKind kind;
  base::WorkerName worker;
  /// The submitter's estimate; zero if there is none.
  base::Duration estimate{0};
  /// How many times longer the run takes because it is away from its rack.
  double rack_factor = 1;
  /// Whether the task is part of a gang, whose pace is that of its slowest
  /// member. Its runs say nothing about single workers and are not used.
  bool is_gang_member = false;
};

/// Combines the speed of workers and the ratio of run times to estimates. An
/// estimate without observations is that of the submitter.
class RunTimeModel {
 public:
  RunTimeModel() : speeds_({}), ratios_({}) {}

  /// Handles the pace of a run, measured by a PaceMeter of its own. Returns the
  /// workers whose speed has changed.
  std::vector<base::WorkerName> Observe(const ObservedRun& run,
                                        const Pace& pace, base::TimePoint now);

  /// Run time of a task of `kind` with the submitter's `estimate` on a worker
  /// of `speed`.
  RunTimeEstimate RunTimeOf(const WorkKind& kind, base::Duration estimate,
                            WorkerSpeed speed) const;

  WorkerSpeeds& speeds() { return speeds_; }
  const WorkerSpeeds& speeds() const { return speeds_; }

 private:
  WorkerSpeeds speeds_;
  RunTimeRatios ratios_;
};

}  // namespace lapishatch::estimation

#endif  // LAPISHATCH_ESTIMATION_RUN_TIME_MODEL_H_
