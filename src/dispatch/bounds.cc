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

/// From the end of a stopped task until its owner has heard of it.
constexpr Duration kEndHeardWithin{600};

/// What an owner needs, besides a preemption, to begin a job: its acceptance to
/// be read, its start to be recorded, sent and begun.
constexpr Duration kStartNeeds{1'000};

/// What an order may be late at its worker beyond its own time limit.
constexpr Duration kOrderSlack{500};

/// Registrations are polled: a lower limit would block starts between polls.
constexpr Duration kMinRegistrationsAge{1'000};

/// A lease as long as workers allow might be cut short by a rounding of theirs.
constexpr Duration kLeaseSlack{100};

/// Leases at workers need not outlive longer: a takeover and the renewals after
/// it fit. Work on a worker that nobody reaches starts elsewhere only after it.
constexpr Duration kLeaseNeeded{5'900};

/// Below it no renewal reaches a worker before the lease of the last one ends.
constexpr Duration kLeastLease{2'000};

}  // namespace

std::optional<std::string> ValidateBounds(const Bounds& bounds) {
  const std::array<std::pair<std::string_view, Duration>, 9> times{{
      {"the time to stop a task", bounds.stop_timeout},
      {"the longest lease", bounds.max_lease},
      {"the wait of a gang", bounds.gang_timeout},
      {"the start of guaranteed work", bounds.guaranteed_start_delay},
      {"the delay of a drain", bounds.drain_delay},
      {"the delay of a configuration", bounds.configuration_delay},
      {"the delay of an evacuation", bounds.evacuation_delay},
      {"the delay of a capacity reduction", bounds.capacity_delay},
      {"the time that states are kept", bounds.state_retention},
  }};
  for (const auto& [name, time] : times) {
    if (time <= Duration(0)) return std::string(name) + " must be above 0";
  }
  if (bounds.remote_factor < 1) return "work off its rack cannot be faster";
  if (bounds.max_lease < kLeastLease) {
    return "the longest lease is too short to be renewed in time";
  }
  if (bounds.stop_timeout >= bounds.max_lease) {
    return "a task must be stopped before its lease runs out";
  }
  return std::nullopt;
}

ServiceOwnerOptions OwnerOptionsFor(const Bounds& bounds) {
  ServiceOwnerOptions out;
  out.bounds = bounds;
  // The first member of a gang must not give up before the last one may begin.
  out.start_validity = std::min(out.start_validity, bounds.gang_timeout / 2);
  const auto in_flight = out.start_validity + kOrderSlack;
  out.max_evacuations_age =
      std::max(bounds.evacuation_delay - in_flight, kOrderSlack);
  out.max_registrations_age =
      std::max(bounds.capacity_delay - in_flight, kMinRegistrationsAge);
  out.ended_job_retention = bounds.state_retention + bounds.state_retention / 2;
  return out;
}

namespace internal {

SessionOptions SessionOptionsFor(const Bounds& bounds) {
  SessionOptions out;
  out.lease_duration = std::min(kLeaseNeeded, bounds.max_lease - kLeaseSlack);
  return out;
}

TaskPlannerOptions PlannerOptionsFor(const Bounds& bounds) {
  TaskPlannerOptions out;
  out.max_preemption_time = bounds.stop_timeout + kEndHeardWithin;
  out.rack_wait_factor = bounds.remote_factor - 1;
  out.guaranteed_rack_wait =
      std::max(Duration(0), bounds.guaranteed_start_delay -
                                out.max_preemption_time - kStartNeeds);
  return out;
}

}  // namespace internal
}  // namespace lapishatch::dispatch
