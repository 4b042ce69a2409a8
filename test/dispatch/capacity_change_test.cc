#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;
using jobs::Resources;

constexpr Resources kHalfCapacity{32'000, 131'072, 4};
constexpr Resources kFullCapacity{64'000, 262'144, 8};
constexpr Resources kLessThanOneTask{500, 500, 0};

jobs::TaskName TaskOf(const std::string& job, int index) {
  return {base::JobName(job), 0, 0, index};
}

/// A world in which tasks run for 8 s.
struct CapacityWorld : OwnerWorld {
  explicit CapacityWorld(int owners, int workers)
      : OwnerWorld(owners, workers) {
    this->workers().run_time = [](const jobs::TaskName&) {
      return Duration(8'000);
    };
    RunFor(1'000);
  }

  /// Number of the first `n` tasks of `job` that run on `worker`.
  int CountRunningOn(const base::WorkerName& worker, const std::string& job,
                     int n) {
    int out = 0;
    for (int i = 0; i < n; ++i) {
      out += workers().FindWorkerRunning(TaskOf(job, i)) == worker ? 1 : 0;
    }
    return out;
  }
};

TEST_CASE("nothing starts while running tasks exceed a reduced capacity") {
  CapacityWorld world(1, 1);
  world.Submit(OwnerWorld::MakeJob("first", 6, 1));
  world.RunFor(500);
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), kHalfCapacity);
  world.Submit(OwnerWorld::MakeJob("second", 6, 1));
  world.RunFor(7'000);
  CHECK(world.workers().running() == 6);
  world.RunFor(1'500);
  CHECK(world.workers().running() == 4);
  world.RunFor(20'000);
  CHECK(world.StateOf("second") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a worker whose capacity is restored runs as many tasks as before") {
  CapacityWorld world(1, 1);
  const auto worker = OwnerWorld::WorkerNameAt(0);
  world.SetCapacity(worker, kHalfCapacity);
  world.RunFor(5'000);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 1));
  world.RunFor(500);
  CHECK(world.workers().running() == 4);
  world.SetCapacity(worker, kFullCapacity);
  world.RunFor(500);
  CHECK(world.workers().running() == 8);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("each dimension of a capacity limits starts on its own") {
  CapacityWorld world(1, 1);
  Resources capacity = kFullCapacity;
  const int dimension = GENERATE(0, 1, 2);
  if (dimension == 0) capacity.cpu_millis = 2'500;
  if (dimension == 1) capacity.memory_mb = 2'500;
  if (dimension == 2) capacity.accelerators = 2;
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), capacity);
  world.RunFor(5'000);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 1));
  world.RunFor(500);
  CHECK(world.workers().running() == 2);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a worker too small for any task gets none while others run them") {
  CapacityWorld world(1, 2);
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), kLessThanOneTask);
  world.RunFor(5'000);
  world.Submit(OwnerWorld::MakeJob("plan", 10, 1));
  world.RunFor(500);
  CHECK(world.workers().running() == 8);
  CHECK(world.CountRunningOn(OwnerWorld::WorkerNameAt(0), "plan", 10) == 0);
  world.RunFor(20'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("tasks being stopped count against a reduced capacity") {
  CapacityWorld world(1, 1);
  world.SetGuarantee("crews", 8);
  world.Submit(OwnerWorld::MakeJob("quiet", 8, 1));
  world.RunFor(500);
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), kHalfCapacity);
  world.RunFor(5'000);
  auto urgent = OwnerWorld::MakeJob("urgent", 4, 1);
  urgent.priority = 0;
  urgent.steps[0].is_gang = true;
  world.Submit(urgent);
  world.RunFor(2'000);
  CHECK(world.CountRunningOn(OwnerWorld::WorkerNameAt(0), "urgent", 4) == 4);
  CHECK(world.workers().running() == 4);
  CHECK(world.workers().violations().empty());
}

TEST_CASE(
    "a recorded start is not sent if the capacity was reduced meanwhile") {
  CapacityWorld world(1, 1);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 1));
  while (world.accepted_count() == 0) world.RunFor(1);
  world.store().SetFaultForTransactions(fakes::StoreFault::kBusy);
  world.RunFor(300);
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), kHalfCapacity);
  world.RunFor(20);
  REQUIRE(world.workers().running() == 0);
  world.store().SetFaultForTransactions(fakes::StoreFault::kNone);
  world.RunFor(1'500);
  CHECK(world.workers().running() == 4);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an unanswered start is not sent again over a reduced capacity") {
  CapacityWorld world(1, 1);
  const auto worker = OwnerWorld::WorkerNameAt(0);
  world.workers().DelayNextStart(worker, Duration(3'600'000));
  world.Submit(OwnerWorld::MakeJob("plan", 1, 8));
  world.RunFor(200);
  world.SetCapacity(worker, kHalfCapacity);
  world.RunFor(8'000);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 0);
  world.SetCapacity(worker, kFullCapacity);
  world.RunFor(30'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an owner with stale registrations starts nothing") {
  CapacityWorld world(1, 1);
  world.PauseRegistrations("vm0");
  world.SetCapacity(OwnerWorld::WorkerNameAt(0), kHalfCapacity);
  world.RunFor(5'000);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 1));
  world.RunFor(2'000);
  CHECK(world.workers().running() == 0);
  world.ResumeRegistrations("vm0");
  world.RunFor(500);
  CHECK(world.workers().running() == 4);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a reduction that is reported late, twice or never is respected") {
  CapacityWorld world(1, 2);
  const auto worker = OwnerWorld::WorkerNameAt(0);
  const int reports = GENERATE(0, 1, 2);
  if (reports == 0) {
    // The worker's registration is removed before it shows the reduced
    // capacity.
    world.SetCapacity(worker, kHalfCapacity, Duration(3'600'000));
    world.Deregister(worker);
  }
  if (reports >= 1) world.SetCapacity(worker, kHalfCapacity, Duration(1'500));
  if (reports == 2) {
    world.RunFor(1'600);
    world.SetCapacity(worker, kHalfCapacity);
  }
  for (int i = 0; i < 10; ++i) {
    world.Submit(OwnerWorld::MakeJob("plan" + std::to_string(i), 2, 1));
    world.RunFor(700);
  }
  world.RunFor(40'000);
  for (int i = 0; i < 10; ++i) {
    CHECK(world.StateOf("plan" + std::to_string(i)) == JobState::kCompleted);
  }
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a new owner respects a capacity reduced before its takeover") {
  CapacityWorld world(3, 2);
  world.Submit(OwnerWorld::MakeJob("first", 12, 1));
  world.RunFor(500);
  for (int i = 0; i < 2; ++i) {
    world.SetCapacity(OwnerWorld::WorkerNameAt(i), kHalfCapacity);
  }
  world.Submit(OwnerWorld::MakeJob("second", 12, 1));
  // Two takeovers in quick succession.
  for (int i = 0; i < 2; ++i) {
    world.KillOwner(world.OwnerName());
    world.RunFor(3'000);
  }
  world.RunFor(60'000);
  CHECK(world.StateOf("first") == JobState::kCompleted);
  CHECK(world.StateOf("second") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE(
    "a reservation on a worker whose capacity is reduced moves to another") {
  CapacityWorld world(1, 2);
  world.SetGuarantee("crews", 8);
  world.Submit(OwnerWorld::MakeJob("quiet", 16, 1));
  world.RunFor(500);
  auto urgent = OwnerWorld::MakeJob("urgent", 1, 8);
  urgent.priority = 0;
  urgent.slack_factor = 4;
  world.Submit(urgent);
  world.RunFor(60);
  for (int i = 0; i < 2; ++i) {
    const auto worker = OwnerWorld::WorkerNameAt(i);
    if (world.CountRunningOn(worker, "quiet", 16) == 8) continue;
    world.SetCapacity(worker, kHalfCapacity);
  }
  world.RunFor(3'000);
  CHECK(world.workers().starts(TaskOf("urgent", 0)) == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("reductions on many workers during a burst of jobs are respected") {
  CapacityWorld world(1, 8);
  for (int i = 0; i < 30; ++i) {
    world.Submit(OwnerWorld::MakeJob("plan" + std::to_string(i), 4, 1));
    if (i == 5) {
      for (int k = 0; k < 4; ++k) {
        world.SetCapacity(OwnerWorld::WorkerNameAt(k), kHalfCapacity,
                          Duration(400 * k));
      }
    }
    if (i == 20) {
      for (int k = 0; k < 4; ++k) {
        world.SetCapacity(OwnerWorld::WorkerNameAt(k), kFullCapacity);
      }
    }
    world.RunFor(400);
  }
  world.RunFor(60'000);
  for (int i = 0; i < 30; ++i) {
    CHECK(world.StateOf("plan" + std::to_string(i)) == JobState::kCompleted);
  }
  CHECK(world.workers().violations().empty());
}

}  // namespace
}  // namespace lapishatch::dispatch
