#include "placement/fragmentation.h"

#include <algorithm>

namespace lapishatch::placement {

double ComputeFragmentation(const std::vector<WorkerFreeCapacity>& workers,
                            const Shape& shape) {
  const int size = std::max(1, shape.accelerators);
  int racks = 0;
  for (const auto& it : workers) racks = std::max(racks, it.rack + 1);
  std::vector<int> whole_by_rack(racks, 0);
  int free = 0;
  int serving = 0;
  int whole = 0;
  for (const auto& it : workers) {
    free += it.free;
    if (size <= it.accelerators) {
      serving += it.free / size * size;
    } else if (it.free == it.accelerators) {
      whole_by_rack[it.rack] += it.free;
      whole += it.free;
    }
  }
  if (free == 0) return 0;
  if (shape.adjacency == Adjacency::kRack) {
    for (const auto it : whole_by_rack) serving += it / size * size;
  } else if (shape.adjacency == Adjacency::kDomain) {
    serving += whole / size * size;
  }
  return 1.0 - static_cast<double>(serving) / free;
}

}  // namespace lapishatch::placement
