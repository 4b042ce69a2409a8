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

/// Grows by one with each new owner of a cell. A worker refuses commands below
/// the highest it has seen.
using Epoch = std::uint64_t;

/// Names one task of one attempt of one job on a worker.
struct TaskKey {
  base::JobName job;
  base::AttemptId attempt;
  int task = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Holds accelerators, cores and memory for a task; nothing runs. Lapses after
/// `lease` unless started.
struct ReserveTask {
  TaskKey key;
  std::uint64_t accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  base::Duration lease{0};
};

/// Runs a reserved task. It is stopped by the worker when `lease` lapses
/// without renewal.
struct StartTask {
  TaskKey key;
  base::Duration lease{0};
  /// The job's payload, as JSON text.
  std::string payload;
  /// Object to continue from, or empty.
  std::string from_checkpoint;
};

/// Extends the lease of a reserved or running task.
struct RenewTask {
  TaskKey key;
  base::Duration lease{0};
};

/// Writes the task's state into the object store under `object`; the task goes
/// on.
struct CheckpointTask {
  TaskKey key;
  std::string object;
};

/// Slows a task down to `cores`, when it uses more than it declared.
struct ThrottleTask {
  TaskKey key;
  int cores = 0;
};

/// Ends a task, running or reserved, and frees what it holds. Doing it twice is
/// the same as once.
struct StopTask {
  TaskKey key;
};

using WorkerCommand = std::variant<ReserveTask, StartTask, RenewTask,
                                   CheckpointTask, ThrottleTask, StopTask>;

/// The key of whatever task a command is about.
const TaskKey& KeyOf(const WorkerCommand& command);

/// Commands for one worker, carried out in order, each answered by itself.
/// Empty: only installs the epoch.
struct WorkerOrder {
  base::CellName cell;
  Epoch epoch = 0;
  /// The worker's incarnation the order is meant for; another one refuses the
  /// whole order.
  base::Incarnation worker_incarnation;
  std::vector<WorkerCommand> commands;
};

enum class TaskState : std::uint8_t {
  kReserved,
  kRunning,
  kFinished,
  kFailed,
  /// Ended by a command or a lapsed lease.
  kStopped,
};

/// Whether a task in this state holds nothing any more.
constexpr bool HasEnded(TaskState state) {
  return state == TaskState::kFinished || state == TaskState::kFailed ||
         state == TaskState::kStopped;
}

/// What a worker says of one task. Ended tasks are told until the owner has
/// acknowledged their report.
struct TaskReport {
  TaskKey key;
  TaskState state = TaskState::kReserved;
  std::uint64_t accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  int exit_code = 0;
  std::string detail;
  /// The last checkpoint that is complete in the object store, or empty.
  std::string checkpoint;
  bool checkpoint_failed = false;
  /// The worker's own word, of a stopped task, that it was never begun.
  bool never_started = false;

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

/// A worker's state. Usage lags.
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
  /// The worker's own word that it is leaving.
  bool leaving = false;
  /// Counts up at every change of a task; a report answers "what changed after
  /// N".
  std::uint64_t sequence = 0;
  /// Tasks changed after the asked-for sequence; all of them when asked from 0.
  std::vector<TaskReport> tasks;
};

/// How one command ended.
struct CommandResult {
  bool done = false;
  /// Why not, for people and logs.
  std::string reason;
};

/// The worker carried the order out; one result per command.
struct OrderDone {
  std::vector<CommandResult> results;
};

/// The worker has seen a higher epoch: whoever sent this owns the cell no
/// longer.
struct StaleEpoch {
  Epoch epoch_seen = 0;
};

/// The worker has restarted: nothing of the order was carried out.
struct IncarnationMismatch {
  base::Incarnation incarnation;
};

/// The order never reached the worker.
struct OrderNotSent {
  std::string detail;
};

/// The order may or may not have been carried out, in whole or from the front.
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
