#ifndef LAPISHATCH_TEST_PLACEMENT_PACKING_ORACLE_H_
#define LAPISHATCH_TEST_PLACEMENT_PACKING_ORACLE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace lapishatch::placement {

/// Tries every way to place the unused guaranteed shapes of a small cell of
/// equal workers around the blocks in use. Ignores the places that the planner
/// has chosen for them.
class PackingOracle {
 public:
  explicit PackingOracle(const CellSnapshot& snapshot) {
    std::map<base::WorkerName, int> index;
    for (const auto& it : snapshot.workers) {
      const bool schedulable =
          it.present && it.health == WorkerHealth::kHealthy;
      index[it.spec.name] = static_cast<int>(free_.size());
      free_.push_back(schedulable ? it.spec.accelerators : 0);
      racks_.push_back(it.spec.rack);
      worker_size_ = it.spec.accelerators;
    }
    for (const auto& block : snapshot.blocks) {
      if (block.gang_count == 0) {
        shapes_.push_back(block.shape);
        continue;
      }
      for (const auto& part : block.parts) {
        free_[index[part.worker]] -= part.accelerators;
      }
    }
    std::sort(shapes_.begin(), shapes_.end(),
              [](auto& a, auto& b) { return a.accelerators > b.accelerators; });
  }

  /// Whether all unused shapes fit at once.
  bool Fits() { return PlaceFrom(0); }

 private:
  bool PlaceFrom(std::size_t next) {
    if (next == shapes_.size()) return true;
    const auto& shape = shapes_[next];
    const int whole = shape.accelerators / worker_size_;
    const int rest = shape.accelerators % worker_size_;
    return PlaceParts(next, whole, rest, -1);
  }

  /// Places the parts that are left of one shape, then all further shapes.
  /// `last` is the last worker used, so that no choice is tried twice.
  bool PlaceParts(std::size_t next, int whole, int rest, int last) {
    if (whole == 0 && rest == 0) return PlaceFrom(next + 1);
    const bool domain = shapes_[next].adjacency == Adjacency::kDomain;
    const int count = whole > 0 ? worker_size_ : rest;
    const int first = whole > 0 ? last + 1 : 0;
    for (int i = first; i < static_cast<int>(free_.size()); ++i) {
      if (free_[i] < count) continue;
      if (last >= 0 && !domain && racks_[i] != racks_[last]) continue;
      free_[i] -= count;
      const bool fits = whole > 0 ? PlaceParts(next, whole - 1, rest, i)
                                  : PlaceParts(next, 0, 0, i);
      free_[i] += count;
      if (fits) return true;
    }
    return false;
  }

  int worker_size_ = 1;
  std::vector<int> free_;
  std::vector<base::RackName> racks_;
  std::vector<Shape> shapes_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_TEST_PLACEMENT_PACKING_ORACLE_H_
