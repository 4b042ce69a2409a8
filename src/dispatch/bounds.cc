#include "dispatch/bounds.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "dispatch/internal/derived_options.h"
#include "dispatch/service_owner.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;

/// Longest time from the end of a stopped task until its owner receives it.
constexpr Duration kEndReportDelay{600};

/// Time that an owner needs to start a job, besides a preemption: to read the
/// accepted job, and to record, send and carry out its start.
constexpr Duration kStartOverhead{1'000};

/// How long after its validity an order may still reach its worker.
constexpr Duration kOrderMargin{500};

/// Registrations are polled: a lower limit would block starts between polls.
constexpr Duration kMinRegistrationsAge{1'000};

/// Margin below the longest lease: rounding at workers might cut a longer one.
constexpr Duration kLeaseMargin{100};

/// Sufficient lease for a takeover and the renewals after it. Not longer, since
/// the tasks of an unreachable worker start elsewhere only after the lease.
constexpr Duration kSufficientLease{5'900};

/// With a shorter lease, renewals reach a worker only after the previous lease
/// has expired.
constexpr Duration kMinLease{2'000};

}  // namespace

std::optional<std::string> ValidateBounds(const Bounds& bounds) {
  const std::array<std::pair<std::string_view, Duration>, 9> times{{
      {"the timeout for stopping a task", bounds.stop_timeout},
      {"the longest lease", bounds.max_lease},
      {"the timeout of a gang", bounds.gang_timeout},
      {"the start delay of guaranteed work", bounds.guaranteed_start_delay},
      {"the delay of a drain", bounds.drain_delay},
      {"the delay of a configuration", bounds.configuration_delay},
      {"the delay of an evacuation", bounds.evacuation_delay},
      {"the delay of a capacity reduction", bounds.capacity_delay},
      {"the retention of job states", bounds.state_retention},
  }};
  for (const auto& [name, time] : times) {
    if (time <= Duration(0)) return std::string(name) + " must be above 0";
  }
  if (bounds.configuration_extension < Duration(0)) {
    return "the extension of the delay of a configuration must not be negative";
  }
  if (bounds.remote_factor < 1) {
    return "the factor for work outside its rack must be at least 1";
  }
  if (bounds.max_lease < kMinLease) {
    return "the longest lease is too short to be renewed in time";
  }
  if (bounds.stop_timeout >= bounds.max_lease) {
    return "the timeout for stopping a task must be below the longest lease";
  }
  return std::nullopt;
}

ServiceOwnerOptions OwnerOptionsFor(const Bounds& bounds) {
  ServiceOwnerOptions out;
  out.bounds = bounds;
  // The first member of a gang must not time out before the last one may start.
  out.start_validity = std::min(out.start_validity, bounds.gang_timeout / 2);
  const auto in_flight = out.start_validity + kOrderMargin;
  out.max_evacuations_age =
      std::max(bounds.evacuation_delay - in_flight, kOrderMargin);
  out.max_registrations_age =
      std::max(bounds.capacity_delay - in_flight, kMinRegistrationsAge);
  out.ended_job_retention = bounds.state_retention + bounds.state_retention / 2;
  return out;
}

namespace internal {

SessionOptions SessionOptionsFor(const Bounds& bounds) {
  SessionOptions out;
  out.lease_duration =
      std::min(kSufficientLease, bounds.max_lease - kLeaseMargin);
  return out;
}

TaskPlannerOptions PlannerOptionsFor(const Bounds& bounds) {
  TaskPlannerOptions out;
  out.max_preemption_time = bounds.stop_timeout + kEndReportDelay;
  out.rack_wait_factor = bounds.remote_factor - 1;
  out.guaranteed_rack_wait =
      std::max(Duration(0), bounds.guaranteed_start_delay -
                                out.max_preemption_time - kStartOverhead);
  return out;
}

DrainOptions DrainOptionsFor(const Bounds& bounds) {
  return {bounds.stop_timeout + kEndReportDelay};
}

}  // namespace internal
}  // namespace lapishatch::dispatch
