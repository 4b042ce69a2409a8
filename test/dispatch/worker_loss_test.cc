#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

jobs::TaskName TaskOf(const std::string& job, int index) {
  return {base::JobName(job), 0, 0, index};
}

TEST_CASE("a task lost with its worker is counted in the metric by reason") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 8));
  world.RunFor(200);
  world.workers().Crash(world.workers().FindWorkerRunning(TaskOf("plan", 0)));
  world.RunFor(9'000);
  const auto text = world.metrics().Render();
  CHECK(text.find("lapishatch_tasks_lost_total{reason=\"lapsed\"} 1") !=
        std::string::npos);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 2);
}

TEST_CASE("a worker that answers after its lease expired counts as survived") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 8));
  world.RunFor(200);
  const auto worker = world.workers().FindWorkerRunning(TaskOf("plan", 0));
  world.workers().Disconnect("", worker);
  world.RunFor(9'000);
  CHECK(world.metrics().Render().find("lapishatch_workers_survived_total") ==
        std::string::npos);
  world.workers().Reconnect("", worker);
  world.RunFor(1'000);
  CHECK(world.metrics().Render().find(
            "lapishatch_workers_survived_total{service=\"survey\"} 1") !=
        std::string::npos);
}

TEST_CASE("a failed job is counted by the limit that was reached") {
  OwnerWorld world(1, 2);
  world.workers().outcome = [](const jobs::TaskName&, int) {
    return TaskOutcome::kFailed;
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 8));
  world.RunFor(20'000);
  CHECK(world.metrics().Render().find(
            "lapishatch_jobs_failed_total{reason=\"attempts\"} 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace lapishatch::dispatch
