#ifndef LAPISHATCH_DISPATCH_INTERNAL_VICTIMS_H_
#define LAPISHATCH_DISPATCH_INTERNAL_VICTIMS_H_

#include <vector>

#include "base/base.h"
#include "dispatch/internal/guarantees.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/planner_options.h"
#include "dispatch/internal/reclaim.h"

namespace lapishatch::dispatch::internal {

/// Returns the units that may be preempted for a unit of class `beneficiary`,
/// cheapest first. Units that are already being stopped cost nothing.
/// Non-urgent units may be preempted, and for a unit within a guarantee also
/// urgent ones of a lower class.
std::vector<Victim> FindVictims(const JobTracker& tracker,
                                const Guarantees& guarantees,
                                GuaranteeClass beneficiary,
                                const TaskPlannerOptions& options,
                                base::TimePoint now);

/// Whether the preemptions of `plan` lose too much work for `unit`. No loss is
/// too much for a unit within a guarantee.
bool WastesTooMuch(const ReclaimPlan& plan, const Unit& unit,
                   GuaranteeClass beneficiary,
                   const TaskPlannerOptions& options, base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_VICTIMS_H_
