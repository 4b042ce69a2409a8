#ifndef LAPISHATCH_DISPATCH_BOUNDS_H_
#define LAPISHATCH_DISPATCH_BOUNDS_H_

#include <optional>
#include <string>

#include "base/base.h"

namespace lapishatch::dispatch {

/// Time limits and factors that the settings define: those that workers enforce
/// and those that operators expect. OwnerOptionsFor and
/// internal/derived_options.h derive an owner's timeouts and waits from them.
struct Bounds {
  /// From the order to stop a task until the worker has stopped it.
  base::Duration stop_timeout{400};
  /// Workers cap longer leases at this.
  base::Duration max_lease{6'000};
  /// How long the first member of a gang waits for the last.
  base::Duration gang_timeout{3'000};
  /// From the acceptance of an urgent job within its organisation's guarantee
  /// until all tasks of its first step have started.
  base::Duration guaranteed_start_delay{2'900};
  /// From a worker's announcement that it drains until no task may start there.
  base::Duration drain_delay{2'000};
  /// From a change of the configuration until it is in force.
  base::Duration configuration_delay{2'000};
  /// Extension of `configuration_delay` while the store is impaired.
  base::Duration configuration_extension{5'000};
  /// From the request to evacuate a domain until no task may start there.
  base::Duration evacuation_delay{5'000};
  /// From when a worker reports a reduced capacity until no start may exceed
  /// it.
  base::Duration capacity_delay{3'000};
  /// How long the state of an ended job remains available to callers.
  base::Duration state_retention{120'000};
  /// How many times longer a task takes outside its rack.
  double remote_factor = 3;

  friend bool operator==(const Bounds&, const Bounds&) = default;
};

/// Describes why an owner cannot meet `bounds`; empty if it can.
std::optional<std::string> ValidateBounds(const Bounds& bounds);

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_BOUNDS_H_
