#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using jobs::JobState;

/// Returns the value of a counter, or the count of a histogram, among the
/// metrics of `world`; 0 when it is absent.
double MetricValue(OwnerWorld& world, const std::string& name) {
  const auto text = world.metrics().Render();
  const auto at = text.find('\n' + name + ' ');
  if (at == std::string::npos) return 0;
  return std::stod(text.substr(at + name.size() + 2));
}

TEST_CASE("decision rounds keep their minimum interval under frequent events") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  const auto* rounds_metric =
      "lapishatch_decision_seconds_count{service=\"survey\"}";
  const auto before = MetricValue(world, rounds_metric);
  constexpr int kJobs = 200;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 1, 1));
    world.RunFor(1);
  }
  // Rounds are at least 10 ms apart, and the jobs arrive within 200 ms.
  CHECK(MetricValue(world, rounds_metric) - before <= 21);
}

TEST_CASE("task ends of a wide job are recorded in batches") {
  OwnerWorld world(1, 8);
  world.workers().run_time = [](const jobs::TaskName& task) {
    constexpr int kEndIntervalMs = 20;
    return base::Duration(1'000 + kEndIntervalMs * task.index);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("wide", 60, 1));
  world.RunFor(900);
  const int before = world.store().transactions();
  world.RunFor(1'300);
  // 55 tasks end 20 ms apart, and each end is recorded within 100 ms. The other
  // transactions renew the owner lease twice a second and count the queue.
  CHECK(world.store().transactions() - before <= 25);
  world.RunFor(1'500);
  CHECK(world.StateOf("wide") == JobState::kCompleted);
}

TEST_CASE("an overloaded owner recovers without intervention") {
  constexpr int kWorkers = 48;
  OwnerWorld world(1, kWorkers);
  world.RunFor(1'000);
  // The link carries 200 orders per second, a third of which are lease
  // renewals; sending the first starts alone would take two seconds.
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
  CHECK(MetricValue(world, "lapishatch_task_ends_total{how=\"lapsed\"}") == 0);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a slow store accepts 30 jobs per second without a change of owner") {
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
  // The store refuses a few submissions: those of a partition that receives
  // three jobs within one second.
  CHECK(world.accepted_count() >= kJobs * 95 / 100);
  CHECK(world.OwnerName() == owner);
}

}  // namespace
}  // namespace lapishatch::dispatch
