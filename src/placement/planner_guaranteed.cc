// Guaranteed work: selects places for gangs in their organisation's blocks, and
// moves unused blocks for that.

#include <algorithm>
#include <limits>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::BlockIndex;
using internal::kNone;
using internal::Offers;
using internal::Place;
using internal::WorkerIndex;

namespace {

/// Costs that decide between places that lose the same work, in accelerator
/// seconds.
constexpr double kDisplacedBlockCost = 0.01;
constexpr double kEvictionWaitCost = 0.02;

}  // namespace

bool Planner::Impl::TryGuaranteed(GangState& gang, bool may_evict,
                                  base::TimePoint now) {
  const auto& blocks = book_.BlocksOf(gang.gang.organisation);
  if (blocks.empty() || FreeCapacityIn(blocks) < MinimumCharge(gang)) {
    return false;
  }
  std::vector<BlockIndex> in_use;
  for (const auto it : blocks) {
    if (book_.blocks()[it].in_use()) in_use.push_back(it);
  }
  auto best = FindGuaranteedPlace(gang, in_use, now);
  const auto free = [&] {
    return best.eviction_plan.possible && best.eviction_plan.victims.empty() &&
           IsPhysicallyFree(best.place);
  };
  auto block = SmallestUnusedBlock(gang);
  // A block larger than the gang is kept for larger gangs while the gang can
  // run elsewhere.
  if (block != kNone && !may_evict && internal::MayBorrow(gang.gang) &&
      book_.blocks()[block].shape.accelerators > MinimumCharge(gang)) {
    block = kNone;
  }
  if (block != kNone && !free()) {
    auto moved = MoveBlockToFreePlace(gang, block, now);
    if (moved.eviction_plan.possible) {
      best = std::move(moved);
    } else if (may_evict) {
      const double limit = best.eviction_plan.possible
                               ? best.eviction_plan.lost_work
                               : std::numeric_limits<double>::infinity();
      moved = MoveBlockToCheapestPlace(gang, block, limit, now);
      if (moved.eviction_plan.possible &&
          moved.eviction_plan.lost_work < limit) {
        best = std::move(moved);
      }
    }
  }
  if (!free()) {
    if (!may_evict) return false;
    // Combines several blocks for a gang that is too large for each of them.
    if (!best.eviction_plan.possible) {
      best = FindGuaranteedPlace(gang, blocks, now);
    }
    if (!best.eviction_plan.possible) return false;
  }
  UseGuaranteedPlace(gang, std::move(best), now);
  return true;
}

void Planner::Impl::UseGuaranteedPlace(GangState& gang,
                                       GuaranteedPlace guaranteed_place,
                                       base::TimePoint now) {
  gang.place = std::move(guaranteed_place.place);
  gang.block_uses = std::move(guaranteed_place.block_uses);
  book_.Allocate(gang.block_uses);
  StartOrClaim(gang, guaranteed_place.eviction_plan,
               "its place is guaranteed to organisation " +
                   gang.gang.organisation.str() + ", which needs it for job " +
                   gang.gang.job.str(),
               now);
}

bool Planner::Impl::TryTakeOverBlock(GangState& gang, base::TimePoint now) {
  // No class is below quiet work.
  if (gang.gang.work_class == base::WorkClass::kQuiet) return false;
  BlockIndex best = kNone;
  double best_cost = 0;
  for (const auto index : book_.BlocksOf(gang.gang.organisation)) {
    const auto& block = book_.blocks()[index];
    if (block.retiring || !block.in_use() || !book_.IsIntact(block)) continue;
    if (!internal::ShapeHolds(cell_, block.shape, gang.gang)) continue;
    const auto gangs = GangsIn(index);
    const bool lower =
        std::all_of(gangs.begin(), gangs.end(), [&](const auto* it) {
          return it->phase == internal::GangPhase::kRunning &&
                 internal::IsEvictable(it->gang) &&
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
  return TryGuaranteed(gang, /*may_evict=*/true, now);
}

int Planner::Impl::FreeCapacityIn(const std::vector<BlockIndex>& blocks) const {
  int free = 0;
  for (const auto index : blocks) {
    for (const auto& it : book_.blocks()[index].parts) {
      free += it.count - it.in_use;
    }
  }
  return free;
}

int Planner::Impl::MinimumCharge(const GangState& gang) const {
  int charge = cell_.largest() + 1;
  for (const auto& it : cell_.types()) {
    charge = std::min(charge, internal::ChargeOn(it, gang.gang.needs));
  }
  return gang.gang.tasks * charge;
}

BlockIndex Planner::Impl::SmallestUnusedBlock(const GangState& gang) const {
  for (const auto it : book_.BlocksOf(gang.gang.organisation)) {
    const auto& block = book_.blocks()[it];
    if (block.retiring || block.in_use() || !block.placed()) continue;
    if (internal::ShapeHolds(cell_, block.shape, gang.gang)) return it;
  }
  return kNone;
}

Planner::Impl::GuaranteedPlace Planner::Impl::FindGuaranteedPlace(
    const GangState& gang, const std::vector<BlockIndex>& blocks,
    base::TimePoint now) {
  if (FreeCapacityIn(blocks) < MinimumCharge(gang)) return {};
  Offers offers(cell_.size());
  for (const auto index : blocks) {
    const auto& block = book_.blocks()[index];
    if (block.retiring) continue;
    for (const auto& it : block.parts) {
      if (!cell_.at(it.worker).schedulable()) continue;
      offers[it.worker].accelerators += it.count - it.in_use;
    }
  }
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    if (offers[it].accelerators == 0) continue;
    offers[it].cost =
        EvictionCost(it, offers[it].accelerators, Victims::kBorrowed, now);
  }
  return MakeGuaranteedPlace(
      MakeFinder().Find(gang.gang, gang.gang.adjacency, offers), blocks, now);
}

Planner::Impl::GuaranteedPlace Planner::Impl::MakeGuaranteedPlace(
    Place place, const std::vector<BlockIndex>& blocks, base::TimePoint now) {
  GuaranteedPlace guaranteed_place;
  if (place.empty()) return guaranteed_place;
  guaranteed_place.block_uses = BlockUsesFor(place, blocks);
  if (guaranteed_place.block_uses.empty()) return guaranteed_place;
  guaranteed_place.eviction_plan =
      PlanEvictions(place, Victims::kBorrowed, now);
  guaranteed_place.place = std::move(place);
  return guaranteed_place;
}

Planner::Impl::GuaranteedPlace Planner::Impl::MoveBlockToFreePlace(
    const GangState& gang, BlockIndex block, base::TimePoint now) {
  const auto& shape = book_.blocks()[block].shape;
  const int worker_size = cell_.largest();
  Offers offers(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    const int available = worker.available();
    if (worker.in_reservation || available <= 0) continue;
    const int part = std::min(worker.capacity, shape.accelerators);
    if (worker.unpinned() < part) continue;
    // Blocks that span several workers take whole workers.
    const bool whole = available == worker.capacity;
    if (shape.accelerators > worker_size && gang.gang.tasks > 1 && !whole) {
      continue;
    }
    offers[it].accelerators = available;
    if (worker.slack() < part) offers[it].cost = kDisplacedBlockCost;
  }
  return MoveBlockWithin(gang, block, std::move(offers), now);
}

Planner::Impl::GuaranteedPlace Planner::Impl::MoveBlockToCheapestPlace(
    const GangState& gang, BlockIndex block, double limit,
    base::TimePoint now) {
  // The block's present place is always a candidate.
  auto best = FindGuaranteedPlace(gang, {block}, now);
  if (best.eviction_plan.possible) {
    limit = std::min(limit, best.eviction_plan.lost_work);
  }
  const auto shape = book_.blocks()[block].shape;
  const int worker_size = cell_.largest();
  const auto charges = cell_.ChargesByType(gang.gang.needs);
  Offers offers(cell_.size());
  for (WorkerIndex it = 0; it < cell_.size(); ++it) {
    const auto& worker = cell_.at(it);
    const int part = std::min(worker.capacity, shape.accelerators);
    if (worker.unpinned() < part) continue;
    const int need = std::min(part, gang.gang.tasks * charges[worker.type]);
    const double cost = EvictionCost(it, need, Victims::kBorrowed, now);
    if (cost >= limit) continue;
    offers[it].accelerators = shape.accelerators > worker_size ? part : need;
    offers[it].cost = cost;
    if (worker.slack() < part) offers[it].cost += kDisplacedBlockCost;
    if (worker.capacity - worker.used < need) {
      offers[it].cost += kEvictionWaitCost;
    }
  }
  auto moved = MoveBlockWithin(gang, block, std::move(offers), now);
  if (!moved.eviction_plan.possible || moved.eviction_plan.lost_work >= limit) {
    // The block may have been moved, so its place is searched again; if it was
    // not, the result is the same as before.
    return FindGuaranteedPlace(gang, {block}, now);
  }
  return moved;
}

Planner::Impl::GuaranteedPlace Planner::Impl::MoveBlockWithin(
    const GangState& gang, BlockIndex block, Offers offers,
    base::TimePoint now) {
  const auto shape = book_.blocks()[block].shape;
  const int charge = MinimumCharge(gang);
  const bool one_worker =
      std::min(shape.accelerators, cell_.largest()) >= charge;
  const auto adjacency = one_worker
                             ? Adjacency::kWorker
                             : std::min(gang.gang.adjacency, shape.adjacency);
  const auto finder = MakeFinder();
  auto place = finder.Find(gang.gang, adjacency, offers);
  if (place.empty()) return {};
  if (!book_.MoveOnto(block, place)) {
    // Tries again, only where no other block has to move.
    for (WorkerIndex it = 0; it < cell_.size(); ++it) {
      const auto& worker = cell_.at(it);
      const int part = std::min(worker.capacity, shape.accelerators);
      int own_count = 0;
      for (const auto& own_part : book_.blocks()[block].parts) {
        if (own_part.worker == it) own_count += own_part.count;
      }
      if (worker.slack() + own_count < part) offers[it].accelerators = 0;
    }
    place = finder.Find(gang.gang, adjacency, offers);
    if (place.empty() || !book_.MoveOnto(block, place)) return {};
  }
  return MakeGuaranteedPlace(std::move(place), {block}, now);
}

}  // namespace lapishatch::placement
