#ifndef LAPISHATCH_DISPATCH_INTERNAL_UNIT_WORK_H_
#define LAPISHATCH_DISPATCH_INTERNAL_UNIT_WORK_H_

#include "base/base.h"
#include "dispatch/internal/unit.h"
#include "jobs/job.h"

namespace lapishatch::dispatch::internal {

/// Duration in seconds.
double SecondsOf(base::Duration time);

/// Cores of one task of the step, with its accelerators weighted as users
/// account for work: eight cores each.
double WeightedCores(const jobs::Step& step);

/// Estimated work of one unit of the step, in core-seconds.
double EstimatedWork(const StepRun& run);

/// Work since the unit's last checkpoint, in core-seconds.
double LostWork(const Unit& unit, base::TimePoint now);

/// Whether one more failure of the unit fails its job.
bool IsLastAttempt(const Unit& unit);

/// Resources that the tasks of a job use or wait for, without those that are
/// done and those whose turn has not come.
jobs::Resources RemainingNeeds(const JobEntry& job);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_UNIT_WORK_H_
