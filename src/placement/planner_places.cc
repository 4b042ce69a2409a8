// Placement bookkeeping of the planner: charges, blocks, adoption and the
// handling of lost workers.

#include <algorithm>
#include <map>
#include <utility>

#include "placement/internal/planner_impl.h"

namespace lapishatch::placement {

using internal::BlockIndex;
using internal::BlockUse;
using internal::GangPhase;
using internal::GangState;
using internal::Place;

void Planner::Impl::AllocatePlace(GangState& gang) {
  for (const auto& it : gang.place) {
    cell_.at(it.worker).used += it.total();
    gangs_by_worker_[it.worker].push_back(&gang);
  }
  AssignAccelerators(gang);
  auto& account = AccountOf(gang.gang.organisation);
  account.running += gang.charge();
  if (gang.borrowed()) account.borrowed += gang.charge();
}

void Planner::Impl::AssignAccelerators(GangState& gang) {
  const bool given = !gang.accelerator_masks.empty();
  std::size_t task = 0;
  for (const auto& slot : gang.place) {
    auto& worker = cell_.at(slot.worker);
    for (int n = 0; n < slot.tasks; ++n, ++task) {
      if (given) {
        worker.allocated_mask |= gang.accelerator_masks[task];
        continue;
      }
      const auto mask = internal::PickAccelerators(
          worker.allocated_mask, worker.capacity, gang.gang.needs.accelerators);
      worker.allocated_mask |= mask;
      gang.accelerator_masks.push_back(mask);
    }
  }
}

void Planner::Impl::ReleasePlace(GangState& gang) {
  std::size_t task = 0;
  for (const auto& slot : gang.place) {
    auto& worker = cell_.at(slot.worker);
    worker.used -= slot.total();
    if (gang.phase == GangPhase::kEvicting) worker.evicting -= slot.total();
    for (int n = 0; n < slot.tasks; ++n) {
      worker.allocated_mask &= ~gang.accelerator_masks[task++];
    }
    std::erase(gangs_by_worker_[slot.worker], &gang);
  }
  auto& account = AccountOf(gang.gang.organisation);
  account.running -= gang.charge();
  if (gang.borrowed()) account.borrowed -= gang.charge();
  book_.Release(gang.block_uses);
  gang.block_uses.clear();
  IncrementGeneration();
}

void Planner::Impl::ClaimPlace(GangState& gang) {
  gang.phase = GangPhase::kAwaitingCapacity;
  for (const auto& it : gang.place) {
    cell_.at(it.worker).claimed += it.total();
    gangs_by_worker_[it.worker].push_back(&gang);
  }
  AccountOf(gang.gang.organisation).running += gang.charge();
  awaiting_capacity_.push_back(&gang);
}

void Planner::Impl::ReleaseClaim(GangState& gang) {
  for (const auto& it : gang.place) {
    cell_.at(it.worker).claimed -= it.total();
    std::erase(gangs_by_worker_[it.worker], &gang);
  }
  AccountOf(gang.gang.organisation).running -= gang.charge();
  std::erase(awaiting_capacity_, &gang);
  book_.Release(gang.block_uses);
  gang.block_uses.clear();
  IncrementGeneration();
}

void Planner::Impl::ReturnToQueue(GangState& gang) {
  ReleaseClaim(gang);
  gang.place.clear();
  gang.phase = GangPhase::kQueued;
  queue_.Add(gang.gang);
}

void Planner::Impl::MakeBorrowed(GangState& gang) {
  book_.Release(gang.block_uses);
  gang.block_uses.clear();
  AccountOf(gang.gang.organisation).borrowed += gang.charge();
  IncrementGeneration();
}

bool Planner::Impl::AdoptIntoBlocks(GangState& gang) {
  const auto& blocks = book_.BlocksOf(gang.gang.organisation);
  gang.block_uses = BlockUsesFor(gang.place, blocks);
  if (gang.block_uses.empty() && CoverWithBlocks(gang)) {
    gang.block_uses = BlockUsesFor(gang.place, blocks);
  }
  if (gang.block_uses.empty()) return false;
  book_.Allocate(gang.block_uses);
  AccountOf(gang.gang.organisation).borrowed -= gang.charge();
  return true;
}

bool Planner::Impl::CoverWithBlocks(const GangState& gang) {
  const auto blocks = book_.BlocksOf(gang.gang.organisation);
  // Covers the whole gang with the smallest sufficient block; of a block in
  // use, only free parts are moved.
  for (const auto index : blocks) {
    const auto& block = book_.blocks()[index];
    if (block.retiring || !block.placed()) continue;
    if (block.shape.accelerators < gang.charge()) continue;
    if (block.in_use() ? book_.ExtendOnto(index, gang.place)
                       : book_.MoveOnto(index, gang.place)) {
      return true;
    }
  }
  // Otherwise covers it worker by worker with several blocks.
  auto rest = gang.place;
  for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
    const auto& block = book_.blocks()[*it];
    if (block.retiring || block.in_use() || !block.placed()) continue;
    Place part;
    int left = block.shape.accelerators;
    for (const auto& slot : rest) {
      if (slot.total() > left) continue;
      const bool other_rack =
          !part.empty() && block.shape.adjacency != Adjacency::kDomain &&
          cell_.at(part.front().worker).rack != cell_.at(slot.worker).rack;
      if (other_rack) continue;
      part.push_back(slot);
      left -= slot.total();
    }
    if (part.empty() || !book_.MoveOnto(*it, part)) continue;
    std::erase_if(rest, [&](const auto& slot) {
      return std::any_of(part.begin(), part.end(), [&](const auto& other) {
        return other.worker == slot.worker;
      });
    });
    if (rest.empty()) return true;
  }
  return false;
}

std::vector<BlockUse> Planner::Impl::BlockUsesFor(
    const Place& place, const std::vector<BlockIndex>& blocks) const {
  std::vector<BlockUse> uses;
  for (const auto& slot : place) {
    int need = slot.total();
    for (const auto index : blocks) {
      const auto& block = book_.blocks()[index];
      if (block.retiring) continue;
      for (const auto& part : block.parts) {
        if (part.worker != slot.worker) continue;
        const int n = std::min(need, part.count - part.in_use);
        if (n <= 0) continue;
        uses.push_back({index, slot.worker, n});
        need -= n;
      }
    }
    if (need > 0) return {};
  }
  return uses;
}

void Planner::Impl::RepairBook() {
  IncrementGeneration();
  // A gang whose claimed worker was lost goes back to the queue.
  const auto awaiting_capacity = awaiting_capacity_;
  for (auto* it : awaiting_capacity) {
    const bool lost = std::any_of(
        it->place.begin(), it->place.end(),
        [&](const auto& slot) { return !cell_.at(slot.worker).schedulable(); });
    if (lost) ReturnToQueue(*it);
  }
  book_.Repair();
  if (has_broken_blocks_) VacateBrokenBlocks();
}

void Planner::Impl::VacateBrokenBlocks() {
  has_broken_blocks_ = false;
  for (const auto index : book_.BrokenBlocks()) {
    has_broken_blocks_ = true;
    // Vacates the block only if its guarantee can then be honoured elsewhere:
    // otherwise its gangs would lose the rest of the guarantee without benefit.
    auto cell = cell_;
    auto book = book_;
    book.Rebind(cell);
    const auto missing = [](const internal::GuaranteeBook& it) {
      int sum = 0;
      for (const auto& shortfall : it.Shortfalls()) sum += shortfall.missing;
      return sum;
    };
    const int before = missing(book);
    for (const auto* it : GangsIn(index)) {
      if (internal::IsEvictable(it->gang)) book.Release(it->block_uses);
    }
    if (book.blocks()[index].in_use()) book.RetireAndReplace(index);
    book.Repair();
    if (missing(book) >= before) continue;
    VacateBlock(index);
    book_.Repair();
  }
}

void Planner::Impl::VacateBlock(BlockIndex block) {
  for (auto* it : GangsIn(block)) {
    if (internal::IsEvictable(it->gang)) MakeBorrowed(*it);
  }
  if (book_.blocks()[block].in_use()) book_.RetireAndReplace(block);
}

std::vector<GangState*> Planner::Impl::GangsIn(BlockIndex block) const {
  std::vector<GangState*> found;
  for (const auto& part : book_.blocks()[block].parts) {
    for (auto* it : gangs_by_worker_[part.worker]) {
      const bool uses =
          std::any_of(it->block_uses.begin(), it->block_uses.end(),
                      [&](const BlockUse& use) { return use.block == block; });
      if (!uses) continue;
      if (std::find(found.begin(), found.end(), it) != found.end()) continue;
      found.push_back(it);
    }
  }
  return found;
}

std::vector<GangState*> Planner::Impl::GangsLosingGuarantee(
    const internal::GuaranteeBook& book) {
  std::vector<GangState*> gangs;
  for (std::size_t i = 0; i < book.blocks().size(); ++i) {
    const auto& block = book.blocks()[i];
    if (block.vacant || !block.retiring) continue;
    for (auto* it : GangsIn(static_cast<BlockIndex>(i))) {
      if (it->phase != GangPhase::kAwaitingCapacity &&
          !internal::IsEvictable(it->gang)) {
        continue;
      }
      if (std::find(gangs.begin(), gangs.end(), it) != gangs.end()) {
        continue;
      }
      gangs.push_back(it);
    }
  }
  return gangs;
}

std::string Planner::Impl::InfeasibilityReason(
    const std::vector<Guarantee>& guarantees) {
  auto cell = cell_;
  auto book = book_;
  book.Rebind(cell);
  book.SetGuarantees(guarantees);
  for (auto* it : GangsLosingGuarantee(book)) book.Release(it->block_uses);
  book.Repair();
  auto shortfalls = book.Shortfalls();
  // Shortfalls that existed before, through lost hardware, do not block a
  // change.
  for (const auto& known : Shortfalls()) {
    std::erase_if(shortfalls, [&](const Shortfall& it) {
      return it.organisation == known.organisation && it.shape == known.shape &&
             it.missing <= known.missing;
    });
  }
  if (shortfalls.empty()) return {};
  const auto& first = shortfalls.front();
  return "organisation " + first.organisation.str() + ": " +
         std::to_string(first.missing) + " of its blocks of " +
         std::to_string(first.shape.accelerators) +
         " accelerators (adjacency " +
         std::string(base::NameOf(first.shape.adjacency)) +
         ") cannot be placed on the healthy workers together with all other "
         "guarantees and the work that cannot be moved";
}

GangPlacement Planner::Impl::PlacementOf(const GangState& gang) const {
  GangPlacement placement;
  placement.borrowed = gang.borrowed();
  int task = 0;
  for (const auto& slot : gang.place) {
    for (int n = 0; n < slot.tasks; ++n, ++task) {
      const auto mask =
          gang.accelerator_masks.empty() ? 0 : gang.accelerator_masks[task];
      placement.tasks.push_back({task, cell_.spec(slot.worker).name, mask});
    }
  }
  return placement;
}

std::vector<Shortfall> Planner::Impl::Shortfalls() const {
  return book_.Shortfalls();
}

}  // namespace lapishatch::placement
