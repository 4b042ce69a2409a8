#include "estimation/run_time_model.h"

#include <boost/math/distributions/normal.hpp>
#include <chrono>
#include <cmath>

namespace lapishatch::estimation {
namespace {

using Seconds = std::chrono::duration<double>;

base::Duration Scaled(base::Duration time, double factor) {
  return std::chrono::duration_cast<base::Duration>(Seconds(time) * factor);
}

}  // namespace

base::Duration RunTimeEstimate::AtQuantile(double quantile) const {
  const double distance =
      boost::math::quantile(boost::math::normal(), quantile);
  return Scaled(median, std::exp(distance * deviation));
}

std::vector<base::WorkerName> RunTimeModel::Observe(const ObservedRun& run,
                                                    const Pace& pace,
                                                    base::TimePoint now) {
  std::vector<base::WorkerName> out;
  const auto on_rack = Scaled(pace.full_run_time, 1 / run.rack_factor);
  if (on_rack <= base::Duration(0)) return out;
  if (run.is_gang_member) return out;
  out = speeds_.Observe(run.step, run.worker, on_rack, pace.deviation, now);
  if (run.estimate <= base::Duration(0)) return out;
  const double speed = speeds_.SpeedOf(run.worker).speed;
  ratios_.Observe(run.kind, Seconds(on_rack) / Seconds(run.estimate) * speed,
                  now);
  return out;
}

RunTimeEstimate RunTimeModel::RunTimeOf(const WorkKind& kind,
                                        base::Duration estimate,
                                        WorkerSpeed speed) const {
  const auto ratio = ratios_.RatioOf(kind);
  return {Scaled(estimate, std::exp(ratio.log_median) / speed.speed),
          std::hypot(ratio.deviation, speed.deviation)};
}

}  // namespace lapishatch::estimation
