#ifndef LAPISHATCH_JOBS_PROGRESS_H_
#define LAPISHATCH_JOBS_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
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

/// Workers that were lost while running one task of a unit, over all its runs.
struct TaskLosses {
  /// Position of the task among those of the unit.
  int member = 0;
  /// Includes unsuccessful runs that the owner counts as losses.
  int count = 0;
  /// How strongly the losses indicate that the task caused them.
  int suspicion = 0;

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
