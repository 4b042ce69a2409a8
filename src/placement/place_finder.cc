#include "placement/internal/place_finder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lapishatch::placement::internal {

PlaceFinder::PlaceFinder(const Cell& cell, const Shape& target_shape)
    : cell_(&cell),
      worker_size_(std::max(1, cell.largest())),
      target_workers_(0),
      target_accelerators_(std::max(1, target_shape.accelerators)),
      whole_(cell.racks(), 0),
      open_(cell.racks(), 0) {
  if (target_shape.accelerators > worker_size_) {
    target_workers_ =
        (target_shape.accelerators + worker_size_ - 1) / worker_size_;
  }
  for (const auto& it : cell.workers()) {
    if (it.rack == kNone) continue;
    const int available = it.available();
    open_[it.rack] += available + it.unpinned();
    if (available == it.capacity && available > 0) ++whole_[it.rack];
  }
}

Place PlaceFinder::Find(const Gang& gang, Adjacency adjacency,
                        const Rooms& rooms) const {
  const auto charges = cell_->ChargesOf(gang.needs);
  switch (adjacency) {
    case Adjacency::kWorker:
      return OnOneWorker(gang.tasks, charges, rooms);
    case Adjacency::kRack:
      return InOneRack(gang.tasks, charges, rooms);
    case Adjacency::kDomain:
      return AcrossRacks(gang.tasks, charges, rooms);
  }
  return {};
}

Place PlaceFinder::OnOneWorker(int tasks, const std::vector<int>& charges,
                               const Rooms& rooms) const {
  Slot best;
  Score best_score;
  for (WorkerIndex it = 0; it < cell_->size(); ++it) {
    const Slot slot{it, tasks, ChargeAt(it, charges)};
    const auto& room = rooms[it];
    if (room.accelerators < slot.total()) continue;
    const Score score{room.cost + Stranded(&slot, &slot + 1),
                      open_[cell_->at(it).rack],
                      room.accelerators - slot.total()};
    if (best.worker != kNone && best_score <= score) continue;
    best = slot;
    best_score = score;
  }
  if (best.worker == kNone) return {};
  return {best};
}

Place PlaceFinder::Spread(int tasks, const std::vector<int>& charges,
                          const Rooms& rooms,
                          std::vector<WorkerIndex> among) const {
  // Uses the cheapest workers first, then the smallest, so that whole workers
  // are split last.
  std::stable_sort(among.begin(), among.end(), [&](auto a, auto b) {
    return std::tuple(rooms[a].cost, rooms[a].accelerators) <
           std::tuple(rooms[b].cost, rooms[b].accelerators);
  });
  Place place;
  for (const auto it : among) {
    const int charge = ChargeAt(it, charges);
    const int n = std::min(tasks, rooms[it].accelerators / charge);
    if (n <= 0) continue;
    place.push_back({it, n, charge});
    tasks -= n;
    if (tasks == 0) return place;
  }
  return {};
}

Place PlaceFinder::InOneRack(int tasks, const std::vector<int>& charges,
                             const Rooms& rooms) const {
  Place best;
  Score best_score;
  std::vector<WorkerIndex> among;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int fitting = 0;
    int free = 0;
    among.clear();
    for (const auto it : cell_->InRack(rack)) {
      if (rooms[it].accelerators <= 0) continue;
      const int n = rooms[it].accelerators / ChargeAt(it, charges);
      if (n <= 0) continue;
      fitting += n;
      free += rooms[it].accelerators;
      among.push_back(it);
    }
    if (fitting < tasks) continue;
    auto place = Spread(tasks, charges, rooms, among);
    Score score{1.0 * Stranded(place.data(), place.data() + place.size()),
                open_[rack], free};
    for (const auto& it : place) score.cost += rooms[it.worker].cost;
    if (!best.empty() && best_score <= score) continue;
    best = std::move(place);
    best_score = score;
  }
  return best;
}

Place PlaceFinder::AcrossRacks(int tasks, const std::vector<int>& charges,
                               const Rooms& rooms) const {
  auto place = InOneRack(tasks, charges, rooms);
  if (!place.empty()) return place;
  // Racks that offer most go first, so that few racks are touched.
  std::vector<std::pair<int, RackIndex>> offers;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int fitting = 0;
    for (const auto it : cell_->InRack(rack)) {
      fitting += std::max(0, rooms[it].accelerators / ChargeAt(it, charges));
    }
    if (fitting > 0) offers.emplace_back(-fitting, rack);
  }
  std::sort(offers.begin(), offers.end());
  int left = tasks;
  for (const auto& [fitting, rack] : offers) {
    const int n = std::min(left, -fitting);
    const auto part = Spread(n, charges, rooms, cell_->InRack(rack));
    place.insert(place.end(), part.begin(), part.end());
    left -= n;
    if (left == 0) return place;
  }
  return {};
}

int PlaceFinder::StrandedIn(int whole_workers) const {
  if (target_workers_ == 0) return 0;
  return whole_workers % target_workers_ * worker_size_;
}

int PlaceFinder::Stranded(const Slot* begin, const Slot* end) const {
  int change = 0;
  int whole_taken = 0;
  for (const auto* it = begin; it != end; ++it) {
    const auto& worker = cell_->at(it->worker);
    const int free = worker.available();
    const int after = std::max(0, free - it->total());
    if (target_workers_ == 0) {
      change += after % target_accelerators_ - free % target_accelerators_;
    } else if (free == worker.capacity) {
      ++whole_taken;
      change += after;
    } else {
      change += after - free;
    }
  }
  if (whole_taken == 0) return change;
  const int whole = whole_[cell_->at(begin->worker).rack];
  return change + StrandedIn(whole - whole_taken) - StrandedIn(whole);
}

}  // namespace lapishatch::placement::internal
