#ifndef LAPISHATCH_ESTIMATION_LOG_ESTIMATE_H_
#define LAPISHATCH_ESTIMATION_LOG_ESTIMATE_H_

#include "base/base.h"

namespace lapishatch::estimation {

/// A positive quantity that is estimated by its logarithm, as a normal
/// distribution: errors of run times and speeds are factors. Follows the
/// observations as a Kalman filter of one dimension.
class LogEstimate {
 public:
  /// An estimate of a factor of 1. `deviation` is the standard deviation of the
  /// logarithm, about the relative error for small values.
  explicit LogEstimate(double deviation) : variance_(deviation * deviation) {}

  /// Takes in an observation of the logarithm with the standard deviation
  /// `deviation`. An observation that is further away than that of most is
  /// given less weight, since a few runs take many times their usual time; a
  /// series of them still moves the estimate.
  void Observe(double log_value, double deviation);

  /// Adds the variance that has accumulated since the last call, `per_second`,
  /// up to `max_deviation`: what was observed long ago may have changed.
  void Age(base::TimePoint now, double per_second, double max_deviation);

  double mean() const { return mean_; }
  double variance() const { return variance_; }
  double deviation() const;
  base::TimePoint updated_at() const { return updated_at_; }

 private:
  double mean_ = 0;
  double variance_;
  base::TimePoint updated_at_{};
};

}  // namespace lapishatch::estimation

#endif  // LAPISHATCH_ESTIMATION_LOG_ESTIMATE_H_
