#ifndef LAPISHATCH_PLACEMENT_GANG_H_
#define LAPISHATCH_PLACEMENT_GANG_H_

#include <cstdint>
#include <vector>

#include "base/base.h"
#include "placement/shape.h"

namespace lapishatch::placement {

/// What one task of a gang needs. Declared by the submitter, and may be wrong
/// by a factor of ten.
struct TaskNeeds {
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;

  friend bool operator==(const TaskNeeds&, const TaskNeeds&) = default;
};

/// The properties of a job that placement depends on: tasks, adjacency and
/// whether it may be stopped.
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
  /// Declared by the submitter, so neither safety nor freedom from starvation
  /// may depend on it.
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

/// Workers of all tasks of a gang.
struct GangPlacement {
  std::vector<TaskPlacement> tasks;
  /// Runs on capacity beyond the organisation's own unused guarantee: may be
  /// evicted for its owner.
  bool borrowed = false;

  friend bool operator==(const GangPlacement&, const GangPlacement&) = default;
};

/// Size and rack of a worker.
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
  /// Leaving, or drained by an operator: running tasks continue, no new task is
  /// placed.
  kDraining,
  /// Fails the tasks it starts: no new task is placed until it is released.
  kQuarantined,
  /// Not reachable: its tasks may still run, no new task is placed.
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
