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

}  // namespace
}  // namespace lapishatch::dispatch
