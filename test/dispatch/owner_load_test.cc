#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using jobs::JobState;

/// The value of a counter or count in the world's metrics, 0 when it is absent.
double MetricOf(OwnerWorld& world, const std::string& name) {
  const auto text = world.metrics().Render();
  const auto at = text.find('\n' + name + ' ');
  if (at == std::string::npos) return 0;
  return std::stod(text.substr(at + name.size() + 2));
}

TEST_CASE("rounds of decisions keep a distance however much news comes") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  const auto* rounds = "lapishatch_decision_seconds_count{service=\"survey\"}";
  const auto before = MetricOf(world, rounds);
  constexpr int kJobs = 200;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 1, 1));
    world.RunFor(1);
  }
  // Every 10 ms at most.
  CHECK(MetricOf(world, rounds) - before <= 21);
}

TEST_CASE("ends of a wide job are recorded together") {
  OwnerWorld world(1, 8);
  world.workers().run_time = [](const jobs::TaskName& task) {
    constexpr int kApart = 20;
    return base::Duration(1'000 + kApart * task.index);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("wide", 60, 1));
  world.RunFor(900);
  const int before = world.store().transactions();
  world.RunFor(1'300);
  // 55 ends come 20 ms apart; each is recorded within 100 ms. Beside that the
  // lease is renewed twice a second and the queue counted.
  CHECK(world.store().transactions() - before <= 25);
  world.RunFor(1'500);
  CHECK(world.StateOf("wide") == JobState::kCompleted);
}

TEST_CASE("an owner with more to do than it manages recovers by itself") {
  constexpr int kWorkers = 48;
  OwnerWorld world(1, kWorkers);
  world.RunFor(1'000);
  // The link carries 200 orders a second, a third of which are renewals; the
  // first starts alone would take it two seconds.
  world.SetLinkTime("vm0", base::Duration(5));
  constexpr int kJobs = 60;
  constexpr int kTasks = 40;
  for (int i = 0; i < kJobs; ++i) {
    auto job = OwnerWorld::MakeJob("job" + std::to_string(i), kTasks, 1);
    job.max_attempts = 2;
    world.Submit(job);
    world.RunFor(100);
  }
  world.RunFor(90'000);
  for (int i = 0; i < kJobs; ++i) {
    CHECK(world.StateOf("job" + std::to_string(i)) == JobState::kCompleted);
  }
  CHECK(MetricOf(world, "lapishatch_task_ends_total{how=\"lapsed\"}") == 0);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a slow store accepts 30 jobs a second and keeps its owner") {
  OwnerWorld world(2, 4);
  world.RunFor(1'000);
  const auto owner = world.OwnerName();
  world.store().has_part_queues = true;
  world.store().commit_time = base::Duration(700);
  constexpr int kJobs = 120;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 1, 1));
    world.RunFor(1'000 / 30);
  }
  world.RunFor(2'000);
  // All but a few that three of a second share a part with.
  CHECK(world.accepted_count() >= kJobs * 95 / 100);
  CHECK(world.OwnerName() == owner);
}

}  // namespace
}  // namespace lapishatch::dispatch
