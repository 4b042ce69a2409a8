#ifndef LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_

#include <optional>
#include <vector>

#include "placement/internal/cell.h"
#include "placement/planner.h"
#include "placement/shape.h"

namespace lapishatch::placement::internal {

using BlockIndex = int;

/// The part of a block that lies on one worker.
struct Piece {
  WorkerIndex worker = kNone;
  int count = 0;
  /// Charged by gangs that run in the block.
  int in_use = 0;

  friend bool operator==(const Piece&, const Piece&) = default;
};

/// One guaranteed shape and where it would be, or is, honoured. The blocks
/// together are the proof of the invariant: they are disjoint, and nothing but
/// borrowed work and the owner's own gangs runs in them.
struct Block {
  base::OrganisationName organisation;
  Shape shape;
  /// Empty when the hardware is short.
  std::vector<Piece> pieces;
  /// Gangs that run in it.
  int gangs = 0;
  /// No longer guaranteed: goes when its last gang does.
  bool retiring = false;
  /// This index is free.
  bool dead = false;

  bool placed() const { return !pieces.empty(); }
  bool in_use() const { return gangs > 0; }
};

/// Charge of a gang on one worker within one block.
struct BlockUse {
  BlockIndex block = kNone;
  WorkerIndex worker = kNone;
  int count = 0;
};

/// All guaranteed blocks of a cell. Whatever is asked of it, blocks in use stay
/// where they are; unused ones are moved freely, since only borrowed work can
/// be in them.
class GuaranteeBook {
 public:
  explicit GuaranteeBook(Cell& cell) : cell_(&cell) {}

  /// Replaces the guarantees. Blocks in use are kept as far as the new
  /// guarantees have room for them, the others become retiring ones.
  void Set(const std::vector<Guarantee>& guarantees);

  /// Places the unused blocks that have no place, or whose place was lost,
  /// moving other unused ones if need be. Returns whether all have a place.
  bool Repair();

  /// Takes room in `block` for a gang; the room must be there.
  void Use(const std::vector<BlockUse>& uses);

  /// Gives back what Use took.
  void Release(const std::vector<BlockUse>& uses);

  /// Moves an unused block to `pieces`, and others that are in its way
  /// elsewhere. Changes nothing and returns false when that cannot be done.
  bool Move(BlockIndex block, const std::vector<Piece>& pieces);

  /// Adds a block in use beyond all guarantees, for work that runs there and
  /// can't be evicted.
  BlockIndex AddRetiring(const base::OrganisationName& organisation,
                         std::vector<Piece> pieces);

  const std::vector<Block>& blocks() const { return blocks_; }

  /// The live blocks of one organisation, in order of size.
  std::vector<BlockIndex> Of(const base::OrganisationName& organisation) const;

  std::vector<Shortfall> Shortfalls() const;

  /// Whether a block can serve its owner whole: each piece is on an open worker
  /// or in use entirely.
  bool Intact(const Block& block) const;

 private:
  /// Where a block of this shape fits without moving another one.
  std::vector<Piece> FindSlack(const Shape& shape) const;
  std::vector<Piece> FindWhole(const Shape& shape) const;
  std::vector<Piece> FillRack(RackIndex rack, int accelerators) const;
  std::vector<Piece> FillDomain(int accelerators) const;
  std::vector<Piece> Fill(std::vector<WorkerIndex> empty,
                          const std::vector<WorkerIndex>& all,
                          int accelerators) const;
  WorkerIndex FindOne(const std::vector<WorkerIndex>* among, int count) const;
  void Place(Block& block, std::vector<Piece> pieces);
  void Unplace(Block& block);
  /// Places all unused blocks anew, largest first.
  bool Repack();
  bool PlaceAll(std::vector<BlockIndex> todo);
  BlockIndex NewBlock(Block block);
  void Drop(BlockIndex block);

  Cell* cell_;
  std::vector<Block> blocks_;
  std::vector<BlockIndex> free_;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_
