#ifndef LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "placement/gang.h"

namespace lapishatch::placement::internal {

/// Index of a worker in its cell; it never changes while the planner exists.
using WorkerIndex = int;
using RackIndex = int;

inline constexpr int kNone = -1;

/// Allocation of one worker, counted in accelerators; each stands for its share
/// of the worker's cores and memory. The struct is small because most decisions
/// read all workers of the cell once.
struct WorkerState {
  RackIndex rack = kNone;
  int type = kNone;
  int capacity = 0;
  /// Charged by the gangs placed here.
  int used = 0;
  /// The part of `used` whose gangs are being evicted.
  int evicting = 0;
  /// Claimed by gangs that wait for evictions.
  int claimed = 0;
  /// In guaranteed blocks that are in use.
  int pinned = 0;
  /// In guaranteed blocks that are not in use.
  int reserved = 0;
  WorkerHealth health = WorkerHealth::kHealthy;
  bool present = false;
  /// The worker is part of a starving gang's reservation.
  bool in_reservation = false;
  /// Bit i is set when accelerator i is allocated to a task.
  std::uint64_t allocated_mask = 0;

  bool schedulable() const {
    return present && health == WorkerHealth::kHealthy;
  }

  /// Free accelerators once all pending evictions and starts are done.
  int free_after_pending() const {
    return capacity - used + evicting - claimed;
  }

  /// Accelerators that a new gang can get now without an eviction. Excludes
  /// free accelerators that are claimed, even when pending evictions will
  /// replace them: otherwise the claim would wait for evictions that were
  /// ordered later.
  int available() const {
    return schedulable() ? std::max(0, capacity - used - claimed) : 0;
  }

  /// Accelerators outside guaranteed blocks that are in use.
  int unpinned() const { return schedulable() ? capacity - pinned : 0; }

  /// Accelerators outside all guaranteed blocks.
  int slack() const { return unpinned() - reserved; }
};

/// The workers of one cell by index, name and rack.
class Cell {
 public:
  /// Adds a worker, or updates one that was added before, and returns its
  /// index.
  WorkerIndex Put(const WorkerSpec& spec);

  void Remove(WorkerIndex worker) { workers_[worker].present = false; }

  /// Index of a worker, kNone when no worker of this name was ever added.
  WorkerIndex Find(const base::WorkerName& name) const;

  WorkerState& at(WorkerIndex worker) { return workers_[worker]; }
  const WorkerState& at(WorkerIndex worker) const { return workers_[worker]; }
  const WorkerSpec& spec(WorkerIndex worker) const { return specs_[worker]; }

  int size() const { return static_cast<int>(workers_.size()); }
  int racks() const { return static_cast<int>(rack_workers_.size()); }

  /// Accelerators of the largest worker ever added, 0 without workers.
  int largest() const;

  /// The workers of a rack, including removed ones, in order of index.
  const std::vector<WorkerIndex>& InRack(RackIndex rack) const {
    return rack_workers_[rack];
  }

  const std::vector<WorkerState>& workers() const { return workers_; }

  /// Distinct worker sizes; few in practice.
  const std::vector<WorkerSpec>& types() const { return types_; }

  /// Accelerators charged for one task on a worker of each type, by type. The
  /// charge exceeds the worker's size when the task does not fit.
  std::vector<int> ChargesByType(const TaskNeeds& needs) const;

 private:
  int FindOrAddType(const WorkerSpec& spec);

  std::vector<WorkerState> workers_;
  std::vector<WorkerSpec> specs_;
  std::vector<std::vector<WorkerIndex>> rack_workers_;
  std::unordered_map<base::WorkerName, WorkerIndex> by_name_;
  std::unordered_map<base::RackName, RackIndex> racks_by_name_;
  std::vector<WorkerSpec> types_;
};

/// Accelerators charged for a task on such a worker: at least one, and enough
/// that their share of cores and memory covers the task's needs.
int ChargeOn(const WorkerSpec& worker, const TaskNeeds& needs);

/// Picks `count` accelerators of a worker that are not in `allocated_mask`:
/// from the fullest aligned group of the next power of two with enough free
/// ones, so that tasks stay within one half of a worker where possible,
/// otherwise the lowest free ones.
std::uint64_t PickAccelerators(std::uint64_t allocated_mask, int accelerators,
                               int count);

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_
