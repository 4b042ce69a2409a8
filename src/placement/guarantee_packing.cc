// Packing of guaranteed blocks, part of GuaranteeBook.

#include <algorithm>
#include <tuple>
#include <utility>

#include "placement/internal/guarantee_book.h"

namespace lapishatch::placement::internal {
namespace {

/// Orders shapes so that greedy packing does best: the hardest to place first.
/// Exact when sizes divide each other: an item of the largest size left takes
/// the same number of slots of every smaller size wherever it goes.
bool HarderThan(const Shape& a, const Shape& b, int worker_size) {
  const auto rank = [&](const Shape& it) {
    // What needs more than one worker needs whole ones, so it goes before what
    // could break them up; in one rack before anywhere.
    const bool several = it.accelerators > worker_size;
    return std::tuple(!several, several && it.adjacency == Adjacency::kDomain,
                      -it.accelerators);
  };
  return rank(a) < rank(b);
}

}  // namespace

bool GuaranteeBook::PlaceAll(std::vector<BlockIndex> todo) {
  const int worker_size = cell_->largest();
  std::stable_sort(todo.begin(), todo.end(), [&](auto a, auto b) {
    return HarderThan(blocks_[a].shape, blocks_[b].shape, worker_size);
  });
  bool all = true;
  for (const auto index : todo) {
    auto pieces = FindSlack(blocks_[index].shape);
    if (pieces.empty()) {
      all = false;
      continue;
    }
    Put(index, std::move(pieces));
  }
  return all;
}

std::vector<Piece> GuaranteeBook::FindSlack(const Shape& shape) const {
  // On one worker is as close together as can be, whatever is asked for. The
  // best fit: the least slack that is enough.
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
      return Fill(all, shape.accelerators);
    }
  }
  return {};
}

std::vector<Piece> GuaranteeBook::FindInRacks(const Shape& shape) const {
  // The rack with the fewest whole workers that is enough.
  std::vector<Piece> best;
  int best_whole = 0;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int whole = 0;
    for (const auto it : cell_->InRack(rack)) {
      const auto& worker = cell_->at(it);
      if (worker.slack() == worker.capacity) whole += worker.capacity;
    }
    if (!best.empty() && whole >= best_whole) continue;
    auto pieces = Fill(cell_->InRack(rack), shape.accelerators);
    if (pieces.empty()) continue;
    best = std::move(pieces);
    best_whole = whole;
  }
  return best;
}

std::vector<Piece> GuaranteeBook::Fill(
    const std::vector<WorkerIndex>& candidates, int accelerators) const {
  std::vector<WorkerIndex> whole;
  for (const auto it : candidates) {
    const auto& worker = cell_->at(it);
    if (worker.open() && worker.slack() == worker.capacity) {
      whole.push_back(it);
    }
  }
  std::stable_sort(whole.begin(), whole.end(), [&](auto a, auto b) {
    return cell_->at(a).capacity > cell_->at(b).capacity;
  });
  std::vector<Piece> pieces;
  int left = accelerators;
  for (const auto it : whole) {
    const int size = cell_->at(it).capacity;
    if (size == 0 || size > left) continue;
    pieces.push_back({.worker = it, .count = size});
    left -= size;
  }
  if (left == 0) return pieces;
  // The rest goes to one worker, the one that it fills best.
  const auto one = FindOne(candidates, left, pieces);
  if (one == kNone) return {};
  pieces.push_back({.worker = one, .count = left});
  return pieces;
}

WorkerIndex GuaranteeBook::FindOne(const std::vector<WorkerIndex>& among,
                                   int count,
                                   const std::vector<Piece>& except) const {
  WorkerIndex best = kNone;
  int best_slack = 0;
  for (const auto it : among) {
    const int slack = cell_->at(it).slack();
    if (slack < count || (best != kNone && slack >= best_slack)) continue;
    const bool excepted =
        std::any_of(except.begin(), except.end(),
                    [&](const Piece& piece) { return piece.worker == it; });
    if (excepted) continue;
    best = it;
    best_slack = slack;
  }
  return best;
}

std::vector<Piece> GuaranteeBook::Cover(const Shape& shape,
                                        const Place& place) const {
  std::vector<Piece> pieces;
  int left = shape.accelerators;
  bool broken = false;
  const auto add = [&](WorkerIndex index, int at_least) {
    const auto& worker = cell_->at(index);
    const int count = std::min(worker.capacity, left);
    if (count < at_least || worker.unpinned() < count) return false;
    // At most one piece is less than a whole worker.
    if (count < worker.capacity && std::exchange(broken, true)) return false;
    pieces.push_back({.worker = index, .count = count});
    left -= count;
    return true;
  };
  if (shape.adjacency == Adjacency::kWorker && place.size() > 1) return {};
  // Fullest first, so that the broken piece is the one that needs least.
  auto slots = place;
  std::stable_sort(slots.begin(), slots.end(),
                   [](auto& a, auto& b) { return a.total() > b.total(); });
  for (const auto& it : slots) {
    const bool far =
        shape.adjacency != Adjacency::kDomain &&
        cell_->at(it.worker).rack != cell_->at(slots.front().worker).rack;
    if (far || !add(it.worker, it.total())) return {};
  }
  if (left == 0) return pieces;
  if (shape.adjacency == Adjacency::kWorker || place.empty()) return {};
  // More whole workers, free of other blocks where there are such.
  std::vector<WorkerIndex> more;
  const auto rack = cell_->at(place.front().worker).rack;
  const bool one_rack = shape.adjacency == Adjacency::kRack;
  for (RackIndex it = 0; it < cell_->racks(); ++it) {
    if (one_rack && it != rack) continue;
    for (const auto index : cell_->InRack(it)) {
      const bool taken =
          std::any_of(pieces.begin(), pieces.end(),
                      [&](auto& piece) { return piece.worker == index; });
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
    const bool taken =
        std::any_of(pieces.begin(), pieces.end(),
                    [&](auto& piece) { return piece.worker == it; });
    if (!taken && cell_->at(it).unpinned() >= left &&
        cell_->at(it).capacity >= left) {
      add(it, 0);
    }
  }
  if (left > 0) return {};
  return pieces;
}

}  // namespace lapishatch::placement::internal
