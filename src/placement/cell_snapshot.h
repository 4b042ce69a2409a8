#ifndef LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_
#define LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_

#include <string>
#include <vector>

#include "placement/gang.h"
#include "placement/shape.h"

namespace lapishatch::placement {

/// A worker as it is.
struct WorkerSnapshot {
  WorkerSpec spec;
  WorkerHealth health = WorkerHealth::kHealthy;
  bool present = true;
};

/// A gang that holds a place.
struct GangSnapshot {
  Gang gang;
  GangPlacement placement;
  /// Told to stop.
  bool evicting = false;
  /// Does not run yet: waits until what is evicted for it has ended.
  bool awaiting_capacity = false;
};

/// Accelerators of one worker.
struct BlockPart {
  base::WorkerName worker;
  int accelerators = 0;
};

/// Where one guaranteed shape is claimed to be honoured; no parts when the
/// hardware is said to be short. `guaranteed` is false for a block that only
/// keeps work that can't be evicted.
struct BlockSnapshot {
  base::OrganisationName organisation;
  Shape shape;
  bool guaranteed = true;
  /// Whole: what no gang uses of it is on workers that take new work. One that
  /// is not counts as a shortfall.
  bool intact = true;
  /// Gangs that run in it, or wait for evictions in it.
  int gang_count = 0;
  std::vector<BlockPart> parts = {};
};

/// A cell as plain snapshot. `blocks` is a claim that CheckCellInvariant proves
/// or refutes from the rest.
struct CellSnapshot {
  std::vector<WorkerSnapshot> workers;
  std::vector<Guarantee> guarantees;
  std::vector<GangSnapshot> gangs;
  std::vector<BlockSnapshot> blocks;
};

/// Whether every organisation's guaranteed shapes are there at once when only
/// borrowed work is evicted, and no worker is overfilled by what is placed.
/// Takes nothing from the planner's own counts. Returns what is broken, or an
/// empty text.
std::string CheckCellInvariant(const CellSnapshot& snapshot);

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_
