#ifndef LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_
#define LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "placement/gang.h"

namespace lapishatch::placement::internal {

/// Index of a worker in its cell; stays the same as long as the planner lives.
using WorkerIndex = int;
using RackIndex = int;

inline constexpr int kNone = -1;

/// Allocation of one worker, all in accelerators (each stands for its share of
/// the worker's cores and memory). Kept small: most decisions read all workers
/// of the cell once.
struct WorkerState {
  RackIndex rack = kNone;
  int type = kNone;
  int capacity = 0;
  /// Charged by gangs that hold places here.
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
  /// Reserved for a starving gang.
  bool held = false;
  /// Bit i: accelerator i is given to a task.
  std::uint64_t taken = 0;

  bool open() const { return present && health == WorkerHealth::kHealthy; }

  /// Free accelerators once all pending evictions and starts are done.
  int left() const { return capacity - used + evicting - claimed; }

  /// Accelerators that a new gang can get now without an eviction. Excludes
  /// free accelerators that are claimed, even when pending evictions will
  /// replace them: otherwise the claim would wait for evictions that were
  /// ordered later.
  int available() const {
    return open() ? std::max(0, capacity - used - claimed) : 0;
  }

  /// Accelerators outside guaranteed blocks that are in use.
  int unpinned() const { return open() ? capacity - pinned : 0; }

  /// Accelerators outside all guaranteed blocks.
  int slack() const { return unpinned() - reserved; }
};

/// The workers of one cell by index, name and rack.
class Cell {
 public:
  /// Adds a worker, or one that was there before.
  WorkerIndex Put(const WorkerSpec& spec);

  void Remove(WorkerIndex worker) { workers_[worker].present = false; }

  /// Index of a worker, kNone when its name was never seen.
  WorkerIndex Find(const base::WorkerName& name) const;

  WorkerState& at(WorkerIndex worker) { return workers_[worker]; }
  const WorkerState& at(WorkerIndex worker) const { return workers_[worker]; }
  const WorkerSpec& spec(WorkerIndex worker) const { return specs_[worker]; }

  int size() const { return static_cast<int>(workers_.size()); }
  int racks() const { return static_cast<int>(rack_workers_.size()); }

  /// Size of the largest worker ever seen, 0 without workers.
  int largest() const;

  /// The workers ever seen in a rack, in order of index.
  const std::vector<WorkerIndex>& InRack(RackIndex rack) const {
    return rack_workers_[rack];
  }

  const std::vector<WorkerState>& workers() const { return workers_; }

  /// Distinct sizes of workers; few in practice.
  const std::vector<WorkerSpec>& types() const { return types_; }

  /// Accelerators that one task is charged on each type of worker, by type.
  /// Above the worker's size when the task does not fit.
  std::vector<int> ChargesOf(const TaskNeeds& needs) const;

 private:
  int TypeOf(const WorkerSpec& spec);

  std::vector<WorkerState> workers_;
  std::vector<WorkerSpec> specs_;
  std::vector<std::vector<WorkerIndex>> rack_workers_;
  std::unordered_map<base::WorkerName, WorkerIndex> by_name_;
  std::unordered_map<base::RackName, RackIndex> racks_by_name_;
  std::vector<WorkerSpec> types_;
};

/// Accelerators that a task is charged on such a worker: enough that its share
/// of cores and memory covers what it needs, at least one.
int ChargeOn(const WorkerSpec& worker, const TaskNeeds& needs);

/// Picks `count` of a worker's accelerators that are not `taken`: from the
/// fullest aligned group of the next power of two that has room, so that tasks
/// keep to one half of a worker where they can, else the lowest free ones.
std::uint64_t PickAccelerators(std::uint64_t taken, int accelerators,
                               int count);

}  // namespace lapishatch::placement::internal

#endif  // LAPISHATCH_PLACEMENT_INTERNAL_CELL_H_
