#ifndef LAPISHATCH_LIFECYCLE_WORKER_PROTOCOL_H_
#define LAPISHATCH_LIFECYCLE_WORKER_PROTOCOL_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"

namespace lapishatch::lifecycle {

/// Number of a cell's owner, higher for each new owner. A worker rejects
/// commands with an epoch below the highest that it has seen.
using Epoch = std::uint64_t;

/// Identifies one task of one attempt of one job on a worker.
struct TaskKey {
  base::JobName job;
  base::AttemptId attempt;
  int task = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Reserves accelerators, cores and memory for a task without running it. The
/// reservation expires after `lease` unless the task is started.
struct ReserveTask {
  TaskKey key;
  std::uint64_t accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  base::Duration lease{0};
};

/// Runs a reserved task. The worker stops it when `lease` expires without
/// renewal.
struct StartTask {
  TaskKey key;
  base::Duration lease{0};
  /// The job's payload, as JSON text.
  std::string payload;
  /// Checkpoint object to resume from, or empty.
  std::string from_checkpoint;
};

/// Extends the lease of a reserved or running task.
struct RenewTask {
  TaskKey key;
  base::Duration lease{0};
};

/// Writes the task's state into the object store under `object`; the task
/// continues to run.
struct CheckpointTask {
  TaskKey key;
  std::string object;
};

/// Limits a task that uses more cores than it declared to `cores`.
struct ThrottleTask {
  TaskKey key;
  int cores = 0;
};

/// Stops a running or reserved task and frees its resources. Idempotent.
struct StopTask {
  TaskKey key;
};

using WorkerCommand = std::variant<ReserveTask, StartTask, RenewTask,
                                   CheckpointTask, ThrottleTask, StopTask>;

/// The key of the task that a command applies to.
const TaskKey& KeyOf(const WorkerCommand& command);

/// Commands for one worker, executed in order, with one result each. An order
/// without commands only sets the epoch.
struct WorkerOrder {
  base::CellName cell;
  Epoch epoch = 0;
  /// Incarnation of the worker that the order is for; another one rejects the
  /// whole order.
  base::Incarnation worker_incarnation;
  std::vector<WorkerCommand> commands;
};

enum class TaskState : std::uint8_t {
  kReserved,
  kRunning,
  kFinished,
  kFailed,
  /// Ended by a command or an expired lease.
  kStopped,
};

/// Whether a task in this state has released its resources.
constexpr bool HasEnded(TaskState state) {
  return state == TaskState::kFinished || state == TaskState::kFailed ||
         state == TaskState::kStopped;
}

/// State of one task, as reported by its worker. Ended tasks are reported until
/// the owner has acknowledged them.
struct TaskReport {
  TaskKey key;
  TaskState state = TaskState::kReserved;
  std::uint64_t accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  int exit_code = 0;
  std::string detail;
  /// Object of the last checkpoint that is complete in the object store, or
  /// empty.
  std::string checkpoint;
  bool checkpoint_failed = false;
  /// Whether the worker reported that a stopped task never started.
  bool never_started = false;

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

/// State of a worker. Its usage fields lag behind.
struct WorkerReport {
  base::WorkerName worker;
  base::Incarnation incarnation;
  Epoch epoch_seen = 0;
  base::RackName rack;
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  int used_cores = 0;
  std::int64_t used_memory_mb = 0;
  /// Whether the worker reported that it is leaving.
  bool leaving = false;
  /// Increases with every change of a task; a report contains the changes after
  /// a given sequence.
  std::uint64_t sequence = 0;
  /// Tasks changed after the requested sequence; all tasks if it was 0.
  std::vector<TaskReport> tasks;
};

/// Result of one command.
struct CommandResult {
  bool done = false;
  /// Why the command was not executed, for users and logs.
  std::string reason;
};

/// The worker executed the order; one result per command.
struct OrderDone {
  std::vector<CommandResult> results;
};

/// The worker has seen a higher epoch, so the sender no longer owns the cell.
struct StaleEpoch {
  Epoch epoch_seen = 0;
};

/// The worker has restarted, and no part of the order was executed.
struct IncarnationMismatch {
  base::Incarnation incarnation;
};

/// The order never reached the worker.
struct OrderNotSent {
  std::string detail;
};

/// The order may have been executed in whole, in part from its first command,
/// or not at all.
struct OrderOutcomeUnknown {
  std::string detail;
};

using OrderOutcome = std::variant<OrderDone, StaleEpoch, IncarnationMismatch,
                                  OrderNotSent, OrderOutcomeUnknown>;

}  // namespace lapishatch::lifecycle

namespace lapishatch::base {
template <>
struct EnumNames<lifecycle::TaskState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "reserved", "running", "finished", "failed", "stopped"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_LIFECYCLE_WORKER_PROTOCOL_H_
