#ifndef LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_
#define LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"
#include "lifecycle/lifecycle.h"

namespace lapishatch::standins {

struct WorkerModelOptions {
  base::WorkerName name;
  base::RackName rack;
  int accelerators = 8;
  int cores = 64;
  std::int64_t memory_mb = 256 * 1024;
  /// How far usage in reports is behind.
  base::Duration usage_lag{2'000};
  /// How long a checkpoint takes.
  base::Duration checkpoint_time{500};
  /// Run time of a task whose payload names none.
  base::Duration default_run_time{60'000};
};

/// What a task will do, from the job's payload:
/// {"run_ms":1000,"exit_code":0,"fail_start":false,"use_cores":8,"use_memory_mb":1024}.
struct TaskBehaviour {
  base::Duration run_time{0};
  int exit_code = 0;
  bool fail_start = false;
  /// Nothing: uses what it reserved.
  std::optional<int> use_cores;
  std::optional<std::int64_t> use_memory_mb;
};

/// Reads a payload; whatever is missing or of the wrong type takes the default.
TaskBehaviour BehaviourOf(const std::string& payload,
                          base::Duration default_run_time);

/// One worker as the platform gives it: tasks under leases, fenced by epochs.
/// Pure: orders and the time in, outcomes and reports out. Its rules are those
/// of docs/OUTSIDE.md.
class WorkerModel {
 public:
  explicit WorkerModel(WorkerModelOptions options);

  /// Carries an order out. Call Advance first with the same time.
  lifecycle::OrderOutcome Handle(const lifecycle::WorkerOrder& order,
                                 base::TimePoint now);

  /// Notes the epoch of an asking owner; false when it is lower than one seen.
  bool NoteEpoch(lifecycle::Epoch epoch);

  /// Extends the leases of all started tasks.
  void RenewAll(base::Duration lease, base::TimePoint now);

  /// Tasks changed after `since`. Ended tasks up to `since` are forgotten.
  lifecycle::WorkerReport Report(std::uint64_t since);

  /// Brings leases, ends of tasks and checkpoints up to `now`.
  void Advance(base::TimePoint now);

  /// When Advance has something to do next, if ever.
  std::optional<base::TimePoint> NextChange() const;

  /// A new life: tasks, epoch and sequence are forgotten.
  void Restart();

  /// Tasks fail at once when they are started.
  void SetRefusesStarts(bool refuses) { refuses_starts_ = refuses; }

  void SetLeaving(bool leaving) { leaving_ = leaving; }

  const base::Incarnation& incarnation() const { return incarnation_; }
  lifecycle::Epoch epoch_seen() const { return epoch_seen_; }
  std::uint64_t sequence() const { return sequence_; }

  /// Tasks that run now, with when they began.
  struct RunningTask {
    lifecycle::TaskKey key;
    base::TimePoint began;
  };
  std::vector<RunningTask> Running() const;

  /// How many tasks were ever started in this and earlier lives, by job.
  int StartsOf(const base::JobName& job) const;

 private:
  struct Task {
    lifecycle::TaskReport report;
    base::TimePoint lease_end;
    base::TimePoint began;
    base::TimePoint run_end;
    std::optional<base::TimePoint> checkpoint_end;
    std::string checkpoint_object;
    TaskBehaviour behaviour;
    std::uint64_t changed_at = 0;
  };

  lifecycle::CommandResult Do(const lifecycle::ReserveTask& command);
  lifecycle::CommandResult Do(const lifecycle::StartTask& command);
  lifecycle::CommandResult Do(const lifecycle::RenewTask& command);
  lifecycle::CommandResult Do(const lifecycle::CheckpointTask& command);
  lifecycle::CommandResult Do(const lifecycle::ThrottleTask& command);
  lifecycle::CommandResult Do(const lifecycle::StopTask& command);

  void Begin(Task& task, const lifecycle::StartTask& command);
  void End(Task& task, lifecycle::TaskState state, std::string detail);
  void Touch(Task& task);
  void AdvanceTask(Task& task);
  std::uint64_t HeldAccelerators() const;
  int HeldCores() const;
  std::int64_t HeldMemory() const;

  WorkerModelOptions options_;
  base::Incarnation incarnation_;
  lifecycle::Epoch epoch_seen_ = 0;
  std::uint64_t sequence_ = 0;
  bool refuses_starts_ = false;
  bool leaving_ = false;
  base::TimePoint now_;
  std::map<lifecycle::TaskKey, Task> tasks_;
  std::map<base::JobName, int> starts_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_
