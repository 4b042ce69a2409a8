#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"

namespace lapishatch::dispatch::internal {

struct DrainOptions {
  /// A task whose estimated end is at most this long after the departure of its
  /// worker is not stopped: workers stay slightly longer than announced, and
  /// estimates are rough.
  base::Duration grace{300};
};

/// The time after which each leaving worker may be gone, on the clock of this
/// process.
using Departures = std::map<base::WorkerName, base::TimePoint>;

/// Returns the estimated remaining run time of a member, based on its progress,
/// or on its step's estimate before any progress. Never negative.
base::Duration RemainingWork(const Unit& unit, const Member& member,
                             base::TimePoint now);

/// Returns the units to stop because one of their workers leaves before they
/// can end. A unit that is stopped in time is reported as ended and restarts
/// elsewhere at once, whereas one that is lost with its worker restarts only
/// after the worker's lease expires. Visits all members of active units.
std::vector<Unit*> FindUnitsToDrain(const JobTracker& tracker,
                                    const Departures& departures,
                                    const DrainOptions& options,
                                    base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
