#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"

namespace lapishatch::dispatch::internal {

struct DrainOptions {
  /// A task that would end so soon after its worker may leave is not stopped:
  /// workers stay a little longer than they say, and estimates are rough.
  base::Duration grace{300};
};

/// When each worker that leaves may be gone, by this process's clock.
using Departures = std::map<base::WorkerName, base::TimePoint>;

/// How much longer a member works as far as its progress tells, or its step's
/// estimate before there is any; never negative.
base::Duration RemainingWork(const Unit& unit, const Member& member,
                             base::TimePoint now);

/// Units to stop since a worker of theirs leaves before they can end. What is
/// stopped in time is listed as ended and starts elsewhere at once; what is
/// lost with its worker starts again only after the worker's lease. Costs one
/// pass over the members of active units.
std::vector<Unit*> FindUnitsToDrain(const JobTracker& tracker,
                                    const Departures& departures,
                                    const DrainOptions& options,
                                    base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
