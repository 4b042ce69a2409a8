#include "placement/internal/guarantee_book.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace lapishatch::placement::internal {
namespace {

bool IsOfGuarantee(const Block& block, const Guarantee& guarantee) {
  return block.organisation == guarantee.organisation &&
         block.shape == guarantee.shape;
}

}  // namespace

bool ShapeHolds(const Cell& cell, const Shape& shape, const Gang& gang) {
  const WorkerSpec* largest = nullptr;
  for (const auto& it : cell.types()) {
    if (largest == nullptr || it.accelerators > largest->accelerators) {
      largest = &it;
    }
  }
  if (largest == nullptr || largest->accelerators == 0) return false;
  const int size = largest->accelerators;
  const int charge = ChargeOn(*largest, gang.needs);
  const int whole = shape.accelerators / size;
  const int rest = shape.accelerators % size;
  // Size of the largest part, which lies on one worker.
  const int one = whole > 0 ? size : rest;
  if (gang.tasks * charge <= one) return true;
  if (shape.adjacency == Adjacency::kWorker) return false;
  if (shape.adjacency > gang.adjacency) return false;
  return whole * (size / charge) + rest / charge >= gang.tasks;
}

void GuaranteeBook::SetGuarantees(const std::vector<Guarantee>& guarantees) {
  std::vector<int> wanted;
  wanted.reserve(guarantees.size());
  for (const auto& it : guarantees) wanted.push_back(std::max(0, it.count));
  std::vector<BlockIndex> order(blocks_.size());
  std::iota(order.begin(), order.end(), 0);
  // Keeps blocks in use first, then placed ones.
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return std::tuple(!blocks_[a].in_use(), !blocks_[a].placed()) <
           std::tuple(!blocks_[b].in_use(), !blocks_[b].placed());
  });
  for (const auto index : order) {
    auto& block = blocks_[index];
    if (block.vacant || block.superseded) continue;
    bool kept = false;
    for (std::size_t i = 0; i < guarantees.size(); ++i) {
      if (wanted[i] == 0 || !IsOfGuarantee(block, guarantees[i])) continue;
      --wanted[i];
      kept = true;
      break;
    }
    if (kept) {
      block.retiring = false;
    } else if (block.in_use()) {
      block.retiring = true;
      block.superseded = true;
    } else {
      RemoveBlock(index);
    }
  }
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    for (int n = 0; n < wanted[i]; ++n) {
      Block block;
      block.organisation = guarantees[i].organisation;
      block.shape = guarantees[i].shape;
      AddBlock(std::move(block));
    }
  }
}

void GuaranteeBook::Repair() {
  blocks_by_worker_.resize(cell_->size());
  if (!workers_changed_ && !has_unplaced_) return;
  workers_changed_ = false;
  std::vector<BlockIndex> to_place;
  for (const auto index : UnusedBlocks()) {
    if (blocks_[index].placed() && IsIntact(blocks_[index])) continue;
    UnplaceBlock(index);
    to_place.push_back(index);
  }
  has_unplaced_ = false;
  if (to_place.empty() || PlaceAll(to_place)) return;
  // Repacks all unused blocks; restores the previous places if no more blocks
  // fit that way.
  const auto all = UnusedBlocks();
  std::vector<std::vector<WorkerPart>> before;
  int placed_before = 0;
  for (const auto index : all) {
    before.push_back(blocks_[index].parts);
    placed_before += blocks_[index].placed() ? 1 : 0;
    UnplaceBlock(index);
  }
  if (PlaceAll(all)) return;
  has_unplaced_ = true;
  const auto placed =
      std::count_if(all.begin(), all.end(),
                    [&](const auto index) { return blocks_[index].placed(); });
  if (placed >= placed_before) return;
  for (const auto index : all) UnplaceBlock(index);
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (!before[i].empty()) PlaceBlock(all[i], before[i]);
  }
}

std::vector<BlockIndex> GuaranteeBook::BrokenBlocks() {
  std::vector<BlockIndex> broken;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    const auto& block = blocks_[i];
    if (block.vacant || block.retiring || !block.in_use()) continue;
    if (IsIntact(block)) continue;
    if (MoveFreeParts(static_cast<BlockIndex>(i))) continue;
    broken.push_back(static_cast<BlockIndex>(i));
  }
  return broken;
}

bool GuaranteeBook::MoveFreeParts(BlockIndex index) {
  auto& block = blocks_[index];
  if (block.shape.adjacency == Adjacency::kWorker) return false;
  const auto before = block.parts;
  RackIndex rack = kNone;
  for (const auto& it : block.parts) {
    if (it.in_use > 0) rack = cell_->at(it.worker).rack;
  }
  for (auto& it : block.parts) {
    if (cell_->at(it.worker).schedulable() || it.in_use == it.count) continue;
    if (it.in_use > 0) return false;
    std::vector<WorkerIndex> candidates;
    for (WorkerIndex i = 0; i < cell_->size(); ++i) {
      const auto& worker = cell_->at(i);
      if (block.shape.adjacency == Adjacency::kRack && worker.rack != rack) {
        continue;
      }
      // A part that takes a whole worker moves to a whole worker of the same
      // size.
      if (it.count >= cell_->at(it.worker).capacity &&
          worker.capacity != it.count) {
        continue;
      }
      candidates.push_back(i);
    }
    const auto to = FindBestFit(candidates, it.count, block.parts);
    if (to == kNone) return false;
    cell_->at(it.worker).pinned -= it.count;
    std::erase(blocks_by_worker_[it.worker], index);
    it.worker = to;
    cell_->at(to).pinned += it.count;
    blocks_by_worker_[to].push_back(index);
  }
  return true;
}

bool GuaranteeBook::MoveOnto(BlockIndex index, const Place& place) {
  blocks_by_worker_.resize(cell_->size());
  const auto parts_before = blocks_[index].parts;
  UnplaceBlock(index);
  const auto parts = FindCovering(blocks_[index].shape, place);
  std::vector<BlockIndex> displaced;
  std::vector<std::vector<WorkerPart>> before;
  bool moved = false;
  if (!parts.empty()) {
    displaced = ConflictingUnusedBlocks(parts);
    for (const auto it : displaced) {
      before.push_back(blocks_[it].parts);
      UnplaceBlock(it);
    }
    if (Fits(parts)) {
      PlaceBlock(index, parts);
      moved = PlaceAll(displaced);
    }
  }
  if (moved) return true;
  UnplaceBlock(index);
  for (const auto it : displaced) UnplaceBlock(it);
  for (std::size_t i = 0; i < displaced.size(); ++i) {
    PlaceBlock(displaced[i], before[i]);
  }
  PlaceBlock(index, parts_before);
  return false;
}

bool GuaranteeBook::ExtendOnto(BlockIndex index, const Place& place) {
  auto& block = blocks_[index];
  if (block.shape.adjacency == Adjacency::kWorker) return false;
  auto parts = block.parts;
  for (const auto& slot : place) {
    const auto same = std::find_if(parts.begin(), parts.end(), [&](auto& it) {
      return it.worker == slot.worker;
    });
    if (same != parts.end()) {
      if (same->count - same->in_use < slot.total()) return false;
      continue;
    }
    const auto& worker = cell_->at(slot.worker);
    const auto free =
        std::find_if(parts.begin(), parts.end(), [&](const WorkerPart& it) {
          const bool near = block.shape.adjacency == Adjacency::kDomain ||
                            cell_->at(it.worker).rack == worker.rack;
          return near && it.in_use == 0 && it.count >= slot.total() &&
                 it.count <= worker.unpinned() &&
                 (it.count == worker.capacity ||
                  it.count < cell_->at(it.worker).capacity);
        });
    if (free == parts.end()) return false;
    free->worker = slot.worker;
  }
  std::vector<WorkerPart> moved;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].worker != block.parts[i].worker) moved.push_back(parts[i]);
  }
  for (const auto& it : block.parts) {
    cell_->at(it.worker).pinned -= it.count;
    std::erase(blocks_by_worker_[it.worker], index);
  }
  for (const auto it : ConflictingUnusedBlocks(moved)) {
    UnplaceBlock(it);
    has_unplaced_ = true;
  }
  block.parts = std::move(parts);
  for (const auto& it : block.parts) {
    cell_->at(it.worker).pinned += it.count;
    blocks_by_worker_[it.worker].push_back(index);
  }
  return true;
}

std::vector<BlockIndex> GuaranteeBook::ConflictingUnusedBlocks(
    const std::vector<WorkerPart>& parts) const {
  std::vector<BlockIndex> found;
  for (const auto& part : parts) {
    int slack = cell_->at(part.worker).slack();
    // Blocks found for other parts free capacity on this worker too.
    for (const auto it : found) {
      for (const auto& other : blocks_[it].parts) {
        if (other.worker == part.worker) slack += other.count;
      }
    }
    auto here = blocks_by_worker_[part.worker];
    std::stable_sort(here.begin(), here.end(), [&](auto a, auto b) {
      return blocks_[a].shape.accelerators < blocks_[b].shape.accelerators;
    });
    for (const auto it : here) {
      if (slack >= part.count) break;
      if (blocks_[it].in_use()) continue;
      if (std::find(found.begin(), found.end(), it) != found.end()) continue;
      found.push_back(it);
      for (const auto& other : blocks_[it].parts) {
        if (other.worker == part.worker) slack += other.count;
      }
    }
  }
  return found;
}

bool GuaranteeBook::Fits(const std::vector<WorkerPart>& parts) const {
  return std::all_of(parts.begin(), parts.end(), [&](const WorkerPart& it) {
    return cell_->at(it.worker).slack() >= it.count;
  });
}

void GuaranteeBook::Allocate(const std::vector<BlockUse>& uses) {
  std::vector<BlockIndex> seen;
  for (const auto& it : uses) {
    auto& block = blocks_[it.block];
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
      ++block.gang_count;
      if (block.gang_count == 1) {
        for (const auto& part : block.parts) {
          cell_->at(part.worker).reserved -= part.count;
          cell_->at(part.worker).pinned += part.count;
        }
      }
    }
    for (auto& part : block.parts) {
      if (part.worker == it.worker) part.in_use += it.count;
    }
  }
}

void GuaranteeBook::Release(const std::vector<BlockUse>& uses) {
  std::vector<BlockIndex> seen;
  for (const auto& it : uses) {
    for (auto& part : blocks_[it.block].parts) {
      if (part.worker == it.worker) part.in_use -= it.count;
    }
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
    }
  }
  for (const auto index : seen) {
    auto& block = blocks_[index];
    --block.gang_count;
    if (block.gang_count > 0) continue;
    for (const auto& part : block.parts) {
      cell_->at(part.worker).pinned -= part.count;
      cell_->at(part.worker).reserved += part.count;
    }
    if (block.retiring) {
      RemoveBlock(index);
    } else if (!IsIntact(block)) {
      workers_changed_ = true;
    }
  }
}

BlockIndex GuaranteeBook::AddRetiring(
    const base::OrganisationName& organisation, const Place& place) {
  blocks_by_worker_.resize(cell_->size());
  Block block;
  block.organisation = organisation;
  block.shape.adjacency = Adjacency::kDomain;
  block.retiring = true;
  block.superseded = true;
  std::vector<WorkerPart> parts;
  for (const auto& it : place) {
    block.shape.accelerators += it.total();
    parts.push_back({.worker = it.worker, .count = it.total()});
  }
  for (const auto it : ConflictingUnusedBlocks(parts)) UnplaceBlock(it);
  const auto index = AddBlock(std::move(block));
  PlaceBlock(index, std::move(parts));
  return index;
}

void GuaranteeBook::RetireAndReplace(BlockIndex index) {
  Block again;
  again.organisation = blocks_[index].organisation;
  again.shape = blocks_[index].shape;
  auto& block = blocks_[index];
  block.retiring = true;
  block.superseded = true;
  for (auto& it : block.parts) {
    cell_->at(it.worker).pinned -= it.count - it.in_use;
    it.count = it.in_use;
    if (it.count == 0) std::erase(blocks_by_worker_[it.worker], index);
  }
  std::erase_if(block.parts,
                [](const WorkerPart& it) { return it.count == 0; });
  AddBlock(std::move(again));
}

std::vector<BlockIndex> GuaranteeBook::ConflictingBlocksInUse(
    const Place& place) const {
  std::vector<BlockIndex> conflicts;
  for (const auto& slot : place) {
    const auto& worker = cell_->at(slot.worker);
    if (worker.capacity - worker.pinned >= slot.total()) continue;
    for (const auto it : blocks_by_worker_[slot.worker]) {
      if (!blocks_[it].in_use() || blocks_[it].retiring) continue;
      if (std::find(conflicts.begin(), conflicts.end(), it) ==
          conflicts.end()) {
        conflicts.push_back(it);
      }
    }
  }
  return conflicts;
}

const std::vector<BlockIndex>& GuaranteeBook::BlocksOf(
    const base::OrganisationName& organisation) const {
  static const std::vector<BlockIndex> kNothing;
  const auto it = by_organisation_.find(organisation);
  return it == by_organisation_.end() ? kNothing : it->second;
}

bool GuaranteeBook::IsIntact(const Block& block) const {
  return std::all_of(
      block.parts.begin(), block.parts.end(), [&](const WorkerPart& it) {
        return cell_->at(it.worker).schedulable() || it.in_use == it.count;
      });
}

std::vector<Shortfall> GuaranteeBook::Shortfalls() const {
  std::vector<Shortfall> shortfalls;
  for (const auto& block : blocks_) {
    if (block.vacant || block.retiring) continue;
    if (block.placed() && IsIntact(block)) continue;
    const auto it =
        std::find_if(shortfalls.begin(), shortfalls.end(), [&](auto& entry) {
          return entry.organisation == block.organisation &&
                 entry.shape == block.shape;
        });
    if (it != shortfalls.end()) {
      ++it->missing;
    } else {
      shortfalls.push_back({block.organisation, block.shape, 1});
    }
  }
  return shortfalls;
}

Shape GuaranteeBook::largest_shape() const {
  Shape largest;
  for (const auto& it : blocks_) {
    if (it.vacant || it.retiring) continue;
    if (it.shape.accelerators > largest.accelerators) largest = it.shape;
  }
  return largest;
}

std::vector<BlockIndex> GuaranteeBook::UnusedBlocks() const {
  std::vector<BlockIndex> unused;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    if (blocks_[i].vacant || blocks_[i].in_use()) continue;
    unused.push_back(static_cast<BlockIndex>(i));
  }
  return unused;
}

void GuaranteeBook::PlaceBlock(BlockIndex index,
                               std::vector<WorkerPart> parts) {
  auto& block = blocks_[index];
  block.parts = std::move(parts);
  for (const auto& it : block.parts) {
    cell_->at(it.worker).reserved += it.count;
    blocks_by_worker_[it.worker].push_back(index);
  }
}

void GuaranteeBook::UnplaceBlock(BlockIndex index) {
  auto& block = blocks_[index];
  for (const auto& it : block.parts) {
    cell_->at(it.worker).reserved -= it.count;
    std::erase(blocks_by_worker_[it.worker], index);
  }
  block.parts.clear();
}

BlockIndex GuaranteeBook::AddBlock(Block block) {
  BlockIndex index = static_cast<BlockIndex>(blocks_.size());
  if (free_indices_.empty()) {
    blocks_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  auto& own = by_organisation_[block.organisation];
  blocks_[index] = std::move(block);
  own.push_back(index);
  std::stable_sort(own.begin(), own.end(), [&](auto a, auto b) {
    return blocks_[a].shape.accelerators < blocks_[b].shape.accelerators;
  });
  has_unplaced_ = true;
  return index;
}

void GuaranteeBook::RemoveBlock(BlockIndex index) {
  UnplaceBlock(index);
  std::erase(by_organisation_[blocks_[index].organisation], index);
  blocks_[index] = Block();
  blocks_[index].vacant = true;
  free_indices_.push_back(index);
}

}  // namespace lapishatch::placement::internal
