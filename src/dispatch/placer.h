#ifndef LAPISHATCH_DISPATCH_PLACER_H_
#define LAPISHATCH_DISPATCH_PLACER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/open_workers.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// What decides where a unit (one task, or the tasks of a gang) may go.
struct PlaceRequest {
  const jobs::Step* step = nullptr;
  int tasks = 1;
  /// Tasks of the step on each worker now, for its limit per worker.
  const std::map<base::WorkerName, int>* on_worker = nullptr;
  /// Workers that are not to be taken; null for none.
  const std::set<base::WorkerName>* avoid = nullptr;
  /// Whether to exclude workers that lately failed a task or run a suspect one.
  bool avoids_suspects = false;
  /// Whether the unit is suspected of crashing workers. It is placed on the
  /// emptiest worker that has no other suspect task and no recent crash.
  bool is_suspect = false;
  /// Whether a rack other than the wanted one will do.
  bool accepts_slow = false;
};

/// One worker a task.
using Places = std::vector<base::WorkerName>;

/// Whether the unit may be slower in some places than in others, so that
/// `accepts_slow` makes a difference.
bool HasSlowPlaces(const jobs::Step& step);

/// Where the unit fits now, or nothing. Takes the workers that it fills best,
/// so that whole workers stay free for tasks that need all accelerators of one,
/// and among workers alike those on fuller racks, for gangs that want a whole
/// rack. A gang that wants one rack gets the rack that it fills best. Costs one
/// step a worker with enough free accelerators for a task.
std::optional<Places> FindPlaces(OpenWorkers& open,
                                 const PlaceRequest& request);

/// Whether the unit would fit on its wanted rack, or anywhere where it has no
/// wish, if nothing else ran. What never fits there need not wait for it.
bool CouldEverFit(const OpenWorkers& open, const PlaceRequest& request);

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_PLACER_H_
