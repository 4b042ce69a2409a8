#ifndef LAPISHATCH_JOBS_PROGRESS_H_
#define LAPISHATCH_JOBS_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
#include "jobs/job.h"

namespace lapishatch::jobs {

/// How far a unit is: the tasks of a gang together, or one task by itself.
enum class UnitPhase : std::uint8_t {
  /// Not begun, or ended otherwise than well: may be started when all its
  /// former runs are certain to be over.
  kWaiting,
  /// A start is recorded: from then on it may run.
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

/// What is recorded of a unit. A unit without a record waits for its first run;
/// of one that is done only its name and phase are recorded.
struct UnitRecord {
  int occurrence = 0;
  int step = 0;
  /// Of its first task.
  int index = 0;
  UnitPhase phase = UnitPhase::kWaiting;
  /// Runs that failed.
  int failures = 0;
  /// The last run that counts among them, 0 for none: the end of a run may be
  /// listed again to the next owner, and counts once.
  int last_failed_run = 0;
  /// The number of its last run, 0 for none; the next has a higher one.
  int last_run = 0;
  /// Of an earlier run; empty for none.
  std::string checkpoint;
  /// Where the started run was sent, one worker a task.
  std::vector<base::WorkerName> workers;
  /// One entry for each task that lost a worker.
  std::vector<TaskLosses> losses;

  friend bool operator==(const UnitRecord&, const UnitRecord&) = default;
};

/// What the owner of a job has recorded of it.
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
