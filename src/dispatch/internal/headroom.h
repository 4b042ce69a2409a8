#ifndef LAPISHATCH_DISPATCH_INTERNAL_HEADROOM_H_
#define LAPISHATCH_DISPATCH_INTERNAL_HEADROOM_H_

#include <cstdint>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/planner_options.h"
#include "dispatch/internal/unit.h"
#include "dispatch/schedulable_workers.h"

namespace lapishatch::dispatch::internal {

/// Keeps accelerators free for urgent work, which arrives in bursts. Without
/// headroom, each burst would preempt non-urgent work that has just started on
/// the resources of the previous burst.
class Headroom {
 public:
  explicit Headroom(const TaskPlannerOptions& options) : options_(options) {}

  /// Counts the free accelerators of schedulable workers and computes the
  /// headroom, at the start of a scheduling round.
  void Update(const JobTracker& tracker, const SchedulableWorkers& workers,
              base::TimePoint now);

  /// Subtracts the accelerators of a unit that is being started from the free
  /// ones.
  void CountStart(const Unit& unit);

  /// Whether starting one more unit of the step would use headroom.
  bool MustLeaveFree(const StepRun& run, base::TimePoint now) const;

  /// Whether over half of the accelerators were free at the start of the round.
  bool is_half_free() const { return is_half_free_; }

 private:
  const TaskPlannerOptions& options_;
  /// Decaying peak of the accelerators in use by urgent work.
  double urgent_peak_ = 0;
  base::TimePoint peak_updated_at_{};
  std::int64_t accelerators_ = 0;
  std::int64_t free_accelerators_ = 0;
  bool is_half_free_ = false;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_HEADROOM_H_
