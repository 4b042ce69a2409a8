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
      const bool open = it.present && it.health == WorkerHealth::kHealthy;
      index[it.spec.name] = static_cast<int>(room_.size());
      room_.push_back(open ? it.spec.accelerators : 0);
      rack_.push_back(it.spec.rack);
      size_ = it.spec.accelerators;
    }
    for (const auto& block : snapshot.blocks) {
      if (block.gang_count == 0) {
        shapes_.push_back(block.shape);
        continue;
      }
      for (const auto& part : block.parts) {
        room_[index[part.worker]] -= part.accelerators;
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
    const int whole = shape.accelerators / size_;
    const int rest = shape.accelerators % size_;
    return PlacePieces(next, whole, rest, -1);
  }

  /// Places the pieces that are left of one shape, then all further shapes.
  /// `last` is the last worker used, so that no choice is tried twice.
  bool PlacePieces(std::size_t next, int whole, int rest, int last) {
    if (whole == 0 && rest == 0) return PlaceFrom(next + 1);
    const bool domain = shapes_[next].adjacency == Adjacency::kDomain;
    const int count = whole > 0 ? size_ : rest;
    const int from = whole > 0 ? last + 1 : 0;
    for (int i = from; i < static_cast<int>(room_.size()); ++i) {
      if (room_[i] < count) continue;
      if (last >= 0 && !domain && rack_[i] != rack_[last]) continue;
      room_[i] -= count;
      const bool fits = whole > 0 ? PlacePieces(next, whole - 1, rest, i)
                                  : PlacePieces(next, 0, 0, i);
      room_[i] += count;
      if (fits) return true;
    }
    return false;
  }

  int size_ = 1;
  std::vector<int> room_;
  std::vector<base::RackName> rack_;
  std::vector<Shape> shapes_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_TEST_PLACEMENT_PACKING_ORACLE_H_
