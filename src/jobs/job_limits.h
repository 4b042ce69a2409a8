#ifndef LAPISHATCH_JOBS_JOB_LIMITS_H_
#define LAPISHATCH_JOBS_JOB_LIMITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "jobs/job.h"
#include "jobs/progress.h"

namespace lapishatch::jobs {

/// Most tasks of a job over all steps and occurrences. An owner keeps each of
/// them in memory, and their progress in one row of 64 KB, with up to 40 bytes
/// per task.
inline constexpr int kMaxTasksPerJob = 1'500;

inline constexpr std::size_t kMaxStepsPerJob = 200;

/// Largest value of one number of a step or a schedule: resources of a task,
/// run time estimate and interval in milliseconds. Sums and products over the
/// tasks of all jobs of a service fit in 64 bits.
inline constexpr std::int64_t kMaxJobNumber =
    std::numeric_limits<std::int32_t>::max();

/// The limit that a job exceeds.
enum class JobLimit : std::uint8_t {
  kSteps,
  /// Tasks of a step, or of all steps and occurrences.
  kTasks,
  kResources,
  kRunTime,
  /// A step depends on itself, a later one or one that does not exist.
  kDependencies,
  kTasksPerWorker,
  kRepetitions,
  /// The due time of the last occurrence does not fit in 64 bits.
  kDueTimes,
};

/// Returns the first limit that a job of these steps exceeds. A job without
/// one can be expanded into its tasks in bounded time and memory, and no
/// arithmetic over its numbers overflows. Costs one pass over the steps.
std::optional<JobLimit> FindExceededLimit(const std::vector<Step>& steps,
                                          const Schedule& schedule);

/// Whether each record is of a unit of the job, in a state that the unit can
/// be in, and no unit has two. The job must be within the limits, and the
/// records in order.
bool IsProgressOf(const JobProgress& progress, const Job& job);

}  // namespace lapishatch::jobs

namespace lapishatch::base {
template <>
struct EnumNames<jobs::JobLimit> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "steps",       "tasks",        "resources",
      "run-time",    "dependencies", "tasks-per-worker",
      "repetitions", "due-times"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_JOBS_JOB_LIMITS_H_
