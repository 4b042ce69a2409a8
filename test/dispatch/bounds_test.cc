#include <catch2/catch.hpp>
#include <initializer_list>

#include "dispatch/dispatch.h"
#include "dispatch/internal/derived_options.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;

TEST_CASE("the default bounds are valid") {
  CHECK_FALSE(ValidateBounds(Bounds{}).has_value());
}

TEST_CASE("contradictory bounds are rejected") {
  Bounds bounds;
  bounds.stop_timeout = bounds.max_lease;
  CHECK(ValidateBounds(bounds) ==
        "the timeout for stopping a task must be below the longest lease");
  bounds = Bounds{};
  bounds.remote_factor = 0.5;
  CHECK(ValidateBounds(bounds) ==
        "the factor for work outside its rack must be at least 1");
  bounds = Bounds{};
  bounds.configuration_extension = base::Duration(-1);
  CHECK(ValidateBounds(bounds) ==
        "the extension of the delay of a configuration must not be negative");
}

/// Covers 100 ms to 3 s to stop a task and 1 s to 10 s to start guaranteed
/// jobs.
TEST_CASE("derived waits leave time for a preemption after them") {
  for (const int stop : {100, 400, 900, 3'000}) {
    for (const int start : {1'000, 2'900, 3'400, 10'000}) {
      Bounds bounds;
      bounds.stop_timeout = Duration(stop);
      bounds.guaranteed_start_delay = Duration(start);
      const auto planner = internal::PlannerOptionsFor(bounds);
      CHECK(planner.max_preemption_time > bounds.stop_timeout);
      CHECK(planner.guaranteed_rack_wait >= Duration(0));
      // A preemption after the wait still ends in time, if any preemption can.
      const bool is_possible =
          planner.max_preemption_time < bounds.guaranteed_start_delay;
      if (!is_possible) continue;
      CHECK(planner.guaranteed_rack_wait + planner.max_preemption_time <
            bounds.guaranteed_start_delay);
    }
  }
}

TEST_CASE("a lease is never longer than workers accept") {
  for (const int most : {2'000, 3'000, 6'000, 10'000, 60'000}) {
    Bounds bounds;
    bounds.max_lease = Duration(most);
    CHECK(internal::SessionOptionsFor(bounds).lease_duration <
          bounds.max_lease);
  }
}

TEST_CASE("an order expires before the limit of an evacuation") {
  for (const int delay : {3'000, 5'000, 10'000}) {
    for (const int gang : {1'000, 3'000, 5'000}) {
      Bounds bounds;
      bounds.evacuation_delay = Duration(delay);
      bounds.gang_timeout = Duration(gang);
      const auto options = OwnerOptionsFor(bounds);
      CHECK(options.max_evacuations_age + options.start_validity <
            bounds.evacuation_delay);
      CHECK(options.start_validity < bounds.gang_timeout);
    }
  }
}

TEST_CASE("a job's state is kept longer than callers may request it") {
  for (const int kept : {1'000, 120'000, 3'600'000}) {
    Bounds bounds;
    bounds.state_retention = Duration(kept);
    CHECK(OwnerOptionsFor(bounds).ended_job_retention > bounds.state_retention);
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
