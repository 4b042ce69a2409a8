#ifndef LAPISHATCH_ESTIMATION_PACE_METER_H_
#define LAPISHATCH_ESTIMATION_PACE_METER_H_

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace lapishatch::estimation {

/// The pace of a run over some part of it.
struct Pace {
  /// Time that the whole run would take at this pace.
  base::Duration full_run_time{0};
  /// Relative standard deviation that follows from the whole percents.
  double deviation = 0;
};

/// Measures the pace of one run of a task from its reported progress. A run
/// that resumed from a checkpoint begins above 0%, so only differences count.
class PaceMeter {
 public:
  /// Handles a report of `percent`, at `at_ms` by the worker's clock. Returns
  /// the pace since the last result, or since the first report, once there is
  /// enough progress. Progress that decreases, or that jumps in no time, begins
  /// the measurement again.
  std::optional<Pace> Observe(int percent, std::int64_t at_ms);

 private:
  /// Progress at the start of the measurement; negative before it.
  int percent_ = -1;
  std::int64_t at_ms_ = 0;
};

}  // namespace lapishatch::estimation

#endif  // LAPISHATCH_ESTIMATION_PACE_METER_H_
