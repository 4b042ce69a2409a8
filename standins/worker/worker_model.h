#ifndef LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_
#define LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/backends.h"
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
  /// A worker whose tasks really use more memory than it has for so long ends
  /// the one that is furthest above what it reserved.
  base::Duration memory_grace{20'000};
  /// Checkpoints are complete when CheckpointWritten says so, and a task that
  /// starts from one waits for CheckpointRead. Otherwise they complete by
  /// themselves and restore nothing.
  bool external_checkpoints = false;
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

/// A checkpoint that is to be written: how much of its run time the task had
/// behind it.
struct CheckpointWrite {
  lifecycle::TaskKey key;
  std::string object;
  base::Duration done{0};
};

/// A checkpoint that is to be read before its task can go on.
struct CheckpointRead {
  lifecycle::TaskKey key;
  std::string object;
};

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

  /// Takes note of a report's query: its epoch, and the renewal that it asks
  /// for unless it is stale. Call before IsReady and Answer.
  void Note(const backends::ReportQuery& query, base::TimePoint now);

  /// Whether a report is due now and not at the end of the query's wait: there
  /// is news, or the asker's epoch or incarnation is not the present one.
  bool IsReady(const backends::ReportQuery& query) const;

  /// The report that answers a query. Only the present owner's query
  /// acknowledges, so that a deposed one cannot make ended tasks forgotten.
  lifecycle::WorkerReport Answer(const backends::ReportQuery& query);

  /// Tasks changed after `since`. Ended tasks up to `since` are forgotten.
  lifecycle::WorkerReport Report(std::uint64_t since);

  /// Brings leases, ends of tasks and checkpoints up to `now`.
  void Advance(base::TimePoint now);

  /// When Advance has something to do next, if ever.
  std::optional<base::TimePoint> NextChange() const;

  /// A new life: tasks, epoch and sequence are forgotten.
  void Restart();

  /// The worker stood still from `began` to `now`: tasks made no progress, but
  /// their leases ran on.
  void Resume(base::TimePoint began, base::TimePoint now);

  /// Checkpoints to write and to read since the last call (only with
  /// external_checkpoints).
  std::vector<CheckpointWrite> TakeCheckpointWrites();
  std::vector<CheckpointRead> TakeCheckpointReads();

  /// The write ended. Passed over when the task has ended or begun another.
  void CheckpointWritten(const CheckpointWrite& write, bool complete);

  /// The read ended; nothing when the object could not be had, which fails the
  /// task.
  void CheckpointRestored(const CheckpointRead& read,
                          std::optional<base::Duration> done);

  /// Tasks fail at once when they are started.
  void SetRefusesStarts(bool refuses) { refuses_starts_ = refuses; }

  /// The worker's own word that it is leaving; a report tells it at once.
  void SetLeaving(bool leaving);

  const base::Incarnation& incarnation() const { return incarnation_; }
  lifecycle::Epoch epoch_seen() const { return epoch_seen_; }
  std::uint64_t sequence() const { return sequence_; }

  /// Tasks that run now, with when they began.
  struct RunningTask {
    lifecycle::TaskKey key;
    base::TimePoint began;
  };
  std::vector<RunningTask> Running() const;

  /// Tasks ever started in this and earlier lives, by job.
  const std::map<base::JobName, int>& starts() const { return starts_; }

  /// How many tasks were ever started in this and earlier lives, by job.
  int StartsOf(const base::JobName& job) const;

 private:
  struct Task {
    lifecycle::TaskReport report;
    base::TimePoint lease_end;
    base::TimePoint began;
    /// Run time behind it at `counted`.
    base::Duration done{0};
    base::TimePoint counted;
    /// Cores it may use; nothing: as many as it wants.
    std::optional<int> throttle;
    /// Waits for its checkpoint to be read.
    bool restoring = false;
    std::optional<base::TimePoint> checkpoint_end;
    std::string checkpoint_object;
    TaskBehaviour behaviour;
    std::uint64_t changed_at = 0;

    int WantedCores() const;
    int UsedCores() const;
    std::int64_t UsedMemory() const;
    /// When it will have run to its end, if it does.
    std::optional<base::TimePoint> RunEnd() const;
    /// Brings `done` up to `now`.
    void Count(base::TimePoint now);
  };

  /// What all tasks together use from a time on.
  struct Usage {
    base::TimePoint since;
    int cores = 0;
    std::int64_t memory_mb = 0;
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
  void CompleteCheckpoint(Task& task);
  void RecordUsage();
  /// Drops what the lag has passed; tells when the worker is seen overfull.
  void ShowUsage();
  void EndLargestOverMemory();
  bool IsOverfull(const Usage& usage) const;
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
  /// Tasks of this life that were started: a late copy of their orders never
  /// starts them again.
  std::set<lifecycle::TaskKey> started_;
  /// The shown usage first, then what the lag still hides.
  std::deque<Usage> usage_{Usage{}};
  std::optional<base::TimePoint> over_memory_since_;
  std::vector<CheckpointWrite> checkpoint_writes_;
  std::vector<CheckpointRead> checkpoint_reads_;
  std::map<base::JobName, int> starts_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_WORKER_WORKER_MODEL_H_
