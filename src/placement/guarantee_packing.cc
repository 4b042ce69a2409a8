// Packing of guaranteed blocks, part of GuaranteeBook.

#include <algorithm>
#include <tuple>
#include <utility>

#include "placement/internal/guarantee_book.h"

namespace lapishatch::placement::internal {
namespace {

/// Orders shapes for greedy packing, the hardest to place first. Greedy packing
/// is exact when sizes divide each other, because a shape of the largest
/// remaining size then takes the same number of slots of every smaller size
/// wherever it is placed.
bool IsHarderToPlace(const Shape& a, const Shape& b, int worker_size) {
  const auto rank = [&](const Shape& it) {
    // Shapes larger than one worker need whole workers, so they are placed
    // before smaller shapes, which could split workers; shapes for one rack
    // come before those for any rack.
    const bool several = it.accelerators > worker_size;
    return std::tuple(!several, several && it.adjacency == Adjacency::kDomain,
                      -it.accelerators);
  };
  return rank(a) < rank(b);
}

}  // namespace

bool GuaranteeBook::PlaceAll(std::vector<BlockIndex> to_place) {
  const int worker_size = cell_->largest();
  std::stable_sort(to_place.begin(), to_place.end(), [&](auto a, auto b) {
    return IsHarderToPlace(blocks_[a].shape, blocks_[b].shape, worker_size);
  });
  bool all = true;
  for (const auto index : to_place) {
    auto parts = FindSlack(blocks_[index].shape);
    if (parts.empty()) {
      all = false;
      continue;
    }
    PlaceBlock(index, std::move(parts));
  }
  return all;
}

std::vector<WorkerPart> GuaranteeBook::FindSlack(const Shape& shape) const {
  // One worker satisfies every adjacency. The best fit is the worker with the
  // least sufficient slack.
  WorkerIndex best = kNone;
  int best_slack = 0;
  for (WorkerIndex it = 0; it < cell_->size(); ++it) {
    const int slack = cell_->at(it).slack();
    if (slack < shape.accelerators) continue;
    if (best != kNone && slack >= best_slack) continue;
    best = it;
    best_slack = slack;
    if (slack == shape.accelerators) break;
  }
  if (best != kNone) {
    return {{.worker = best, .count = shape.accelerators}};
  }
  switch (shape.adjacency) {
    case Adjacency::kWorker:
      return {};
    case Adjacency::kRack:
      return FindInRacks(shape);
    case Adjacency::kDomain: {
      std::vector<WorkerIndex> all;
      for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
        const auto& here = cell_->InRack(rack);
        all.insert(all.end(), here.begin(), here.end());
      }
      return FillWorkers(all, shape.accelerators);
    }
  }
  return {};
}

std::vector<WorkerPart> GuaranteeBook::FindInRacks(const Shape& shape) const {
  // Picks the rack with the smallest sufficient capacity of whole workers.
  std::vector<WorkerPart> best;
  int best_whole = 0;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int whole = 0;
    for (const auto it : cell_->InRack(rack)) {
      const auto& worker = cell_->at(it);
      if (worker.slack() == worker.capacity) whole += worker.capacity;
    }
    if (!best.empty() && whole >= best_whole) continue;
    auto parts = FillWorkers(cell_->InRack(rack), shape.accelerators);
    if (parts.empty()) continue;
    best = std::move(parts);
    best_whole = whole;
  }
  return best;
}

std::vector<WorkerPart> GuaranteeBook::FillWorkers(
    const std::vector<WorkerIndex>& candidates, int accelerators) const {
  std::vector<WorkerIndex> whole;
  for (const auto it : candidates) {
    const auto& worker = cell_->at(it);
    if (worker.schedulable() && worker.slack() == worker.capacity) {
      whole.push_back(it);
    }
  }
  std::stable_sort(whole.begin(), whole.end(), [&](auto a, auto b) {
    return cell_->at(a).capacity > cell_->at(b).capacity;
  });
  std::vector<WorkerPart> parts;
  int left = accelerators;
  for (const auto it : whole) {
    const int size = cell_->at(it).capacity;
    if (size == 0 || size > left) continue;
    parts.push_back({.worker = it, .count = size});
    left -= size;
  }
  if (left == 0) return parts;
  // The rest goes to the one worker that it fits best.
  const auto one = FindBestFit(candidates, left, parts);
  if (one == kNone) return {};
  parts.push_back({.worker = one, .count = left});
  return parts;
}

WorkerIndex GuaranteeBook::FindBestFit(
    const std::vector<WorkerIndex>& candidates, int count,
    const std::vector<WorkerPart>& excluded) const {
  WorkerIndex best = kNone;
  int best_slack = 0;
  for (const auto it : candidates) {
    const int slack = cell_->at(it).slack();
    if (slack < count || (best != kNone && slack >= best_slack)) continue;
    const bool is_excluded =
        std::any_of(excluded.begin(), excluded.end(),
                    [&](const WorkerPart& part) { return part.worker == it; });
    if (is_excluded) continue;
    best = it;
    best_slack = slack;
  }
  return best;
}

std::vector<WorkerPart> GuaranteeBook::FindCovering(const Shape& shape,
                                                    const Place& place) const {
  std::vector<WorkerPart> parts;
  int left = shape.accelerators;
  bool broken = false;
  const auto add = [&](WorkerIndex index, int at_least) {
    const auto& worker = cell_->at(index);
    const int count = std::min(worker.capacity, left);
    if (count < at_least || worker.unpinned() < count) return false;
    // At most one part is less than a whole worker.
    if (count < worker.capacity && std::exchange(broken, true)) return false;
    parts.push_back({.worker = index, .count = count});
    left -= count;
    return true;
  };
  if (shape.adjacency == Adjacency::kWorker && place.size() > 1) return {};
  // Largest first, so that the part that splits a worker is the smallest.
  auto slots = place;
  std::stable_sort(slots.begin(), slots.end(),
                   [](auto& a, auto& b) { return a.total() > b.total(); });
  for (const auto& it : slots) {
    const bool far =
        shape.adjacency != Adjacency::kDomain &&
        cell_->at(it.worker).rack != cell_->at(slots.front().worker).rack;
    if (far || !add(it.worker, it.total())) return {};
  }
  if (left == 0) return parts;
  if (shape.adjacency == Adjacency::kWorker || place.empty()) return {};
  // Adds whole workers, preferably those without other blocks.
  std::vector<WorkerIndex> more;
  const auto rack = cell_->at(place.front().worker).rack;
  const bool one_rack = shape.adjacency == Adjacency::kRack;
  for (RackIndex it = 0; it < cell_->racks(); ++it) {
    if (one_rack && it != rack) continue;
    for (const auto index : cell_->InRack(it)) {
      const bool taken =
          std::any_of(parts.begin(), parts.end(),
                      [&](auto& part) { return part.worker == index; });
      if (!taken && cell_->at(index).unpinned() > 0) more.push_back(index);
    }
  }
  std::stable_sort(more.begin(), more.end(), [&](auto a, auto b) {
    const auto& left_worker = cell_->at(a);
    const auto& right_worker = cell_->at(b);
    return std::tuple(left_worker.reserved, left_worker.used) <
           std::tuple(right_worker.reserved, right_worker.used);
  });
  for (const auto it : more) {
    const auto& worker = cell_->at(it);
    if (left >= worker.capacity && worker.unpinned() == worker.capacity) {
      add(it, 0);
    }
  }
  for (const auto it : more) {
    if (left == 0) break;
    const bool taken = std::any_of(parts.begin(), parts.end(), [&](auto& part) {
      return part.worker == it;
    });
    if (!taken && cell_->at(it).unpinned() >= left &&
        cell_->at(it).capacity >= left) {
      add(it, 0);
    }
  }
  if (left > 0) return {};
  return parts;
}

}  // namespace lapishatch::placement::internal
