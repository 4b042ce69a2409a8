#ifndef LAPISHATCH_JOBS_JOB_H_
#define LAPISHATCH_JOBS_JOB_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::jobs {

using QueueName = base::Id<struct QueueTag>;

/// Resources that a task requires or that a worker offers.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// Whether every dimension is at least that of `needs`.
  bool Covers(const Resources& needs) const {
    return cpu_millis >= needs.cpu_millis && memory_mb >= needs.memory_mb &&
           accelerators >= needs.accelerators;
  }

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// A group of identical tasks, which may start once all tasks of the steps in
/// `depends_on` have succeeded.
struct Step {
  int tasks = 1;
  /// Requested for each task.
  Resources needs;
  /// The submitter's estimate of one task's run time.
  base::Duration run_time_estimate{0};
  /// Indices of earlier steps.
  std::vector<int> depends_on;
  /// Tasks save checkpoints periodically and can resume from them.
  bool supports_checkpoints = false;
  /// Gang scheduling: all tasks run at the same time or none does, and the end
  /// of one task ends all of them.
  bool is_gang = false;
  /// The gang runs several times slower when it is spread over several racks.
  bool prefers_single_rack = false;
  /// Several copies of a task may run at once; the first to end counts.
  bool allows_speculative_copies = false;
  /// Runs until the job is cancelled; restarted whatever its result.
  bool is_service = false;
  /// Only workers with this label may run the step; empty for any worker.
  std::string required_label;
  /// The tasks run several times slower on other racks; empty for no
  /// preference.
  base::RackName preferred_rack;
  /// Limit on concurrent tasks of the step on one worker; 0 for no limit.
  int max_tasks_per_worker = 0;
  /// Runs on CPU time that other tasks leave idle: its CPU request is not
  /// counted.
  bool uses_spare_cpu = false;

  friend bool operator==(const Step&, const Step&) = default;
};

/// When the steps run: once, immediately, if `repeat_count` is 0, otherwise
/// `repeat_count` times from `first_due_ms` on.
struct Schedule {
  int repeat_count = 0;
  /// Milliseconds since 1970.
  std::int64_t first_due_ms = 0;
  std::int64_t interval_ms = 0;

  friend bool operator==(const Schedule&, const Schedule&) = default;
};

/// A job as accepted, with the settings of its queue at that time.
struct Job {
  base::JobName name;
  /// Passed unchanged to every task.
  std::string spec;
  std::vector<Step> steps;
  Schedule schedule;
  QueueName queue;
  base::ServiceName service;
  base::OrganisationName organisation;
  /// 0 is the highest priority and may preempt other jobs.
  int priority = 0;
  /// Number of failed runs of one task, or of one gang, after which the job
  /// fails.
  int max_attempts = 1;
  /// The latency objective is the longest chain of run time estimates times
  /// `slack_factor`, plus `target_latency`.
  double slack_factor = 1;
  base::Duration target_latency{0};
  /// Milliseconds since 1970 by the entry's clock; used only in logs and to
  /// compute how late a job is.
  std::int64_t accepted_ms = 0;
  /// Whether JobIndex has an entry for it. Earlier versions wrote none.
  bool is_indexed = false;

  friend bool operator==(const Job&, const Job&) = default;
};

/// What one copy of a job occupies, in bytes.
std::size_t MemoryOf(const Job& job);

/// Number of occurrences of a job; a job without a schedule has one.
inline int OccurrenceCount(const Job& job) {
  return job.schedule.repeat_count > 0 ? job.schedule.repeat_count : 1;
}

/// Identifies one task. Its text form is "job/occurrence/step/index".
struct TaskName {
  base::JobName job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// The state of a job as reported to callers.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// Whether no task of the job will run again.
constexpr bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

}  // namespace lapishatch::jobs

namespace lapishatch::base {
template <>
struct EnumNames<jobs::JobState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "queued", "running", "completed", "failed", "cancelled"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_JOBS_JOB_H_
