#ifndef LAPISHATCH_DISPATCH_PLACER_H_
#define LAPISHATCH_DISPATCH_PLACER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/schedulable_workers.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// Where a unit that is suspected of crashing workers may be placed. A suspect
/// is placed on the emptiest worker.
enum class SuspectPlacement : std::uint8_t {
  /// The unit is not suspect.
  kNotSuspect,
  /// On workers without another suspect task and without a recent crash.
  kIsolated,
  /// On workers without a recent crash.
  kAwayFromCrashes,
  /// On any worker; those whose last crash is longest ago are preferred.
  kAnywhere,
};

/// Constraints on where a unit (a single task, or all tasks of a gang) may be
/// placed.
struct PlacementRequest {
  const jobs::Step* step = nullptr;
  int tasks = 1;
  /// Number of tasks of the step on each worker, for the step's limit per
  /// worker.
  const std::map<base::WorkerName, int>* tasks_by_worker = nullptr;
  /// Workers that must not be used; null for none.
  const std::set<base::WorkerName>* excluded_workers = nullptr;
  /// Whether to exclude workers where a task failed recently or a suspect task
  /// runs.
  bool excludes_risky_workers = false;
  SuspectPlacement suspect = SuspectPlacement::kNotSuspect;
  /// Addresses where the unit lost a worker, which must not be used, and
  /// neither must unreliable workers; null if it may use any.
  const std::set<http::Endpoint>* lost_at = nullptr;
  /// Whether racks other than the preferred one are allowed, where the unit may
  /// run slower.
  bool allows_other_racks = false;
};

/// The worker of each task of a unit.
using Placement = std::vector<base::WorkerName>;

/// Whether the step prefers a rack, so that `allows_other_racks` makes a
/// difference.
bool PrefersRack(const jobs::Step& step);

/// Returns a placement in which the unit fits now, or nothing. Uses best fit,
/// so that whole workers stay free for tasks that need all accelerators of one.
/// Among equal workers it prefers those on fuller racks, so that whole racks
/// stay free for gangs. A gang that prefers a single rack is placed on the rack
/// with the fewest accelerators free. Visits each worker that has enough free
/// accelerators for one task.
std::optional<Placement> FindPlacement(SchedulableWorkers& workers,
                                       const PlacementRequest& request);

/// Whether the unit would fit on its preferred rack, or anywhere if it prefers
/// none, if nothing else ran. A unit that never fits there need not wait for
/// it.
bool FitsWhenEmpty(const SchedulableWorkers& workers,
                   const PlacementRequest& request);

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_PLACER_H_
