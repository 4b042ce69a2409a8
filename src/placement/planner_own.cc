// Guaranteed work: where an organisation's gang runs in its own blocks, and
// where its unused blocks are moved for that.

#include <algorithm>
#include <limits>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::BlockIndex;
using internal::kNone;
using internal::Place;
using internal::Rooms;
using internal::WorkerIndex;

namespace {

/// Preferences between places that lose the same work, in accelerator seconds.
constexpr double kDisplacedBlockCost = 0.01;
constexpr double kEvictionWaitCost = 0.02;

}  // namespace

bool Planner::Impl::TryOwn(GangState& gang, bool may_evict,
                           base::TimePoint now) {
  const auto& blocks = book_.Of(gang.gang.organisation);
  if (blocks.empty() || RoomIn(blocks) < ChargeOf(gang)) return false;
  std::vector<BlockIndex> in_use;
  for (const auto it : blocks) {
    if (book_.blocks()[it].in_use()) in_use.push_back(it);
  }
  auto best = FindOwnPlace(gang, in_use, now);
  const auto free = [&] {
    return best.eviction_plan.possible && best.eviction_plan.victims.empty() &&
           PhysicallyFree(best.place);
  };
  auto block = SmallestUnused(gang);
  // A block larger than the gang is kept for larger ones while the gang can run
  // elsewhere.
  if (block != kNone && !may_evict && internal::MayBorrow(gang.gang) &&
      book_.blocks()[block].shape.accelerators > ChargeOf(gang)) {
    block = kNone;
  }
  if (block != kNone && !free()) {
    auto moved = MoveWhereFree(gang, block, now);
    if (moved.eviction_plan.possible) {
      best = std::move(moved);
    } else if (may_evict) {
      const double limit = best.eviction_plan.possible
                               ? best.eviction_plan.lost_work
                               : std::numeric_limits<double>::infinity();
      moved = MoveWhereCheapest(gang, block, limit, now);
      if (moved.eviction_plan.possible &&
          moved.eviction_plan.lost_work < limit) {
        best = std::move(moved);
      }
    }
  }
  if (!free()) {
    if (!may_evict) return false;
    // Combines several blocks for a gang that is too large for each of them.
    if (!best.eviction_plan.possible) best = FindOwnPlace(gang, blocks, now);
    if (!best.eviction_plan.possible) return false;
  }
  TakeOwn(gang, std::move(best), now);
  return true;
}

void Planner::Impl::TakeOwn(GangState& gang, OwnPlace own,
                            base::TimePoint now) {
  gang.place = std::move(own.place);
  gang.uses = std::move(own.uses);
  book_.Use(gang.uses);
  StartOrClaim(gang, own.eviction_plan,
               "its place is guaranteed to organisation " +
                   gang.gang.organisation.str() + ", which needs it for job " +
                   gang.gang.job.str(),
               now);
}

bool Planner::Impl::TryDemote(GangState& gang, base::TimePoint now) {
  // No class is below quiet work.
  if (gang.gang.work_class == base::WorkClass::kQuiet) return false;
  BlockIndex best = kNone;
  double best_cost = 0;
  for (const auto index : book_.Of(gang.gang.organisation)) {
    const auto& block = book_.blocks()[index];
    if (block.retiring || !block.in_use() || !book_.Intact(block)) continue;
    if (!internal::ShapeHolds(cell_, block.shape, gang.gang)) continue;
    const auto gangs = GangsIn(index);
    const bool lower =
        std::all_of(gangs.begin(), gangs.end(), [&](const auto* it) {
          return it->phase == internal::GangPhase::kRunning &&
                 internal::Evictable(it->gang) &&
                 it->gang.work_class > gang.gang.work_class;
        });
    if (!lower) continue;
    double cost = 0;
    for (const auto* it : gangs) cost += LostWork(*it, now);
    if (best != kNone && best_cost <= cost) continue;
    best = index;
    best_cost = cost;
  }
  if (best == kNone) return false;
  for (auto* it : GangsIn(best)) MakeBorrowed(*it);
  return TryOwn(gang, /*may_evict=*/true, now);
}

int Planner::Impl::RoomIn(const std::vector<BlockIndex>& blocks) const {
  int room = 0;
  for (const auto index : blocks) {
    for (const auto& it : book_.blocks()[index].pieces) {
      room += it.count - it.in_use;
    }
  }
  return room;
}

int Planner::Impl::ChargeOf(const GangState& gang) const {
  int charge = cell_.largest() + 1;
  for (const auto& it : cell_.types()) {
    charge = std::min(charge, internal::ChargeOn(it, gang.gang.needs));
  }
  return gang.gang.tasks * charge;
}

BlockIndex Planner::Impl::SmallestUnused(const GangState& gang) const {
  for (const auto it : book_.Of(gang.gang.organisation)) {
    const auto& block = book_.blocks()[it];
    if (block.retiring || block.in_use() || !block.placed()) continue;
    if (internal::ShapeHolds(cell_, block.shape, gang.gang)) return it;
  }
  return kNone;
}

Planner::Impl::OwnPlace Planner::Impl::FindOwnPlace(
    const GangState& gang, const std::vector<BlockIndex>& blocks,
    base::TimePoint now) {
  if (RoomIn(blocks) < ChargeOf(gang)) return {};
  Rooms rooms(cell_.size());
  for (const auto index : blocks) {
    const auto& block = book_.blocks()[index];
    if (block.retiring) continue;
    for (const auto& it : block.pieces) {
      if (!cell_.at(it.worker).open()) continue;
      rooms[it.worker].accelerators += it.count - it.in_use;
    }
  }
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    if (rooms[it].accelerators == 0) continue;
    rooms[it].cost =
        EvictionCost(it, rooms[it].accelerators, Victims::kBorrowed, now);
  }
  return OwnPlaceAt(Finder().Find(gang.gang, gang.gang.adjacency, rooms),
                    blocks, now);
}

Planner::Impl::OwnPlace Planner::Impl::OwnPlaceAt(
    Place place, const std::vector<BlockIndex>& blocks, base::TimePoint now) {
  OwnPlace own;
  if (place.empty()) return own;
  own.uses = UsesFor(place, blocks);
  if (own.uses.empty()) return own;
  own.eviction_plan = PlanEvictions(place, Victims::kBorrowed, now);
  own.place = std::move(place);
  return own;
}

Planner::Impl::OwnPlace Planner::Impl::MoveWhereFree(const GangState& gang,
                                                     BlockIndex block,
                                                     base::TimePoint now) {
  const auto& shape = book_.blocks()[block].shape;
  const int worker_size = cell_.largest();
  Rooms rooms(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    const int available = worker.available();
    if (worker.held || available <= 0) continue;
    const int piece = std::min(worker.capacity, shape.accelerators);
    if (worker.unpinned() < piece) continue;
    // Blocks of several workers take whole ones.
    const bool whole = available == worker.capacity;
    if (shape.accelerators > worker_size && gang.gang.tasks > 1 && !whole) {
      continue;
    }
    rooms[it].accelerators = available;
    if (worker.slack() < piece) rooms[it].cost = kDisplacedBlockCost;
  }
  return MoveTo(gang, block, std::move(rooms), now);
}

Planner::Impl::OwnPlace Planner::Impl::MoveWhereCheapest(const GangState& gang,
                                                         BlockIndex block,
                                                         double limit,
                                                         base::TimePoint now) {
  // Where it is now is always possible.
  auto best = FindOwnPlace(gang, {block}, now);
  if (best.eviction_plan.possible) {
    limit = std::min(limit, best.eviction_plan.lost_work);
  }
  const auto shape = book_.blocks()[block].shape;
  const int worker_size = cell_.largest();
  const auto charges = cell_.ChargesOf(gang.gang.needs);
  Rooms rooms(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    const int piece = std::min(worker.capacity, shape.accelerators);
    if (worker.unpinned() < piece) continue;
    const int need = std::min(piece, gang.gang.tasks * charges[worker.type]);
    const double cost = EvictionCost(it, need, Victims::kBorrowed, now);
    if (cost >= limit) continue;
    rooms[it].accelerators = shape.accelerators > worker_size ? piece : need;
    rooms[it].cost = cost;
    if (worker.slack() < piece) rooms[it].cost += kDisplacedBlockCost;
    if (worker.capacity - worker.used < need) {
      rooms[it].cost += kEvictionWaitCost;
    }
  }
  auto moved = MoveTo(gang, block, std::move(rooms), now);
  if (!moved.eviction_plan.possible || moved.eviction_plan.lost_work >= limit) {
    // The block may lie elsewhere now; what was found there still holds if not.
    return FindOwnPlace(gang, {block}, now);
  }
  return moved;
}

Planner::Impl::OwnPlace Planner::Impl::MoveTo(const GangState& gang,
                                              BlockIndex block, Rooms rooms,
                                              base::TimePoint now) {
  const auto shape = book_.blocks()[block].shape;
  const int charge = ChargeOf(gang);
  const bool one_worker =
      std::min(shape.accelerators, cell_.largest()) >= charge;
  const auto adjacency = one_worker
                             ? Adjacency::kWorker
                             : std::min(gang.gang.adjacency, shape.adjacency);
  const auto finder = Finder();
  auto place = finder.Find(gang.gang, adjacency, rooms);
  if (place.empty()) return {};
  if (!book_.MoveOnto(block, place)) {
    // Once more, where no other block has to give way.
    for (WorkerIndex it = 0; it < cell_.size(); ++it) {
      const auto& worker = cell_.at(it);
      const int piece = std::min(worker.capacity, shape.accelerators);
      int own = 0;
      for (const auto& part : book_.blocks()[block].pieces) {
        if (part.worker == it) own += part.count;
      }
      if (worker.slack() + own < piece) rooms[it].accelerators = 0;
    }
    place = finder.Find(gang.gang, adjacency, rooms);
    if (place.empty() || !book_.MoveOnto(block, place)) return {};
  }
  return OwnPlaceAt(std::move(place), {block}, now);
}

}  // namespace lapishatch::placement
