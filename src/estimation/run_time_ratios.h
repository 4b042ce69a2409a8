#ifndef LAPISHATCH_ESTIMATION_RUN_TIME_RATIOS_H_
#define LAPISHATCH_ESTIMATION_RUN_TIME_RATIOS_H_

#include <cstddef>
#include <map>

#include "base/base.h"
#include "estimation/log_estimate.h"
#include "jobs/job.h"

namespace lapishatch::estimation {

/// Work whose estimates share an error: submitters estimate alike within a
/// queue.
struct WorkKind {
  base::OrganisationName organisation;
  jobs::QueueName queue;

  friend auto operator<=>(const WorkKind&, const WorkKind&) = default;
};

struct RunTimeRatioOptions {
  /// Standard deviation of the logarithm of a kind's ratio before any
  /// observation, and of the ratio of one step to that of its kind.
  double prior_deviation = 0.3;
  double step_deviation = 0.5;
  double drift_per_second = 0.0005;
  std::size_t max_kinds = 4'096;
};

/// Learns the ratio of run times to the submitters' estimates by kind of work.
class RunTimeRatios {
 public:
  explicit RunTimeRatios(RunTimeRatioOptions options) : options_(options) {}

  /// Handles a run of a step of `kind` that takes `ratio` times its estimate on
  /// a worker with speed 1. `ratio` must be positive.
  void Observe(const WorkKind& kind, double ratio, base::TimePoint now);

  /// The ratio of the next step of `kind`: the logarithm of its median, and the
  /// standard deviation of that. A ratio of 1 for an unknown kind.
  struct Ratio {
    double log_median = 0;
    double deviation = 0;
  };
  Ratio RatioOf(const WorkKind& kind) const;

 private:
  const RunTimeRatioOptions options_;
  std::map<WorkKind, LogEstimate> kinds_;
};

}  // namespace lapishatch::estimation

#endif  // LAPISHATCH_ESTIMATION_RUN_TIME_RATIOS_H_
