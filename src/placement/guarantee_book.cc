#include "placement/internal/guarantee_book.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace lapishatch::placement::internal {
namespace {

bool SameKind(const Block& block, const Guarantee& guarantee) {
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
  // On one worker, which every shape has at least one piece of.
  const int one = whole > 0 ? size : rest;
  if (gang.tasks * charge <= one) return true;
  if (shape.adjacency == Adjacency::kWorker) return false;
  if (shape.adjacency > gang.adjacency) return false;
  return whole * (size / charge) + rest / charge >= gang.tasks;
}

void GuaranteeBook::Set(const std::vector<Guarantee>& guarantees) {
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
      if (wanted[i] == 0 || !SameKind(block, guarantees[i])) continue;
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
      Drop(index);
    }
  }
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    for (int n = 0; n < wanted[i]; ++n) {
      Block block;
      block.organisation = guarantees[i].organisation;
      block.shape = guarantees[i].shape;
      NewBlock(std::move(block));
    }
  }
}

void GuaranteeBook::Repair() {
  on_worker_.resize(cell_->size());
  if (!workers_changed_ && !unplaced_) return;
  workers_changed_ = false;
  std::vector<BlockIndex> todo;
  for (const auto index : Unused()) {
    if (blocks_[index].placed() && Intact(blocks_[index])) continue;
    Unplace(index);
    todo.push_back(index);
  }
  unplaced_ = false;
  if (todo.empty() || PlaceAll(todo)) return;
  // Repacks all unused blocks; restores the previous places if no more blocks
  // fit that way.
  const auto all = Unused();
  std::vector<std::vector<Piece>> before;
  int placed_before = 0;
  for (const auto index : all) {
    before.push_back(blocks_[index].pieces);
    placed_before += blocks_[index].placed() ? 1 : 0;
    Unplace(index);
  }
  if (PlaceAll(all)) return;
  unplaced_ = true;
  const auto placed =
      std::count_if(all.begin(), all.end(),
                    [&](const auto index) { return blocks_[index].placed(); });
  if (placed >= placed_before) return;
  for (const auto index : all) Unplace(index);
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (!before[i].empty()) Put(all[i], before[i]);
  }
}

std::vector<BlockIndex> GuaranteeBook::BrokenBlocks() {
  std::vector<BlockIndex> broken;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    const auto& block = blocks_[i];
    if (block.vacant || block.retiring || !block.in_use()) continue;
    if (Intact(block)) continue;
    if (MoveFreeParts(static_cast<BlockIndex>(i))) continue;
    broken.push_back(static_cast<BlockIndex>(i));
  }
  return broken;
}

bool GuaranteeBook::MoveFreeParts(BlockIndex index) {
  auto& block = blocks_[index];
  if (block.shape.adjacency == Adjacency::kWorker) return false;
  const auto before = block.pieces;
  RackIndex rack = kNone;
  for (const auto& it : block.pieces) {
    if (it.in_use > 0) rack = cell_->at(it.worker).rack;
  }
  for (auto& it : block.pieces) {
    if (cell_->at(it.worker).open() || it.in_use == it.count) continue;
    if (it.in_use > 0) return false;
    std::vector<WorkerIndex> among;
    for (WorkerIndex i = 0; i < cell_->size(); ++i) {
      const auto& worker = cell_->at(i);
      if (block.shape.adjacency == Adjacency::kRack && worker.rack != rack) {
        continue;
      }
      // Whole workers for whole workers.
      if (it.count >= cell_->at(it.worker).capacity &&
          worker.capacity != it.count) {
        continue;
      }
      among.push_back(i);
    }
    const auto to = FindOne(among, it.count, block.pieces);
    if (to == kNone) return false;
    cell_->at(it.worker).pinned -= it.count;
    std::erase(on_worker_[it.worker], index);
    it.worker = to;
    cell_->at(to).pinned += it.count;
    on_worker_[to].push_back(index);
  }
  return true;
}

bool GuaranteeBook::MoveOnto(BlockIndex index, const Place& place) {
  on_worker_.resize(cell_->size());
  const auto pieces_before = blocks_[index].pieces;
  Unplace(index);
  const auto pieces = Cover(blocks_[index].shape, place);
  std::vector<BlockIndex> displaced;
  std::vector<std::vector<Piece>> before;
  bool moved = false;
  if (!pieces.empty()) {
    displaced = InTheWay(pieces);
    for (const auto it : displaced) {
      before.push_back(blocks_[it].pieces);
      Unplace(it);
    }
    if (Fits(pieces)) {
      Put(index, pieces);
      moved = PlaceAll(displaced);
    }
  }
  if (moved) return true;
  Unplace(index);
  for (const auto it : displaced) Unplace(it);
  for (std::size_t i = 0; i < displaced.size(); ++i) {
    Put(displaced[i], before[i]);
  }
  Put(index, pieces_before);
  return false;
}

bool GuaranteeBook::ExtendOnto(BlockIndex index, const Place& place) {
  auto& block = blocks_[index];
  if (block.shape.adjacency == Adjacency::kWorker) return false;
  auto pieces = block.pieces;
  for (const auto& slot : place) {
    const auto same = std::find_if(pieces.begin(), pieces.end(), [&](auto& it) {
      return it.worker == slot.worker;
    });
    if (same != pieces.end()) {
      if (same->count - same->in_use < slot.total()) return false;
      continue;
    }
    const auto& worker = cell_->at(slot.worker);
    const auto free =
        std::find_if(pieces.begin(), pieces.end(), [&](const Piece& it) {
          const bool near = block.shape.adjacency == Adjacency::kDomain ||
                            cell_->at(it.worker).rack == worker.rack;
          return near && it.in_use == 0 && it.count >= slot.total() &&
                 it.count <= worker.unpinned() &&
                 (it.count == worker.capacity ||
                  it.count < cell_->at(it.worker).capacity);
        });
    if (free == pieces.end()) return false;
    free->worker = slot.worker;
  }
  std::vector<Piece> moved;
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    if (pieces[i].worker != block.pieces[i].worker) moved.push_back(pieces[i]);
  }
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).pinned -= it.count;
    std::erase(on_worker_[it.worker], index);
  }
  for (const auto it : InTheWay(moved)) {
    Unplace(it);
    unplaced_ = true;
  }
  block.pieces = std::move(pieces);
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).pinned += it.count;
    on_worker_[it.worker].push_back(index);
  }
  return true;
}

std::vector<BlockIndex> GuaranteeBook::InTheWay(
    const std::vector<Piece>& pieces) const {
  std::vector<BlockIndex> found;
  for (const auto& piece : pieces) {
    int slack = cell_->at(piece.worker).slack();
    // What was found for other pieces leaves this worker too.
    for (const auto it : found) {
      for (const auto& other : blocks_[it].pieces) {
        if (other.worker == piece.worker) slack += other.count;
      }
    }
    auto here = on_worker_[piece.worker];
    std::stable_sort(here.begin(), here.end(), [&](auto a, auto b) {
      return blocks_[a].shape.accelerators < blocks_[b].shape.accelerators;
    });
    for (const auto it : here) {
      if (slack >= piece.count) break;
      if (blocks_[it].in_use()) continue;
      if (std::find(found.begin(), found.end(), it) != found.end()) continue;
      found.push_back(it);
      for (const auto& other : blocks_[it].pieces) {
        if (other.worker == piece.worker) slack += other.count;
      }
    }
  }
  return found;
}

bool GuaranteeBook::Fits(const std::vector<Piece>& pieces) const {
  return std::all_of(pieces.begin(), pieces.end(), [&](const Piece& it) {
    return cell_->at(it.worker).slack() >= it.count;
  });
}

void GuaranteeBook::Use(const std::vector<BlockUse>& uses) {
  std::vector<BlockIndex> seen;
  for (const auto& it : uses) {
    auto& block = blocks_[it.block];
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
      ++block.gangs;
      if (block.gangs == 1) {
        for (const auto& piece : block.pieces) {
          cell_->at(piece.worker).reserved -= piece.count;
          cell_->at(piece.worker).pinned += piece.count;
        }
      }
    }
    for (auto& piece : block.pieces) {
      if (piece.worker == it.worker) piece.in_use += it.count;
    }
  }
}

void GuaranteeBook::Release(const std::vector<BlockUse>& uses) {
  std::vector<BlockIndex> seen;
  for (const auto& it : uses) {
    for (auto& piece : blocks_[it.block].pieces) {
      if (piece.worker == it.worker) piece.in_use -= it.count;
    }
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
    }
  }
  for (const auto index : seen) {
    auto& block = blocks_[index];
    --block.gangs;
    if (block.gangs > 0) continue;
    for (const auto& piece : block.pieces) {
      cell_->at(piece.worker).pinned -= piece.count;
      cell_->at(piece.worker).reserved += piece.count;
    }
    if (block.retiring) {
      Drop(index);
    } else if (!Intact(block)) {
      workers_changed_ = true;
    }
  }
}

BlockIndex GuaranteeBook::AddRetiring(
    const base::OrganisationName& organisation, const Place& place) {
  on_worker_.resize(cell_->size());
  Block block;
  block.organisation = organisation;
  block.shape.adjacency = Adjacency::kDomain;
  block.retiring = true;
  block.superseded = true;
  std::vector<Piece> pieces;
  for (const auto& it : place) {
    block.shape.accelerators += it.total();
    pieces.push_back({.worker = it.worker, .count = it.total()});
  }
  for (const auto it : InTheWay(pieces)) Unplace(it);
  const auto index = NewBlock(std::move(block));
  Put(index, std::move(pieces));
  return index;
}

void GuaranteeBook::Reissue(BlockIndex index) {
  Block again;
  again.organisation = blocks_[index].organisation;
  again.shape = blocks_[index].shape;
  auto& block = blocks_[index];
  block.retiring = true;
  block.superseded = true;
  for (auto& it : block.pieces) {
    cell_->at(it.worker).pinned -= it.count - it.in_use;
    it.count = it.in_use;
    if (it.count == 0) std::erase(on_worker_[it.worker], index);
  }
  std::erase_if(block.pieces, [](const Piece& it) { return it.count == 0; });
  NewBlock(std::move(again));
}

std::vector<BlockIndex> GuaranteeBook::ConflictsWith(const Place& place) const {
  std::vector<BlockIndex> conflicts;
  for (const auto& slot : place) {
    const auto& worker = cell_->at(slot.worker);
    if (worker.capacity - worker.pinned >= slot.total()) continue;
    for (const auto it : on_worker_[slot.worker]) {
      if (!blocks_[it].in_use() || blocks_[it].retiring) continue;
      if (std::find(conflicts.begin(), conflicts.end(), it) ==
          conflicts.end()) {
        conflicts.push_back(it);
      }
    }
  }
  return conflicts;
}

const std::vector<BlockIndex>& GuaranteeBook::Of(
    const base::OrganisationName& organisation) const {
  static const std::vector<BlockIndex> kNothing;
  const auto it = of_.find(organisation);
  return it == of_.end() ? kNothing : it->second;
}

bool GuaranteeBook::Intact(const Block& block) const {
  return std::all_of(
      block.pieces.begin(), block.pieces.end(), [&](const Piece& it) {
        return cell_->at(it.worker).open() || it.in_use == it.count;
      });
}

std::vector<Shortfall> GuaranteeBook::Shortfalls() const {
  std::vector<Shortfall> shortfalls;
  for (const auto& block : blocks_) {
    if (block.vacant || block.retiring) continue;
    if (block.placed() && Intact(block)) continue;
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

Shape GuaranteeBook::largest() const {
  Shape largest;
  for (const auto& it : blocks_) {
    if (it.vacant || it.retiring) continue;
    if (it.shape.accelerators > largest.accelerators) largest = it.shape;
  }
  return largest;
}

std::vector<BlockIndex> GuaranteeBook::Unused() const {
  std::vector<BlockIndex> unused;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    if (blocks_[i].vacant || blocks_[i].in_use()) continue;
    unused.push_back(static_cast<BlockIndex>(i));
  }
  return unused;
}

void GuaranteeBook::Put(BlockIndex index, std::vector<Piece> pieces) {
  auto& block = blocks_[index];
  block.pieces = std::move(pieces);
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).reserved += it.count;
    on_worker_[it.worker].push_back(index);
  }
}

void GuaranteeBook::Unplace(BlockIndex index) {
  auto& block = blocks_[index];
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).reserved -= it.count;
    std::erase(on_worker_[it.worker], index);
  }
  block.pieces.clear();
}

BlockIndex GuaranteeBook::NewBlock(Block block) {
  BlockIndex index = static_cast<BlockIndex>(blocks_.size());
  if (free_.empty()) {
    blocks_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  auto& own = of_[block.organisation];
  blocks_[index] = std::move(block);
  own.push_back(index);
  std::stable_sort(own.begin(), own.end(), [&](auto a, auto b) {
    return blocks_[a].shape.accelerators < blocks_[b].shape.accelerators;
  });
  unplaced_ = true;
  return index;
}

void GuaranteeBook::Drop(BlockIndex index) {
  Unplace(index);
  std::erase(of_[blocks_[index].organisation], index);
  blocks_[index] = Block();
  blocks_[index].vacant = true;
  free_.push_back(index);
}

}  // namespace lapishatch::placement::internal
