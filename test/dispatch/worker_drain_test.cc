#include "dispatch/internal/worker_drain.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

const base::TimePoint kStart{Duration(10'000)};

/// A unit with one member, of a step whose estimate is 4 s.
struct OneTask {
  jobs::Step step;
  StepRun run;
  Unit unit;

  OneTask() {
    step.run_time_estimate = Duration(4'000);
    run.step = &step;
    unit.step_run = &run;
    unit.started_at = kStart;
    unit.members.push_back({base::WorkerName("w")});
  }

  Member& member() { return unit.members.front(); }

  Duration RemainingAfter(int ms) {
    return RemainingWork(unit, member(), kStart + Duration(ms));
  }
};

TEST_CASE("without progress the remaining work is based on the estimate") {
  OneTask it;
  CHECK(it.RemainingAfter(1'000) == Duration(3'000));
  CHECK(it.RemainingAfter(9'000) == Duration(0));
}

TEST_CASE("the rate of progress takes precedence over the estimate") {
  OneTask it;
  it.member().first_percent = 50;
  it.member().first_seen_at = kStart + Duration(500);
  it.member().percent = 60;
  it.member().last_progress_at = kStart + Duration(1'500);
  // Progress is 10% per second: the remaining 40% take 4 s, of which half a
  // second has passed.
  CHECK(it.RemainingAfter(2'000) == Duration(3'500));
}

TEST_CASE("the first progress report scales the estimate") {
  OneTask it;
  it.member().first_percent = 25;
  it.member().first_seen_at = kStart + Duration(800);
  it.member().percent = 25;
  it.member().last_progress_at = it.member().first_seen_at;
  CHECK(it.RemainingAfter(800) == Duration(3'000));
}

/// A worker announces that it leaves, which its owner reads later, and leaves
/// at the announced time. One of its tasks ends in each millisecond around it.
TEST_CASE("a task that ends as its worker leaves is not started again") {
  const Duration age(GENERATE(0, 250, 2'000));
  static constexpr Duration kStays{5'000};
  constexpr Duration kRunTime{10'000};
  constexpr int kTasks = 40;
  OwnerWorld world(1, 1);
  world.RunFor(1'000);
  const auto leaves_at = world.time().Now() + kRunTime;
  std::map<jobs::TaskName, Duration> run_times;
  world.workers().run_time = [&](const jobs::TaskName& task) {
    const Duration offset(std::stoi(task.job.str()) - kTasks / 2);
    const auto end = std::max(leaves_at + offset, world.time().Now());
    return run_times.try_emplace(task, end - world.time().Now()).first->second;
  };
  for (int i = 0; i < kTasks; ++i) {
    auto job = OwnerWorld::MakeJob(std::to_string(i), 1, 0);
    job.steps[0].run_time_estimate = kRunTime;
    world.Submit(job);
  }
  world.RunFor(1'000);
  REQUIRE(world.workers().running() == kTasks);
  world.AddWorker(1);
  const auto leaving = OwnerWorld::WorkerNameAt(0);
  const auto announced_in = leaves_at - kStays - world.time().Now();
  world.time().After(announced_in + age, [&world, leaving, age] {
    world.Drain(leaving, kStays, age);
  });
  world.time().After(announced_in + kStays, [&world, leaving] {
    world.workers().Leave(leaving);
    world.Deregister(leaving);
  });
  world.RunFor(40'000);
  for (int i = 0; i < kTasks; ++i) {
    CHECK(world.StateOf(std::to_string(i)) == jobs::JobState::kCompleted);
  }
  CHECK(world.workers().violations().empty());
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
