#include "estimation/pace_meter.h"

namespace lapishatch::estimation {
namespace {

/// With this much progress, the error of whole percents at both ends is below a
/// tenth.
constexpr int kMinProgress = 15;
/// A run that makes this much progress in less time was not observed evenly.
constexpr std::int64_t kMinTimeMs = 100;
constexpr int kFullProgress = 100;

}  // namespace

std::optional<Pace> PaceMeter::Observe(int percent, std::int64_t at_ms) {
  const int progress = percent - percent_;
  const auto time_ms = at_ms - at_ms_;
  const bool is_valid = percent_ >= 0 && progress >= 0 && time_ms >= 0;
  if (is_valid && progress < kMinProgress) return std::nullopt;
  percent_ = percent;
  at_ms_ = at_ms;
  if (!is_valid || time_ms < kMinTimeMs) return std::nullopt;
  Pace out;
  out.full_run_time = base::Duration(time_ms * kFullProgress / progress);
  out.deviation = 1.0 / progress;
  return out;
}

}  // namespace lapishatch::estimation
