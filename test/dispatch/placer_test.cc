#include "dispatch/placer.h"

#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::dispatch {
namespace {

constexpr jobs::Resources kWorker{64'000, 262'144, 8};

/// Workers of eight accelerators, `per_rack` a rack, all workers.
Fleet MakeFleet(int workers, int per_rack) {
  Fleet out;
  for (int i = 0; i < workers; ++i) {
    WorkerRegistration entry;
    entry.name = base::WorkerName("w" + std::to_string(i));
    entry.rack = base::RackName("r" + std::to_string(i / per_rack));
    entry.capacity = kWorker;
    out.Put(entry);
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

Placement Called(const std::vector<const char*>& names) {
  return {names.begin(), names.end()};
}

TEST_CASE("a suspect task goes to the emptiest suitable worker") {
  auto fleet = MakeFleet(5, 5);
  Allocate(fleet, "w0", 2);
  Allocate(fleet, "w1", 1);
  Allocate(fleet, "w4", 3);
  fleet.AddSuspectTasks(base::WorkerName("w2"), 1);
  fleet.Find(base::WorkerName("w3"))->has_recent_crash = true;
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  auto request = RequestFor(step);
  request.is_suspect = true;
  CHECK(FindPlacement(workers, request) == Called({"w1"}));
}

TEST_CASE(
    "other tasks avoid a worker with a suspect task while others have room") {
  auto fleet = MakeFleet(2, 2);
  Allocate(fleet, "w0", 7);
  fleet.AddSuspectTasks(base::WorkerName("w0"), 1);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  auto request = RequestFor(step);
  request.excludes_risky_workers = true;
  CHECK(FindPlacement(workers, request) == Called({"w1"}));
  request.excludes_risky_workers = false;
  CHECK(FindPlacement(workers, request) == Called({"w0"}));
}

TEST_CASE("a task goes where the fewest accelerators are left over") {
  auto fleet = MakeFleet(3, 3);
  Allocate(fleet, "w1", 4);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 2);
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w1"}));
}

TEST_CASE("among workers alike those on a fuller rack are taken first") {
  auto fleet = MakeFleet(6, 2);
  Allocate(fleet, "w5", 8);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 1);
  // Any whole worker leaves as much; w4 is on the rack with w5.
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w4"}));
  // A worker that is in use already comes before that.
  Allocate(fleet, "w0", 1);
  SchedulableWorkers again(fleet);
  CHECK(FindPlacement(again, RequestFor(step)) == Called({"w0"}));
}

TEST_CASE("room that was taken or given back in between counts") {
  auto fleet = MakeFleet(2, 2);
  SchedulableWorkers workers(fleet);
  const auto step = MakeStep(1, 8);
  Allocate(fleet, "w0", 1);
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w1"}));
  Allocate(fleet, "w1", 1);
  CHECK_FALSE(FindPlacement(workers, RequestFor(step)));
  fleet.Release(base::WorkerName("w0"), {0, 0, 1});
  // The worker is at a lower level than it belongs to, and is found again once
  // a search for less has passed it.
  const auto small = MakeStep(1, 7);
  CHECK(FindPlacement(workers, RequestFor(small)) == Called({"w1"}));
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w0"}));
}

TEST_CASE("a gang that wants one rack gets the one that it fills best") {
  auto fleet = MakeFleet(6, 2);
  Allocate(fleet, "w2", 4);
  Allocate(fleet, "w5", 8);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(3, 4);
  step.is_gang = step.prefers_single_rack = true;
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w2", "w3", "w3"}));
}

TEST_CASE("a gang that fits on no rack is spread only where that will do") {
  auto fleet = MakeFleet(4, 2);
  Allocate(fleet, "w0", 8);
  Allocate(fleet, "w2", 8);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(2, 8);
  step.is_gang = step.prefers_single_rack = true;
  auto request = RequestFor(step);
  CHECK_FALSE(FindPlacement(workers, request));
  request.allows_other_racks = true;
  CHECK(FindPlacement(workers, request) == Called({"w1", "w3"}));
  CHECK(FitsWhenEmpty(workers, request));
}

TEST_CASE("what is larger than every rack could never fit on one") {
  auto fleet = MakeFleet(4, 2);
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(3, 8);
  step.is_gang = step.prefers_single_rack = true;
  CHECK_FALSE(FitsWhenEmpty(workers, RequestFor(step)));
  step.prefers_single_rack = false;
  CHECK(FitsWhenEmpty(workers, RequestFor(step)));
}

TEST_CASE("limits a worker and labels hold") {
  auto fleet = MakeFleet(3, 3);
  fleet.Find(base::WorkerName("w2"))->labels = {"fast"};
  SchedulableWorkers workers(fleet);
  auto step = MakeStep(2, 1);
  step.is_gang = true;
  step.max_tasks_per_worker = 1;
  CHECK(FindPlacement(workers, RequestFor(step)) == Called({"w0", "w1"}));
  step.required_label = "fast";
  CHECK_FALSE(FindPlacement(workers, RequestFor(step)));
  CHECK_FALSE(FitsWhenEmpty(workers, RequestFor(step)));
}

}  // namespace
}  // namespace lapishatch::dispatch
