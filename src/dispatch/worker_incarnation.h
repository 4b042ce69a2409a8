#ifndef LAPISHATCH_DISPATCH_WORKER_INCARNATION_H_
#define LAPISHATCH_DISPATCH_WORKER_INCARNATION_H_

#include <cstdint>
#include <optional>

namespace lapishatch::dispatch {

/// When a worker started, in milliseconds since 1970 by its own clock; empty if
/// it does not say. A worker that starts again may keep its name, and its start
/// time then tells the two incarnations apart. The later one has a clock, end
/// numbers and an epoch of its own, and runs nothing of the earlier one.
using WorkerStartTime = std::optional<std::int64_t>;

/// Whether the start times are certainly those of different incarnations.
/// Clocks may be set back, so the order of the times says nothing.
inline bool AreDifferentIncarnations(const WorkerStartTime& a,
                                     const WorkerStartTime& b) {
  return a && b && *a != *b;
}

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_WORKER_INCARNATION_H_
