#ifndef LAPISHATCH_ROUTING_CLASS_RATES_H_
#define LAPISHATCH_ROUTING_CLASS_RATES_H_

#include <array>
#include <cmath>
#include <cstddef>

#include "base/base.h"

namespace lapishatch::routing {

/// How fast requests of each class have lately been sent to runners: an
/// exponentially decaying count, of which one second ago weighs 1/e. Not
/// thread-safe.
class ClassRates {
 public:
  void Add(base::WorkClass work_class, base::TimePoint now) {
    Decay(now);
    counts_[static_cast<std::size_t>(work_class)] += 1;
  }

  /// Sends a millisecond of the classes that go before `work_class`.
  double Before(base::WorkClass work_class, base::TimePoint now) {
    Decay(now);
    double sum = 0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(work_class); ++i) {
      sum += counts_[i];
    }
    return sum / kMemoryMs;
  }

 private:
  static constexpr double kMemoryMs = 1000;

  void Decay(base::TimePoint now) {
    if (now == decayed_at_) return;
    const auto ms = static_cast<double>((now - decayed_at_).count());
    const double factor = std::exp(-ms / kMemoryMs);
    for (auto& it : counts_) it *= factor;
    decayed_at_ = now;
  }

  std::array<double, base::kEnumSize<base::WorkClass>> counts_{};
  base::TimePoint decayed_at_{};
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_CLASS_RATES_H_
