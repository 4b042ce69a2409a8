#include "placement/internal/guarantee_book.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace lapishatch::placement::internal {
namespace {

/// Orders shapes so that greedy packing does best: the hardest to place first.
/// With sizes that divide each other this order is exact.
bool HarderThan(const Shape& a, const Shape& b) {
  const bool a_domain = a.adjacency == Adjacency::kDomain;
  const bool b_domain = b.adjacency == Adjacency::kDomain;
  if (a.accelerators != b.accelerators && a_domain == b_domain) {
    return a.accelerators > b.accelerators;
  }
  return std::tuple(a_domain, a.adjacency, -a.accelerators) <
         std::tuple(b_domain, b.adjacency, -b.accelerators);
}

bool SameKind(const Block& block, const Guarantee& guarantee) {
  return block.organisation == guarantee.organisation &&
         block.shape == guarantee.shape;
}

}  // namespace

void GuaranteeBook::Set(const std::vector<Guarantee>& guarantees) {
  std::vector<int> wanted;
  for (const auto& it : guarantees) wanted.push_back(it.count);
  std::vector<BlockIndex> order(blocks_.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return std::tuple(!blocks_[a].in_use(), !blocks_[a].placed()) <
           std::tuple(!blocks_[b].in_use(), !blocks_[b].placed());
  });
  for (const auto index : order) {
    auto& block = blocks_[index];
    if (block.dead) continue;
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

bool GuaranteeBook::Repair() {
  std::vector<BlockIndex> todo;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    auto& block = blocks_[i];
    if (block.dead || block.in_use()) continue;
    if (block.placed() && Intact(block)) continue;
    Unplace(block);
    todo.push_back(static_cast<BlockIndex>(i));
  }
  if (todo.empty()) return true;
  if (PlaceAll(todo)) return true;
  return Repack();
}

bool GuaranteeBook::PlaceAll(std::vector<BlockIndex> todo) {
  std::stable_sort(todo.begin(), todo.end(), [&](auto a, auto b) {
    return HarderThan(blocks_[a].shape, blocks_[b].shape);
  });
  bool all = true;
  for (const auto index : todo) {
    auto pieces = FindSlack(blocks_[index].shape);
    if (pieces.empty()) {
      all = false;
      continue;
    }
    Place(blocks_[index], std::move(pieces));
  }
  return all;
}

bool GuaranteeBook::Repack() {
  std::vector<BlockIndex> todo;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    auto& block = blocks_[i];
    if (block.dead || block.in_use()) continue;
    Unplace(block);
    todo.push_back(static_cast<BlockIndex>(i));
  }
  return PlaceAll(std::move(todo));
}

bool GuaranteeBook::Move(BlockIndex index, const std::vector<Piece>& pieces) {
  const auto before = blocks_;
  std::vector<BlockIndex> displaced;
  Unplace(blocks_[index]);
  for (const auto& it : pieces) {
    auto& worker = cell_->at(it.worker);
    if (worker.unpinned() < it.count) displaced.push_back(kNone);
  }
  const bool possible = displaced.empty();
  if (possible) {
    for (std::size_t i = 0; i < blocks_.size(); ++i) {
      auto& other = blocks_[i];
      if (other.dead || other.in_use() || !other.placed()) continue;
      const bool in_the_way = std::any_of(
          other.pieces.begin(), other.pieces.end(), [&](const Piece& piece) {
            for (const auto& it : pieces) {
              if (it.worker != piece.worker) continue;
              return cell_->at(it.worker).slack() < it.count;
            }
            return false;
          });
      if (!in_the_way) continue;
      Unplace(other);
      displaced.push_back(static_cast<BlockIndex>(i));
    }
    Place(blocks_[index], pieces);
    if (PlaceAll(displaced)) return true;
  }
  // Undo: take everything unused off and put it back where it was.
  for (auto& it : blocks_) {
    if (!it.dead && !it.in_use()) Unplace(it);
  }
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    if (before[i].dead || before[i].in_use() || !before[i].placed()) continue;
    Place(blocks_[i], before[i].pieces);
  }
  return false;
}

void GuaranteeBook::Use(const std::vector<BlockUse>& uses) {
  std::vector<BlockIndex> seen;
  for (const auto& it : uses) {
    auto& block = blocks_[it.block];
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
      if (block.gangs++ == 0) {
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
    auto& block = blocks_[it.block];
    for (auto& piece : block.pieces) {
      if (piece.worker == it.worker) piece.in_use -= it.count;
    }
    if (std::find(seen.begin(), seen.end(), it.block) == seen.end()) {
      seen.push_back(it.block);
    }
  }
  for (const auto index : seen) {
    auto& block = blocks_[index];
    if (--block.gangs > 0) continue;
    for (const auto& piece : block.pieces) {
      cell_->at(piece.worker).pinned -= piece.count;
      cell_->at(piece.worker).reserved += piece.count;
    }
    if (block.retiring) Drop(index);
  }
}

BlockIndex GuaranteeBook::AddRetiring(
    const base::OrganisationName& organisation, std::vector<Piece> pieces) {
  Block block;
  block.organisation = organisation;
  block.retiring = true;
  for (const auto& it : pieces) block.shape.accelerators += it.count;
  block.shape.adjacency = Adjacency::kDomain;
  const auto index = NewBlock(std::move(block));
  Place(blocks_[index], std::move(pieces));
  return index;
}

std::vector<BlockIndex> GuaranteeBook::Of(
    const base::OrganisationName& organisation) const {
  std::vector<BlockIndex> found;
  for (std::size_t i = 0; i < blocks_.size(); ++i) {
    const auto& block = blocks_[i];
    if (block.dead || block.organisation != organisation) continue;
    found.push_back(static_cast<BlockIndex>(i));
  }
  std::stable_sort(found.begin(), found.end(), [&](auto a, auto b) {
    return blocks_[a].shape.accelerators < blocks_[b].shape.accelerators;
  });
  return found;
}

std::vector<Shortfall> GuaranteeBook::Shortfalls() const {
  std::vector<Shortfall> shortfalls;
  for (const auto& block : blocks_) {
    if (block.dead || block.retiring) continue;
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

bool GuaranteeBook::Intact(const Block& block) const {
  return std::all_of(
      block.pieces.begin(), block.pieces.end(), [&](const Piece& it) {
        return cell_->at(it.worker).open() || it.in_use == it.count;
      });
}

std::vector<Piece> GuaranteeBook::FindSlack(const Shape& shape) const {
  // On one worker is as close together as can be, whatever is asked for.
  const auto one = FindOne(nullptr, shape.accelerators);
  if (one != kNone) return {{.worker = one, .count = shape.accelerators}};
  if (shape.adjacency == Adjacency::kWorker) return {};
  return FindWhole(shape);
}

std::vector<Piece> GuaranteeBook::FindWhole(const Shape& shape) const {
  if (shape.adjacency == Adjacency::kDomain) {
    return FillDomain(shape.accelerators);
  }
  std::vector<Piece> best;
  int best_left = 0;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    int left = -shape.accelerators;
    for (const auto it : cell_->InRack(rack)) {
      if (cell_->at(it).slack() == cell_->at(it).spec.accelerators) {
        left += cell_->at(it).spec.accelerators;
      }
    }
    if (!best.empty() && left >= best_left) continue;
    auto pieces = FillRack(rack, shape.accelerators);
    if (pieces.empty()) continue;
    best = std::move(pieces);
    best_left = left;
  }
  return best;
}

std::vector<Piece> GuaranteeBook::FillRack(RackIndex rack,
                                           int accelerators) const {
  std::vector<WorkerIndex> empty;
  for (const auto it : cell_->InRack(rack)) {
    const auto& worker = cell_->at(it);
    if (worker.open() && worker.slack() == worker.spec.accelerators) {
      empty.push_back(it);
    }
  }
  return Fill(std::move(empty), cell_->InRack(rack), accelerators);
}

std::vector<Piece> GuaranteeBook::FillDomain(int accelerators) const {
  std::vector<WorkerIndex> empty;
  std::vector<WorkerIndex> all;
  for (RackIndex rack = 0; rack < cell_->racks(); ++rack) {
    for (const auto it : cell_->InRack(rack)) {
      const auto& worker = cell_->at(it);
      if (!worker.open()) continue;
      all.push_back(it);
      if (worker.slack() == worker.spec.accelerators) empty.push_back(it);
    }
  }
  return Fill(std::move(empty), all, accelerators);
}

std::vector<Piece> GuaranteeBook::Fill(std::vector<WorkerIndex> empty,
                                       const std::vector<WorkerIndex>& all,
                                       int accelerators) const {
  std::stable_sort(empty.begin(), empty.end(), [&](auto a, auto b) {
    return cell_->at(a).spec.accelerators > cell_->at(b).spec.accelerators;
  });
  std::vector<Piece> pieces;
  std::vector<WorkerIndex> rest = all;
  int left = accelerators;
  for (const auto it : empty) {
    const int size = cell_->at(it).spec.accelerators;
    if (size == 0 || size > left) continue;
    pieces.push_back({.worker = it, .count = size});
    std::erase(rest, it);
    left -= size;
  }
  if (left == 0) return pieces;
  // The rest goes to one worker, the one that it fills best.
  const auto one = FindOne(&rest, left);
  if (one == kNone) return {};
  pieces.push_back({.worker = one, .count = left});
  return pieces;
}

WorkerIndex GuaranteeBook::FindOne(const std::vector<WorkerIndex>* among,
                                   int count) const {
  WorkerIndex best = kNone;
  int best_slack = 0;
  const auto consider = [&](WorkerIndex it) {
    const int slack = cell_->at(it).slack();
    if (slack < count || (best != kNone && slack >= best_slack)) return;
    best = it;
    best_slack = slack;
  };
  if (among != nullptr) {
    for (const auto it : *among) consider(it);
  } else {
    for (WorkerIndex it = 0; it < cell_->size(); ++it) consider(it);
  }
  return best;
}

void GuaranteeBook::Place(Block& block, std::vector<Piece> pieces) {
  block.pieces = std::move(pieces);
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).reserved += it.count;
  }
}

void GuaranteeBook::Unplace(Block& block) {
  for (const auto& it : block.pieces) {
    cell_->at(it.worker).reserved -= it.count;
  }
  block.pieces.clear();
}

BlockIndex GuaranteeBook::NewBlock(Block block) {
  if (free_.empty()) {
    blocks_.push_back(std::move(block));
    return static_cast<BlockIndex>(blocks_.size()) - 1;
  }
  const auto index = free_.back();
  free_.pop_back();
  blocks_[index] = std::move(block);
  return index;
}

void GuaranteeBook::Drop(BlockIndex index) {
  Unplace(blocks_[index]);
  blocks_[index] = Block();
  blocks_[index].dead = true;
  free_.push_back(index);
}

}  // namespace lapishatch::placement::internal
