#ifndef LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_

#include <vector>

#include "placement/gang.h"
#include "placement/internal/cell.h"

namespace lapishatch::placement::internal {

/// So many tasks of a gang on one worker, each charged `charge` accelerators.
struct Slot {
  WorkerIndex worker = kNone;
  int tasks = 0;
  int charge = 0;

  int total() const { return tasks * charge; }
};

/// Where the tasks of a gang go; empty when there is no such place.
using Place = std::vector<Slot>;

/// Room on one worker that a place may use, and how costly it is to use it:
/// lower goes first.
struct Room {
  WorkerIndex worker = kNone;
  int accelerators = 0;
  double cost = 0;
};

/// Finds a place for a gang within `rooms`, which must be grouped by rack and
/// in order of index. Takes the cheapest workers, then those that it fills
/// best, so that whole workers and whole racks stay free.
Place FindPlace(const Cell& cell, const Gang& gang,
                const std::vector<int>& charges,
                const std::vector<Room>& rooms);

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
