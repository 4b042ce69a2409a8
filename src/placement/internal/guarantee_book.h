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
struct WorkerPart {
  WorkerIndex worker = kNone;
  int count = 0;
  /// Charged by gangs that run in the block.
  int in_use = 0;

  friend bool operator==(const WorkerPart&, const WorkerPart&) = default;
};

/// The capacity assigned to one guaranteed shape. The set of blocks proves the
/// invariant: blocks are disjoint, and only borrowed work and gangs of the
/// block's organisation run in them.
struct Block {
  base::OrganisationName organisation;
  Shape shape;
  /// Empty when the hardware is too small for it.
  std::vector<WorkerPart> parts = {};
  /// Gangs that run in it or wait for evictions in it.
  int gang_count = 0;
  /// No longer guaranteed: removed when its last gang ends.
  bool retiring = false;
  /// Retiring and never guaranteed again: it may no longer have its shape.
  bool superseded = false;
  /// The entry is unused and can be reused.
  bool vacant = false;

  bool placed() const { return !parts.empty(); }
  bool in_use() const { return gang_count > 0; }
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

/// All guaranteed blocks of a cell. Blocks in use keep the parts that gangs
/// use; unused blocks can be moved freely, since only borrowed work runs in
/// them. Copies refer to the same cell until Rebind.
class GuaranteeBook {
 public:
  explicit GuaranteeBook(Cell& cell) : cell_(&cell) {}

  /// Makes a copy of the book refer to a copy of the cell.
  void Rebind(Cell& cell) { cell_ = &cell; }

  /// Replaces the guarantees. Blocks in use are kept as far as the new
  /// guarantees include them; the others become retiring.
  void SetGuarantees(const std::vector<Guarantee>& guarantees);

  /// Marks that workers were added, removed or changed health, so that blocks
  /// may have lost their places.
  void MarkWorkersChanged() { workers_changed_ = true; }

  /// Places the unused blocks that have no place, or whose place was lost,
  /// moving other unused ones if need be.
  void Repair();

  /// Blocks in use of which a free part is on a worker that takes no new work,
  /// even after moving that part within the block's adjacency.
  std::vector<BlockIndex> BrokenBlocks();

  /// Allocates capacity in blocks to a gang; it must be available.
  void Allocate(const std::vector<BlockUse>& uses);

  /// Frees the capacity that Allocate allocated.
  void Release(const std::vector<BlockUse>& uses);

  /// Moves an unused block so that it covers `place`, and moves conflicting
  /// unused blocks elsewhere. Changes nothing and returns false when that is
  /// impossible.
  bool MoveOnto(BlockIndex block, const Place& place);

  /// Moves free parts of a block in use so that it covers `place` too. May
  /// leave other unused blocks without a place until Repair. Changes nothing
  /// and returns false when that is impossible.
  bool ExtendOnto(BlockIndex block, const Place& place);

  /// Adds a retiring block, which belongs to no guarantee, for work that runs
  /// there and can't be evicted. Conflicting unused blocks lose their place
  /// until Repair.
  BlockIndex AddRetiring(const base::OrganisationName& organisation,
                         const Place& place);

  /// Retires a block in use, shrinks it to what its gangs use, and adds a new
  /// block of the same shape for its organisation, which has no place until
  /// Repair.
  void RetireAndReplace(BlockIndex block);

  /// Blocks in use on workers that are too small for both these blocks and
  /// `place`.
  std::vector<BlockIndex> ConflictingBlocksInUse(const Place& place) const;

  const std::vector<Block>& blocks() const { return blocks_; }

  /// The blocks of one organisation, in order of size.
  const std::vector<BlockIndex>& BlocksOf(
      const base::OrganisationName& organisation) const;

  /// Whether the owner can use the whole block: each part is on a schedulable
  /// worker or entirely in use.
  bool IsIntact(const Block& block) const;

  /// Guarantees that can't be honoured on the healthy workers.
  std::vector<Shortfall> Shortfalls() const;

  /// The largest guaranteed shape, 0 accelerators when there is none.
  Shape largest_shape() const;

 private:
  std::vector<WorkerPart> FindSlack(const Shape& shape) const;
  std::vector<WorkerPart> FindInRacks(const Shape& shape) const;
  /// Returns whole workers among `candidates` and a part of one more; empty if
  /// they do not suffice.
  std::vector<WorkerPart> FillWorkers(
      const std::vector<WorkerIndex>& candidates, int accelerators) const;
  WorkerIndex FindBestFit(const std::vector<WorkerIndex>& candidates, int count,
                          const std::vector<WorkerPart>& excluded) const;
  /// Returns the parts of a block of `shape` that covers `place`; empty if no
  /// such block fits beside the blocks in use.
  std::vector<WorkerPart> FindCovering(const Shape& shape,
                                       const Place& place) const;
  bool Fits(const std::vector<WorkerPart>& parts) const;
  void PlaceBlock(BlockIndex block, std::vector<WorkerPart> parts);
  void UnplaceBlock(BlockIndex block);
  /// Unused blocks that must be moved so that `parts` fit.
  std::vector<BlockIndex> ConflictingUnusedBlocks(
      const std::vector<WorkerPart>& parts) const;
  std::vector<BlockIndex> UnusedBlocks() const;
  /// Places as many blocks as possible, the hardest first. Returns whether all
  /// were placed.
  bool PlaceAll(std::vector<BlockIndex> to_place);
  bool MoveFreeParts(BlockIndex block);
  BlockIndex AddBlock(Block block);
  void RemoveBlock(BlockIndex block);

  Cell* cell_;
  std::vector<Block> blocks_;
  std::vector<BlockIndex> free_indices_;
  std::unordered_map<base::OrganisationName, std::vector<BlockIndex>>
      by_organisation_;
  /// Blocks, in use or not, with a part on each worker.
  std::vector<std::vector<BlockIndex>> blocks_by_worker_;
  /// Workers changed, or a block that is not intact has become unused.
  bool workers_changed_ = false;
  /// A block may have no place.
  bool has_unplaced_ = false;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_GUARANTEE_BOOK_H_
