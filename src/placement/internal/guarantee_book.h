#ifndef LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_

#include <unordered_map>
#include <vector>

#include "placement/internal/cell.h"
#include "placement/internal/place_finder.h"
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

/// The capacity assigned to one guaranteed shape. The set of blocks proves the
/// invariant: blocks are disjoint, and only borrowed work and gangs of the
/// block's organisation run in them.
struct Block {
  base::OrganisationName organisation;
  Shape shape;
  /// Empty when the hardware is short.
  std::vector<Piece> pieces = {};
  /// Gangs that run in it.
  int gangs = 0;
  /// No longer guaranteed: removed when its last gang ends.
  bool retiring = false;
  /// Retiring, and no longer of its shape: never guaranteed again.
  bool superseded = false;
  /// The entry is unused and can be reused.
  bool vacant = false;

  bool placed() const { return !pieces.empty(); }
  bool in_use() const { return gangs > 0; }
};

/// Charge of a gang on one worker within one block.
struct BlockUse {
  BlockIndex block = kNone;
  WorkerIndex worker = kNone;
  int count = 0;
};

/// Whether a block of `shape` serves `gang` wherever the block lies, on workers
/// of the cell's largest type.
bool ShapeHolds(const Cell& cell, const Shape& shape, const Gang& gang);

/// All guaranteed blocks of a cell. Blocks in use keep the pieces that gangs
/// use; unused blocks can be moved freely, since only borrowed work runs in
/// them. Copies refer to the same cell until Rebind.
class GuaranteeBook {
 public:
  explicit GuaranteeBook(Cell& cell) : cell_(&cell) {}

  /// Lets a copy work on a copy of the cell.
  void Rebind(Cell& cell) { cell_ = &cell; }

  /// Replaces the guarantees. Blocks in use are kept as far as the new
  /// guarantees have room for them, the others become retiring ones.
  void Set(const std::vector<Guarantee>& guarantees);

  /// Reports that workers were added, removed or changed health, so that blocks
  /// may have lost their places.
  void WorkersChanged() { workers_changed_ = true; }

  /// Places the unused blocks that have no place, or whose place was lost,
  /// moving other unused ones if need be.
  void Repair();

  /// Blocks in use of which a free part is on a worker that takes no new work,
  /// even after moving that part within the block's adjacency.
  std::vector<BlockIndex> BrokenBlocks();

  /// Allocates room for a gang; the room must be available.
  void Use(const std::vector<BlockUse>& uses);

  /// Frees the room that Use allocated.
  void Release(const std::vector<BlockUse>& uses);

  /// Moves an unused block so that it covers `place`, and others that are in
  /// its way elsewhere. Changes nothing and returns false when that can't be
  /// done.
  bool MoveOnto(BlockIndex block, const Place& place);

  /// Moves free parts of a block in use so that it covers `place` too. May
  /// leave other unused blocks without a place until Repair. Changes nothing
  /// and returns false when that can't be done.
  bool ExtendOnto(BlockIndex block, const Place& place);

  /// Adds a block in use beyond all guarantees, for work that runs there and
  /// can't be evicted. Unused blocks in the way lose their place until Repair.
  BlockIndex AddRetiring(const base::OrganisationName& organisation,
                         const Place& place);

  /// Shrinks a block in use to what its gangs use, and adds a new block of the
  /// same shape for its organisation, which has no place until Repair.
  void Reissue(BlockIndex block);

  /// Blocks in use that guarantee more of a worker than it has once `place` is
  /// taken too.
  std::vector<BlockIndex> ConflictsWith(const Place& place) const;

  const std::vector<Block>& blocks() const { return blocks_; }

  /// The live blocks of one organisation, in order of size.
  const std::vector<BlockIndex>& Of(
      const base::OrganisationName& organisation) const;

  /// Whether a block can serve its owner whole: each piece is on an open worker
  /// or in use entirely.
  bool Intact(const Block& block) const;

  /// Guarantees that can't be honoured on the healthy workers.
  std::vector<Shortfall> Shortfalls() const;

  /// The largest guaranteed shape, 0 accelerators when there is none.
  Shape largest() const;

 private:
  std::vector<Piece> FindSlack(const Shape& shape) const;
  std::vector<Piece> FindInRacks(const Shape& shape) const;
  /// Fills whole workers among `candidates`, and a part of one more.
  std::vector<Piece> Fill(const std::vector<WorkerIndex>& candidates,
                          int accelerators) const;
  WorkerIndex FindOne(const std::vector<WorkerIndex>& among, int count,
                      const std::vector<Piece>& except) const;
  /// The pieces of a block of `shape` that covers `place`; empty if there are
  /// none. Only blocks in use are in the way.
  std::vector<Piece> Cover(const Shape& shape, const Place& place) const;
  bool Fits(const std::vector<Piece>& pieces) const;
  void Put(BlockIndex block, std::vector<Piece> pieces);
  void Unplace(BlockIndex block);
  /// Unused blocks that must leave so that `pieces` fit.
  std::vector<BlockIndex> InTheWay(const std::vector<Piece>& pieces) const;
  std::vector<BlockIndex> Unused() const;
  /// Places as many blocks as possible, the hardest first. Returns whether all
  /// were placed.
  bool PlaceAll(std::vector<BlockIndex> todo);
  bool MoveFreeParts(BlockIndex block);
  BlockIndex NewBlock(Block block);
  void Drop(BlockIndex block);

  Cell* cell_;
  std::vector<Block> blocks_;
  std::vector<BlockIndex> free_;
  std::unordered_map<base::OrganisationName, std::vector<BlockIndex>> of_;
  /// Blocks in use or not with a piece on each worker.
  std::vector<std::vector<BlockIndex>> on_worker_;
  bool workers_changed_ = false;
  /// A block has no place, or has just come free on a worker that is not open.
  bool unplaced_ = false;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_
