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
      free_workers_by_rack_(cell.racks(), 0),
      obtainable_by_rack_(cell.racks(), 0) {
  if (target_shape.accelerators > worker_size_) {
    target_workers_ =
        (target_shape.accelerators + worker_size_ - 1) / worker_size_;
  }
  for (const auto& it : cell.workers()) {
    if (it.rack == kNone) continue;
    const int available = it.available();
    obtainable_by_rack_[it.rack] += available + it.unpinned();
    if (available == it.capacity && available > 0) {
      ++free_workers_by_rack_[it.rack];
    }
  }
}

Place PlaceFinder::Find(const Gang& gang, Adjacency adjacency,
                        const Offers& offers) const {
  const auto charges = cell_->ChargesByType(gang.needs);
  switch (adjacency) {
    case Adjacency::kWorker:
      return FindOnOneWorker(gang.tasks, charges, offers);
    case Adjacency::kRack:
      return FindInOneRack(gang.tasks, charges, offers);
    case Adjacency::kDomain:
      return FindAcrossRacks(gang.tasks, charges, offers);
  }
  return {};
}

Place PlaceFinder::FindOnOneWorker(int tasks, const std::vector<int>& charges,
                                   const Offers& offers) const {
  Slot best;
  Score best_score;
  for (WorkerIndex it = 0; it < cell_->size(); ++it) {
    const Slot slot{it, tasks, ChargeAt(it, charges)};
    const auto& offer = offers[it];
    if (offer.accelerators < slot.total()) continue;
    const Score score{offer.cost + CountStranded(&slot, &slot + 1),
                      obtainable_by_rack_[cell_->at(it).rack],
                      offer.accelerators - slot.total()};
    if (best.worker != kNone && best_score <= score) continue;
    best = slot;
    best_score = score;
  }
  if (best.worker == kNone) return {};
  return {best};
}

Place PlaceFinder::AssignTasks(int tasks, const std::vector<int>& charges,
                               const Offers& offers,
                               std::vector<WorkerIndex> candidates) const {
  // Uses the cheapest workers first, then the smallest, so that whole workers
  // are split last.
  std::stable_sort(candidates.begin(), candidates.end(), [&](auto a, auto b) {
    return std::tuple(offers[a].cost, offers[a].accelerators) <
           std::tuple(offers[b].cost, offers[b].accelerators);
  });
  Place place;
  for (const auto it : candidates) {
    const int charge = ChargeAt(it, charges);
    const int n = std::min(tasks, offers[it].accelerators / charge);
    if (n <= 0) continue;
    place.push_back({it, n, charge});
    tasks -= n;
    if (tasks == 0) return place;
  }
  return {};
}

Place PlaceFinder::FindInOneRack(int tasks, const std::vector<int>& charges,
                                 const Offers& offers) const {
  Place best;
  Score best_score;
  std::vector<WorkerIndex> candidates;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int fitting = 0;
    int free = 0;
    candidates.clear();
    for (const auto it : cell_->InRack(rack)) {
      if (offers[it].accelerators <= 0) continue;
      const int n = offers[it].accelerators / ChargeAt(it, charges);
      if (n <= 0) continue;
      fitting += n;
      free += offers[it].accelerators;
      candidates.push_back(it);
    }
    if (fitting < tasks) continue;
    auto place = AssignTasks(tasks, charges, offers, candidates);
    Score score{1.0 * CountStranded(place.data(), place.data() + place.size()),
                obtainable_by_rack_[rack], free};
    for (const auto& it : place) score.cost += offers[it.worker].cost;
    if (!best.empty() && best_score <= score) continue;
    best = std::move(place);
    best_score = score;
  }
  return best;
}

Place PlaceFinder::FindAcrossRacks(int tasks, const std::vector<int>& charges,
                                   const Offers& offers) const {
  auto place = FindInOneRack(tasks, charges, offers);
  if (!place.empty()) return place;
  // Uses the racks with the most capacity first, so that the gang spans few
  // racks.
  std::vector<std::pair<int, RackIndex>> rack_capacities;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int fitting = 0;
    for (const auto it : cell_->InRack(rack)) {
      fitting += std::max(0, offers[it].accelerators / ChargeAt(it, charges));
    }
    if (fitting > 0) rack_capacities.emplace_back(-fitting, rack);
  }
  std::sort(rack_capacities.begin(), rack_capacities.end());
  int left = tasks;
  for (const auto& [fitting, rack] : rack_capacities) {
    const int n = std::min(left, -fitting);
    const auto part = AssignTasks(n, charges, offers, cell_->InRack(rack));
    place.insert(place.end(), part.begin(), part.end());
    left -= n;
    if (left == 0) return place;
  }
  return {};
}

int PlaceFinder::CountStrandedInRack(int whole_workers) const {
  if (target_workers_ == 0) return 0;
  return whole_workers % target_workers_ * worker_size_;
}

int PlaceFinder::CountStranded(const Slot* begin, const Slot* end) const {
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
  const int whole = free_workers_by_rack_[cell_->at(begin->worker).rack];
  return change + CountStrandedInRack(whole - whole_taken) -
         CountStrandedInRack(whole);
}

}  // namespace lapishatch::placement::internal
