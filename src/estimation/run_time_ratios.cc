#include "estimation/run_time_ratios.h"

#include <cmath>

namespace lapishatch::estimation {

void RunTimeRatios::Observe(const WorkKind& kind, double ratio,
                            base::TimePoint now) {
  if (!kinds_.contains(kind) && kinds_.size() >= options_.max_kinds) return;
  auto& known =
      kinds_.try_emplace(kind, options_.prior_deviation).first->second;
  known.Age(now, options_.drift_per_second, options_.prior_deviation);
  known.Observe(std::log(ratio), options_.step_deviation);
}

RunTimeRatios::Ratio RunTimeRatios::RatioOf(const WorkKind& kind) const {
  const auto it = kinds_.find(kind);
  if (it == kinds_.end()) {
    return {0, std::hypot(options_.prior_deviation, options_.step_deviation)};
  }
  return {it->second.mean(),
          std::hypot(it->second.deviation(), options_.step_deviation)};
}

}  // namespace lapishatch::estimation
