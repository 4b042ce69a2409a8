#ifndef LAPISHATCH_PLACEMENT_FRAGMENTATION_H_
#define LAPISHATCH_PLACEMENT_FRAGMENTATION_H_

#include <vector>

#include "placement/shape.h"

namespace lapishatch::placement {

/// Free and total accelerators of one healthy worker.
struct WorkerFreeCapacity {
  /// Rack index, from 0.
  int rack = 0;
  int accelerators = 0;
  int free = 0;
};

/// Share, from 0 to 1, of the free accelerators that can't serve `shape`: the
/// free ones less those in as many disjoint blocks of the shape as fit. Blocks
/// beyond one worker take whole workers. 0 when nothing is free.
double ComputeFragmentation(const std::vector<WorkerFreeCapacity>& workers,
                            const Shape& shape);

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_PLACEMENT_FRAGMENTATION_H_
