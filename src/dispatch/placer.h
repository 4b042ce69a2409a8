#ifndef LAPISHATCH_DISPATCH_PLACER_H_
#define LAPISHATCH_DISPATCH_PLACER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/schedulable_workers.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// What decides where a unit (one task, or the tasks of a gang) may go.
struct PlacementRequest {
  const jobs::Step* step = nullptr;
  int tasks = 1;
  /// Tasks of the step on each worker now, for its limit per worker.
  const std::map<base::WorkerName, int>* tasks_by_worker = nullptr;
  /// Workers that are not to be taken; null for none.
  const std::set<base::WorkerName>* excluded_workers = nullptr;
  /// Whether to exclude workers that lately failed a task or run a suspect one.
  bool excludes_risky_workers = false;
  /// Whether the unit is suspected of crashing workers. It is placed on the
  /// emptiest worker that has no other suspect task and no recent crash.
  bool is_suspect = false;
  /// Whether a rack other than the wanted one will do.
  bool allows_other_racks = false;
};

/// One worker a task.
using Placement = std::vector<base::WorkerName>;

/// Whether the unit may be slower in some placement than in others, so that
/// `allows_other_racks` makes a difference.
bool PrefersRack(const jobs::Step& step);

/// Where the unit fits now, or nothing. Takes the workers that it fills best,
/// so that whole workers stay free for tasks that need all accelerators of one,
/// and among workers alike those on fuller racks, for gangs that want a whole
/// rack. A gang that wants one rack gets the rack that it fills best. Costs one
/// step a worker with enough free accelerators for a task.
std::optional<Placement> FindPlacement(SchedulableWorkers& workers,
                                       const PlacementRequest& request);

/// Whether the unit would fit on its wanted rack, or anywhere where it has no
/// wish, if nothing else ran. What never fits there need not wait for it.
bool FitsWhenEmpty(const SchedulableWorkers& workers,
                   const PlacementRequest& request);

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_PLACER_H_
