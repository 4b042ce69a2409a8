#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"

namespace lapishatch::dispatch::internal {

struct DrainOptions {
  /// Least time from the end of a task to the departure of its worker. The
  /// worker takes ends that its owner has not received with it, so a task that
  /// has succeeded would run again. Covers stopping the task and reporting its
  /// end.
  base::Duration end_margin{1'000};
};

/// The earliest time at which each leaving worker may be gone, on the clock of
/// this process.
using Departures = std::map<base::WorkerName, base::TimePoint>;

/// Returns the estimated remaining run time of a member, based on its progress,
/// or on its step's estimate before any progress. Never negative.
base::Duration RemainingWork(const Unit& unit, const Member& member,
                             base::TimePoint now);

/// Returns the units to stop because one of their workers may leave before they
/// have ended and been reported. A unit that is stopped in time restarts
/// elsewhere at once, whereas one that is lost with its worker restarts only
/// after the worker's lease expires, although it may have succeeded. Visits all
/// members of active units.
std::vector<Unit*> FindUnitsToDrain(const JobTracker& tracker,
                                    const Departures& departures,
                                    const DrainOptions& options,
                                    base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_DRAIN_H_
