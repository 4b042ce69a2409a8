#ifndef LAPISHATCH_JOBS_PROGRESS_H_
#define LAPISHATCH_JOBS_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
#include "http/message.h"
#include "jobs/job.h"

namespace lapishatch::jobs {

/// Phase of a unit, which is all tasks of a gang or a single task.
enum class UnitPhase : std::uint8_t {
  /// Not started, or ended without success: may be started once all its earlier
  /// runs are certain to have ended.
  kWaiting,
  /// The start is recorded, so the unit may be running.
  kStarted,
  kDone,
};

/// A worker whose lease expired while it may have run a task. Whether it has
/// crashed is known only once an incarnation of it answers.
struct SilentWorker {
  base::WorkerName name;
  http::Endpoint endpoint;
  /// Its start time in milliseconds since 1970; 0 if it gave none.
  std::int64_t started_at_ms = 0;
  /// Whether the task was running there when the worker fell silent, and no
  /// larger failure explains the silence.
  bool ran_task = false;

  friend bool operator==(const SilentWorker&, const SilentWorker&) = default;
};

/// Workers that were lost while running one task of a unit, over all its runs.
/// A worker that turns out to have survived is not among them.
struct TaskLosses {
  /// Position of the task among those of the unit.
  int member = 0;
  /// Workers that crashed while running the task.
  int crashes = 0;
  /// How strongly the crashes indicate that the task caused them.
  int suspicion = 0;
  /// Workers that ended while they may have run the task, without proof that
  /// they did.
  int unproved = 0;
  /// Unsuccessful runs since three workers may have crashed under the task.
  int retries = 0;
  /// Workers of which it is not known yet whether they crashed.
  std::vector<SilentWorker> silent;

  /// Number of workers that may have crashed under the task.
  int PossibleCrashes() const {
    return crashes + unproved + static_cast<int>(silent.size());
  }

  friend bool operator==(const TaskLosses&, const TaskLosses&) = default;
};

/// The stored record of a unit. A unit without a record waits for its first
/// run; the record of a unit that is done holds only its position and phase.
struct UnitRecord {
  int occurrence = 0;
  int step = 0;
  /// Index of the unit's first task.
  int index = 0;
  UnitPhase phase = UnitPhase::kWaiting;
  /// Number of failed runs.
  int failures = 0;
  /// The last run counted in `failures`, 0 for none. A run's end may be
  /// reported again to the next owner, so it is compared with this to be
  /// counted once.
  int last_failed_run = 0;
  /// Number of the last run, 0 for none; the next run has a higher number.
  int last_run = 0;
  /// Checkpoint of an earlier run; empty for none.
  std::string checkpoint;
  /// Workers that the started run was sent to, one per task.
  std::vector<base::WorkerName> workers;
  /// One entry for each task that lost a worker.
  std::vector<TaskLosses> losses;

  friend bool operator==(const UnitRecord&, const UnitRecord&) = default;
};

/// The progress of a job as recorded by its owner.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<UnitRecord> units;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

}  // namespace lapishatch::jobs

namespace lapishatch::base {
template <>
struct EnumNames<jobs::UnitPhase> {
  static constexpr std::array<std::string_view, 3> kNames = {"waiting",
                                                             "started", "done"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_JOBS_PROGRESS_H_
