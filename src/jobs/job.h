#ifndef LAPISHATCH_JOBS_JOB_H_
#define LAPISHATCH_JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::jobs {

using QueueName = base::Id<struct QueueTag>;

/// What a task takes of a worker, and what a worker has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// Whether `needs` fits in here.
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

/// Some tasks alike, which may begin once all tasks of the steps before have
/// ended well.
struct Step {
  int tasks = 1;
  Resources needs;
  /// The submitter's guess of one task's run time.
  base::Duration run_time_estimate{0};
  /// Numbers of earlier steps.
  std::vector<int> depends_on;
  /// Tasks save what they did from time to time and can go on from there.
  bool supports_checkpoints = false;
  /// All tasks run at the same time or none does; the end of one is the end of
  /// all.
  bool is_gang = false;
  /// A gang that is spread over racks is several times as slow.
  bool prefers_single_rack = false;
  /// Several copies of a task may run; the first end counts.
  bool allows_speculative_copies = false;
  /// Runs until the job is cancelled; started again however it ends.
  bool is_service = false;
  /// Workers without it may not run the step; empty for any.
  std::string required_label;
  /// Elsewhere the tasks are several times as slow; empty for none.
  base::RackName preferred_rack;
  /// Most tasks of the step on one worker at a time; 0 for no limit.
  int max_tasks_per_worker = 0;
  /// Runs beside others in what they leave: its processor need is not counted.
  bool uses_spare_cpu = false;

  friend bool operator==(const Step&, const Step&) = default;
};

/// When the steps run: once at once, or `times` times from `first_due_ms` on.
struct Schedule {
  int repeat_count = 0;
  /// Milliseconds since 1970.
  std::int64_t first_due_ms = 0;
  std::int64_t interval_ms = 0;

  friend bool operator==(const Schedule&, const Schedule&) = default;
};

/// A job as it was accepted, with what its queue said at that moment.
struct Job {
  base::JobName name;
  /// Handed to every task as it is.
  std::string spec;
  std::vector<Step> steps;
  Schedule schedule;
  QueueName queue;
  base::ServiceName service;
  base::OrganisationName organisation;
  /// 0 goes first and may take the place of others.
  int priority = 0;
  /// Runs of a task, or of a gang, that may fail before the job has failed.
  int max_attempts = 1;
  /// The objective: the longest chain of estimates times this, and
  /// `target_latency` more.
  double slack_factor = 1;
  base::Duration target_latency{0};
  /// Of the entry's clock, milliseconds since 1970; only for logs and for
  /// weighing how late a job is.
  std::int64_t accepted_ms = 0;

  friend bool operator==(const Job&, const Job&) = default;
};

/// A job's occurrences: a job without a schedule has one.
inline int OccurrenceCount(const Job& job) {
  return job.schedule.repeat_count > 0 ? job.schedule.repeat_count : 1;
}

/// Names one task. The text is "job/occurrence/step/index".
struct TaskName {
  base::JobName job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// What a caller is told of a job.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// Whether nothing of the job will run any more.
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
