#ifndef LAPISHATCH_DISPATCH_BOUNDS_H_
#define LAPISHATCH_DISPATCH_BOUNDS_H_

#include <optional>
#include <string>

#include "base/base.h"

namespace lapishatch::dispatch {

/// What workers keep to and operators expect, as the settings give it. Timeouts
/// and waits of an owner follow from it in OwnerOptionsFor and in
/// internal/derived_options.h.
struct Bounds {
  /// From the order to stop a task until the worker has stopped it.
  base::Duration stop_timeout{400};
  /// Workers shorten longer leases to this.
  base::Duration max_lease{6'000};
  /// How long the first member of a gang waits for the last.
  base::Duration gang_timeout{3'000};
  /// From the acceptance of an urgent job within its organisation's guarantee
  /// until all tasks of its first step have begun.
  base::Duration guaranteed_start_delay{2'900};
  /// From when a worker says that it drains until nothing may start there.
  base::Duration drain_delay{2'000};
  /// From a new configuration until it is in force.
  base::Duration configuration_delay{2'000};
  /// From the request to evacuate a domain until nothing may start there.
  base::Duration evacuation_delay{5'000};
  /// From when a worker reports a reduced capacity until no start may exceed
  /// it.
  base::Duration capacity_delay{3'000};
  /// How long callers may ask for the state of a job that has ended.
  base::Duration state_retention{120'000};
  /// A task takes so many times as long off its rack.
  double remote_factor = 3;

  friend bool operator==(const Bounds&, const Bounds&) = default;
};

/// What keeps an owner from meeting `bounds`; nothing where it can.
std::optional<std::string> ValidateBounds(const Bounds& bounds);

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_BOUNDS_H_
