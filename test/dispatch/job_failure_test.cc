#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;

const jobs::TaskName kTask{base::JobName("plan"), 0, 0, 0};

/// A service with one long job, whose only task no worker survives or loses by
/// its own doing.
struct LongJobWorld : OwnerWorld {
  explicit LongJobWorld(int owners = 1, int workers = 12)
      : OwnerWorld(owners, workers) {
    this->workers().run_time = [](const jobs::TaskName& task) {
      return task.job == kTask.job ? Duration(20'000) : Duration(2'000);
    };
    RunFor(1'000);
    Submit(MakeJob("plan", 1, 8));
    RunFor(500);
  }

  base::WorkerName WaitForWorker() {
    for (int i = 0; i < 3'000; ++i) {
      const auto out = workers().FindWorkerRunning(kTask);
      if (!out.str().empty()) return out;
      RunFor(10);
    }
    FAIL("the task does not run; state of the job: "
         << base::NameOf(StateOf("plan").value_or(JobState::kQueued)));
    return {};
  }

  /// Cuts the worker that runs the task off from all owners until its lease has
  /// expired, `times` times in a row.
  void CutOffWorkers(int times) {
    for (int i = 0; i < times; ++i) {
      const auto worker = WaitForWorker();
      workers().Disconnect("", worker);
      RunFor(8'000);
      workers().Reconnect("", worker);
      RunFor(600);
    }
  }

  void CheckCompletes() {
    RunFor(60'000);
    CHECK(base::NameOf(StateOf("plan").value_or(JobState::kQueued)) ==
          "completed");
    CHECK(workers().violations().empty());
  }
};

TEST_CASE("a job does not fail when leases expire on workers that live") {
  LongJobWorld world;
  world.CutOffWorkers(6);
  world.CheckCompletes();
}

}  // namespace
}  // namespace lapishatch::dispatch
