#ifndef LAPISHATCH_PLACEMENT_GANG_H_
#define LAPISHATCH_PLACEMENT_GANG_H_

#include <cstdint>
#include <vector>

#include "base/base.h"
#include "placement/shape.h"

namespace lapishatch::placement {

/// What one task of a gang needs. Declared by the submitter and possibly wrong
/// by ten times.
struct TaskNeeds {
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;

  friend bool operator==(const TaskNeeds&, const TaskNeeds&) = default;
};

/// A job as placement sees it: which tasks, how close together, and what may be
/// done to it.
struct Gang {
  base::JobName job;
  base::OrganisationName organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  int tasks = 1;
  TaskNeeds needs;
  Adjacency adjacency = Adjacency::kRack;
  /// May run on capacity that is guaranteed to others, and then be evicted.
  bool allow_borrowing = true;
  /// Can be stopped with a checkpoint and continued later.
  bool checkpointable = false;
  /// Can be run again from the start.
  bool idempotent = false;
  /// The submitter accepts that borrowed work which can neither be checkpointed
  /// nor run again is lost.
  bool may_be_lost = false;
  /// Declared, so never to be relied on for safety or freedom from starvation.
  base::Duration declared_runtime{0};
  base::TimePoint submitted{};

  int accelerators() const { return tasks * needs.accelerators; }
};

/// Where one task runs. Bit i of `accelerators` stands for accelerator i of the
/// worker.
struct TaskPlacement {
  int task = 0;
  base::WorkerName worker;
  std::uint64_t accelerators = 0;

  friend bool operator==(const TaskPlacement&, const TaskPlacement&) = default;
};

/// Where a whole gang runs; every task has a place.
struct GangPlacement {
  std::vector<TaskPlacement> tasks;
  /// Runs on capacity beyond the organisation's own unused guarantee: may be
  /// evicted for its owner.
  bool borrowed = false;

  friend bool operator==(const GangPlacement&, const GangPlacement&) = default;
};

/// A worker's size and place.
struct WorkerSpec {
  base::WorkerName name;
  base::RackName rack;
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

/// Whether new tasks may go to a worker.
enum class WorkerHealth : std::uint8_t {
  kHealthy,
  /// Leaving or drained by an operator: what runs there goes on, nothing new is
  /// placed.
  kDraining,
  /// Fails what it starts: nothing new until it is released.
  kQuarantined,
  /// Not reached: counts as possibly busy, nothing new is placed.
  kUnreachable,
};

}  // namespace lapishatch::placement

namespace lapishatch::base {
template <>
struct EnumNames<placement::WorkerHealth> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "healthy", "draining", "quarantined", "unreachable"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_PLACEMENT_GANG_H_
