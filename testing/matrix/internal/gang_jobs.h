#ifndef LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_JOBS_H_
#define LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_JOBS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "scheduler/scheduler.h"

namespace lapishatch::matrix::internal {

inline constexpr int kAcceleratorsPerWorker = 8;

/// A job that the gang world submits, and when.
struct JobPlan {
  std::string name;
  std::string organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  int tasks = 2;
  int accelerators = kAcceleratorsPerWorker;
  bool idempotent = true;
  bool checkpoint = false;
  int run_ms = 0;
  int accepted_after_ms = 0;
};

/// A job of the world and what was seen of it.
struct SeenJob {
  scheduler::AcceptedJob accepted;
  base::TimePoint accepted_at{};
  std::optional<base::TimePoint> whole_since;
  std::optional<base::TimePoint> partial_since;
  bool cancelled = false;
  /// For the trace.
  int running = 0;
};

/// The jobs of every run: quiet work that borrows, urgent work that reclaims,
/// work that may start once only, and two gangs that together need all workers.
std::vector<JobPlan> PlannedJobs();

/// The job as its operator submits it; when is left open.
scheduler::AcceptedJob JobOf(const JobPlan& plan);

}  // namespace lapishatch::matrix::internal

#endif  // LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_JOBS_H_
