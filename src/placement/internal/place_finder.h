#ifndef LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_

#include <vector>

#include "placement/gang.h"
#include "placement/internal/cell.h"

namespace lapishatch::placement::internal {

/// Tasks of a gang on one worker, each charged `charge` accelerators.
struct Slot {
  WorkerIndex worker = kNone;
  int tasks = 0;
  int charge = 0;

  int total() const { return tasks * charge; }
};

/// Slots of a gang, each worker once; empty when no place was found.
using Place = std::vector<Slot>;

/// Accelerators that a place may use on one worker, and their cost; lower is
/// preferred.
struct Offer {
  int accelerators = 0;
  double cost = 0;
};

/// By worker, for all workers of the cell.
using Offers = std::vector<Offer>;

/// Selects places for gangs so that the remaining free capacity can serve the
/// largest guaranteed shape.
class PlaceFinder {
 public:
  /// `target_shape` is the shape that free capacity should stay able to serve.
  PlaceFinder(const Cell& cell, const Shape& target_shape);

  /// The place of least cost for `gang` within `offers`; ties go to the place
  /// that leaves the fewest free accelerators unusable for the target shape,
  /// then to the best fit. `adjacency` may be closer than the gang's own.
  Place Find(const Gang& gang, Adjacency adjacency, const Offers& offers) const;

 private:
  struct Score {
    /// Cost of the offers, plus one for each free accelerator made unusable for
    /// the target shape.
    double cost = 0;
    /// Sum of the available and the unpinned accelerators of the rack. The
    /// fullest rack is preferred, so that some racks stay empty for gangs that
    /// need a whole one.
    int rack_obtainable = 0;
    int leftover = 0;

    friend auto operator<=>(const Score&, const Score&) = default;
  };

  int ChargeAt(WorkerIndex worker, const std::vector<int>& charges) const {
    return charges[cell_->at(worker).type];
  }
  Place FindOnOneWorker(int tasks, const std::vector<int>& charges,
                        const Offers& offers) const;
  Place FindInOneRack(int tasks, const std::vector<int>& charges,
                      const Offers& offers) const;
  Place FindAcrossRacks(int tasks, const std::vector<int>& charges,
                        const Offers& offers) const;
  Place AssignTasks(int tasks, const std::vector<int>& charges,
                    const Offers& offers,
                    std::vector<WorkerIndex> candidates) const;
  /// Increase in the free accelerators that the target shape can't use when the
  /// slots, all in one rack, are allocated.
  int CountStranded(const Slot* begin, const Slot* end) const;
  /// Accelerators, of the given number of wholly free workers in one rack, that
  /// the target shape can't use.
  int CountStrandedInRack(int whole_workers) const;

  const Cell* cell_;
  int worker_size_;
  /// The target shape in whole workers, 0 when it is less than one worker.
  int target_workers_;
  int target_accelerators_;
  /// Wholly free workers by rack.
  std::vector<int> free_workers_by_rack_;
  /// Sum of the available and the unpinned accelerators, by rack.
  std::vector<int> obtainable_by_rack_;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
