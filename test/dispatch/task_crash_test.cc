#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;

/// A world in which the tasks of jobs whose names begin with "crash" crash
/// their workers; other tasks take 3 s.
struct CrashWorld : OwnerWorld {
  explicit CrashWorld(int owners = 1, int workers = 12,
                      Duration down = Duration(1'500), bool moves = false)
      : OwnerWorld(owners, workers) {
    RestartCrashed(down, moves);
    this->workers().crash_after = [this](const jobs::TaskName& task) {
      return Crashes(task) ? std::optional(delay) : std::nullopt;
    };
    this->workers().run_time = [](const jobs::TaskName& task) {
      return IsCrashJob(task.job) ? Duration(8'000) : Duration(3'000);
    };
    RunFor(1'000);
  }

  static bool IsCrashJob(const base::JobName& job) {
    return job.str().starts_with("crash");
  }

  bool Crashes(const jobs::TaskName& task) const {
    if (!IsCrashJob(task.job)) return false;
    return (step < 0 || task.step == step) &&
           (index < 0 || task.index == index) &&
           (occurrence < 0 || task.occurrence == occurrence);
  }

  jobs::TaskName Crasher(const std::string& job) const {
    return {base::JobName(job), std::max(occurrence, 0), std::max(step, 0),
            std::max(index, 0)};
  }

  void CheckGivenUp(const std::string& job) {
    CHECK(StateOf(job) == JobState::kFailed);
    const int crashes = workers().crashes(Crasher(job));
    CHECK(crashes >= 2);
    CHECK(crashes <= 4);
    CHECK(workers().violations().empty());
  }

  /// From the start of a task to the crash of its worker.
  Duration delay{2'000};
  /// Only tasks of this step, index or occurrence crash; below 0 for any.
  int step = -1;
  int index = -1;
  int occurrence = -1;
};

TEST_CASE("a task that crashes its workers is not restarted without end") {
  CrashWorld world;
  world.Submit(OwnerWorld::MakeJob("crash", 1, 8));
  world.RunFor(30'000);
  world.CheckGivenUp("crash");
}

}  // namespace
}  // namespace lapishatch::dispatch
