#include "dispatch/placer.h"

#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::dispatch {
namespace {

constexpr jobs::Resources kWorker{64'000, 262'144, 8};

/// Returns schedulable workers with eight accelerators each, `per_rack` on a
/// rack.
Fleet MakeFleet(int workers, int per_rack) {
  Fleet out;
  for (int i = 0; i < workers; ++i) {
    WorkerRegistration registration;
    registration.name = base::WorkerName("w" + std::to_string(i));
    registration.rack = base::RackName("r" + std::to_string(i / per_rack));
    registration.capacity = kWorker;
    out.Put(registration);
  }
  for (auto& [name, worker] : out.workers()) worker.is_schedulable = true;
  return out;
}

jobs::Step MakeStep(int tasks, std::int64_t accelerators) {
  jobs::Step out;
  out.tasks = tasks;
  out.needs = {1'000, 1'000, accelerators};
  return out;
}

void Allocate(Fleet& fleet, const char* worker, std::int64_t accelerators) {
  fleet.Allocate(base::WorkerName(worker), {0, 0, accelerators});
}

PlacementRequest RequestFor(const jobs::Step& step) {
  PlacementRequest out;
  out.step = &step;
  out.tasks = step.is_gang ? step.tasks : 1;
  return out;
}

Placement WorkerNames(const std::vector<const char*>& names) {
  return {names.begin(), names.end()};
}

TEST_CASE("a suspect task goes to the emptiest suitable worker") {
  auto fleet = MakeFleet(5, 5);
  Allocate(fleet, "w0", 2);
  Allocate(fleet, "w1", 1);
  Allocate(fleet, "w4", 3);
  fleet.AddSuspectTasks(base::WorkerName("w2"), 1);
  fleet.Find(base::WorkerName("w3"))->last_crash_at =
      base::TimePoint(base::Duration(1));
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  auto request = RequestFor(step);
  request.suspect = SuspectPlacement::kIsolated;
  CHECK(FindPlacement(workers, request) == WorkerNames({"w1"}));
}

TEST_CASE(
    "other tasks avoid a worker with a suspect task while others are "
    "available") {
  auto fleet = MakeFleet(2, 2);
  Allocate(fleet, "w0", 7);
  fleet.AddSuspectTasks(base::WorkerName("w0"), 1);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  auto request = RequestFor(step);
  request.excludes_risky_workers = true;
  CHECK(FindPlacement(workers, request) == WorkerNames({"w1"}));
  request.excludes_risky_workers = false;
  CHECK(FindPlacement(workers, request) == WorkerNames({"w0"}));
}

TEST_CASE("a task is placed where the fewest accelerators are left over") {
  auto fleet = MakeFleet(3, 3);
  Allocate(fleet, "w1", 4);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 2);
  CHECK(FindPlacement(workers, RequestFor(step)) == WorkerNames({"w1"}));
}

TEST_CASE("among equal workers those on a fuller rack are preferred") {
  auto fleet = MakeFleet(6, 2);
  Allocate(fleet, "w5", 8);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  // All empty workers fit equally well; w4 shares its rack with w5, which is
  // full.
  CHECK(FindPlacement(workers, RequestFor(step)) == WorkerNames({"w4"}));
  // A worker that is already in use is a better fit than an empty one.
  Allocate(fleet, "w0", 1);
  SchedulableWorkers updated_workers(fleet);
  CHECK(FindPlacement(updated_workers, RequestFor(step)) ==
        WorkerNames({"w0"}));
}

TEST_CASE("changes of free resources between searches are taken into account") {
  auto fleet = MakeFleet(2, 2);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 8);
  Allocate(fleet, "w0", 1);
  CHECK(FindPlacement(workers, RequestFor(step)) == WorkerNames({"w1"}));
  Allocate(fleet, "w1", 1);
  CHECK_FALSE(FindPlacement(workers, RequestFor(step)));
  fleet.Release(base::WorkerName("w0"), {0, 0, 1});
  // The worker is in a lower bucket than its free accelerators require. A
  // search for fewer accelerators visits that bucket and moves the worker.
  const auto small = MakeStep(1, 7);
  CHECK(FindPlacement(workers, RequestFor(small)) == WorkerNames({"w1"}));
  CHECK(FindPlacement(workers, RequestFor(step)) == WorkerNames({"w0"}));
}

TEST_CASE("a gang that prefers a single rack gets the best fitting one") {
  auto fleet = MakeFleet(6, 2);
  Allocate(fleet, "w2", 4);
  Allocate(fleet, "w5", 8);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(3, 4);
  step.is_gang = step.prefers_single_rack = true;
  CHECK(FindPlacement(workers, RequestFor(step)) ==
        WorkerNames({"w2", "w3", "w3"}));
}

TEST_CASE("a gang that fits on no single rack is spread only if allowed") {
  auto fleet = MakeFleet(4, 2);
  Allocate(fleet, "w0", 8);
  Allocate(fleet, "w2", 8);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(2, 8);
  step.is_gang = step.prefers_single_rack = true;
  auto request = RequestFor(step);
  CHECK_FALSE(FindPlacement(workers, request));
  request.allows_other_racks = true;
  CHECK(FindPlacement(workers, request) == WorkerNames({"w1", "w3"}));
  CHECK(FitsWhenEmpty(workers, request));
}

TEST_CASE("a gang larger than every rack never fits on one") {
  auto fleet = MakeFleet(4, 2);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(3, 8);
  step.is_gang = step.prefers_single_rack = true;
  CHECK_FALSE(FitsWhenEmpty(workers, RequestFor(step)));
  step.prefers_single_rack = false;
  CHECK(FitsWhenEmpty(workers, RequestFor(step)));
}

TEST_CASE("limits per worker and required labels are respected") {
  auto fleet = MakeFleet(3, 3);
  fleet.Find(base::WorkerName("w2"))->labels = {"fast"};
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(2, 1);
  step.is_gang = true;
  step.max_tasks_per_worker = 1;
  CHECK(FindPlacement(workers, RequestFor(step)) == WorkerNames({"w0", "w1"}));
  step.required_label = "fast";
  CHECK_FALSE(FindPlacement(workers, RequestFor(step)));
  CHECK_FALSE(FitsWhenEmpty(workers, RequestFor(step)));
}

}  // namespace
}  // namespace lapishatch::dispatch
