#ifndef LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_
#define LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_

#include <string>
#include <vector>

#include "placement/gang.h"
#include "placement/shape.h"

namespace lapishatch::placement {

/// Size and health of one worker.
struct WorkerSnapshot {
  WorkerSpec spec;
  WorkerHealth health = WorkerHealth::kHealthy;
  bool present = true;
};

/// A gang that holds or has claimed a placement.
struct GangSnapshot {
  Gang gang;
  GangPlacement placement;
  /// The gang was told to stop.
  bool evicting = false;
  /// The gang does not run yet: it waits until the gangs evicted for it have
  /// ended.
  bool awaiting_capacity = false;
};

/// The accelerators of one worker that belong to a block.
struct BlockPart {
  base::WorkerName worker;
  int accelerators = 0;
};

/// The capacity that the planner assigns to one guaranteed shape. `parts` is
/// empty when the healthy hardware is too small for it. `guaranteed` is false
/// for a block that only holds work that can't be evicted.
struct BlockSnapshot {
  base::OrganisationName organisation;
  Shape shape;
  bool guaranteed = true;
  /// Every part that no gang uses is on a worker that takes new work. A block
  /// that is not intact counts as a shortfall.
  bool intact = true;
  /// Gangs that run in the block or wait for evictions in it.
  int gang_count = 0;
  std::vector<BlockPart> parts = {};
};

/// State of a cell as plain data. CheckCellInvariant verifies `blocks` against
/// the other fields.
struct CellSnapshot {
  std::vector<WorkerSnapshot> workers;
  std::vector<Guarantee> guarantees;
  std::vector<GangSnapshot> gangs;
  std::vector<BlockSnapshot> blocks;
};

/// Checks that all guaranteed shapes can be provided at once by evicting only
/// borrowed work, and that no worker is overfilled. Recomputes everything
/// without the planner's own counters. Returns a description of the violation,
/// or an empty string.
std::string CheckCellInvariant(const CellSnapshot& snapshot);

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_CELL_SNAPSHOT_H_
