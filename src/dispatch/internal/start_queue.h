#ifndef LAPISHATCH_DISPATCH_INTERNAL_START_QUEUE_H_
#define LAPISHATCH_DISPATCH_INTERNAL_START_QUEUE_H_

#include <cstdint>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/guarantees.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/planner_options.h"
#include "dispatch/internal/unit.h"

namespace lapishatch::dispatch::internal {

/// Whether a job can meet its deadline.
enum class DeadlineStatus : std::uint8_t {
  kInTime,
  kLate,
  /// So late that its result is no longer of value.
  kExpired,
};

DeadlineStatus DeadlineStatusOf(const StepRun& run,
                                const TaskPlannerOptions& options,
                                base::TimePoint now);

/// Returns the steps with units that may start, in the order in which they are
/// considered. Guaranteed steps come before all others, since only a limited
/// number of tasks may start at once. Then come steps that can be in time
/// before those that cannot, urgent steps before others, and by latest start
/// time. Late urgent steps still go before non-urgent ones, since they are
/// short.
std::vector<StepRun*> SortedReadySteps(const JobTracker& tracker,
                                       const Guarantees& guarantees,
                                       const TaskPlannerOptions& options,
                                       base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_START_QUEUE_H_
