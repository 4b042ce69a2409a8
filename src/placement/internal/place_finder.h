#ifndef LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_

#include <vector>

#include "placement/gang.h"
#include "placement/internal/cell.h"

namespace lapishatch::placement::internal {

/// So many tasks of a gang on one worker, each charged `charge` accelerators.
struct Slot {
  WorkerIndex worker = kNone;
  int tasks = 0;
  int charge = 0;

  int total() const { return tasks * charge; }
};

/// Where the tasks of a gang go, each worker once; empty when there is no such
/// place.
using Place = std::vector<Slot>;

/// Accelerators that a place may use on one worker, and their cost; lower is
/// preferred.
struct Room {
  int accelerators = 0;
  double cost = 0;
};

/// By worker, for all workers of the cell.
using Rooms = std::vector<Room>;

/// Finds where gangs go, so that what stays free can serve the largest
/// guaranteed shape.
class PlaceFinder {
 public:
  /// `target_shape` is the shape that free capacity should stay able to serve.
  PlaceFinder(const Cell& cell, const Shape& target_shape);

  /// The place of least cost for `gang` within `rooms`; ties go to the place
  /// that leaves the fewest free accelerators unusable for the target shape,
  /// then to the best fit. `adjacency` may be closer than the gang's own.
  Place Find(const Gang& gang, Adjacency adjacency, const Rooms& rooms) const;

 private:
  struct Score {
    /// Cost of the rooms, and one for each free accelerator made useless.
    double cost = 0;
    /// Available and unpinned accelerators of the rack. The fullest rack is
    /// preferred, so that some racks stay empty for gangs that need a whole
    /// one.
    int rack_open = 0;
    int leftover = 0;

    friend auto operator<=>(const Score&, const Score&) = default;
  };

  int ChargeAt(WorkerIndex worker, const std::vector<int>& charges) const {
    return charges[cell_->at(worker).type];
  }
  Place OnOneWorker(int tasks, const std::vector<int>& charges,
                    const Rooms& rooms) const;
  Place InOneRack(int tasks, const std::vector<int>& charges,
                  const Rooms& rooms) const;
  Place AcrossRacks(int tasks, const std::vector<int>& charges,
                    const Rooms& rooms) const;
  Place Spread(int tasks, const std::vector<int>& charges, const Rooms& rooms,
               std::vector<WorkerIndex> among) const;
  /// Free accelerators that the target shape can't use once `slots`, all in one
  /// rack, are taken, less those before.
  int Stranded(const Slot* begin, const Slot* end) const;
  /// Accelerators, of the given number of wholly free workers in one rack, that
  /// the target shape can't use.
  int StrandedIn(int whole_workers) const;

  const Cell* cell_;
  int worker_size_;
  /// The target shape in whole workers, 0 when it is less than one worker.
  int target_workers_;
  int target_accelerators_;
  /// Whole free workers by rack.
  std::vector<int> whole_;
  /// Accelerators by rack that are free, and that could be freed.
  std::vector<int> open_;
};

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_PLACE_FINDER_H_
