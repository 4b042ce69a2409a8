#include "estimation/log_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lapishatch::estimation {

void LogEstimate::Observe(double log_value, double deviation) {
  const double residual = log_value - mean_;
  const double noise = deviation * deviation;
  // Weight of the Cauchy distribution, whose heavy tails cover outliers.
  const double distance = residual * residual / (variance_ + noise);
  const double weight = 2 / (1 + distance);
  const double weighted_noise = noise / std::min(weight, 1.0);
  const double gain = variance_ / (variance_ + weighted_noise);
  mean_ += gain * residual;
  variance_ *= 1 - gain;
}

void LogEstimate::Age(base::TimePoint now, double per_second,
                      double max_deviation) {
  if (updated_at_ != base::TimePoint{} && now > updated_at_) {
    const double elapsed =
        std::chrono::duration<double>(now - updated_at_).count();
    variance_ = std::min(variance_ + per_second * elapsed,
                         std::max(variance_, max_deviation * max_deviation));
  }
  updated_at_ = std::max(updated_at_, now);
}

double LogEstimate::deviation() const { return std::sqrt(variance_); }

}  // namespace lapishatch::estimation
