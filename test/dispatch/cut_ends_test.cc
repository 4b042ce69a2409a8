#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using fakes::StoreFault;
using EndsFault = fakes::FakeTaskWorkers::EndsFault;

const base::WorkerName kWorker("w0");

/// Workers on which many small tasks end at about the same time.
struct ManyEndsWorld : OwnerWorld {
  static constexpr int kTasksPerJob = 90;
  static constexpr int kRunTimeMs = 4'000;

  ManyEndsWorld(int owners, int workers) : OwnerWorld(owners, workers) {
    this->workers().run_time = [](const jobs::TaskName& task) {
      return Duration(kRunTimeMs + task.index);
    };
    RunFor(1'500);
  }

  ~ManyEndsWorld() {
    for (const auto& it : workers().violations()) FAIL_CHECK(it);
  }

  void SubmitTasks(int n) {
    for (int i = 0; n > 0; ++i, n -= kTasksPerJob) {
      auto job =
          MakeJob("job" + std::to_string(i), std::min(n, kTasksPerJob), 0);
      job.steps[0].needs = {10, 10, 0};
      job.steps[0].run_time_estimate = Duration(kRunTimeMs);
      Submit(job);
    }
  }

  int CountStarts() {
    int out = 0;
    for (const auto& [name, job] : jobs()) {
      for (int i = 0; i < job.steps[0].tasks; ++i) {
        out += workers().starts({name, 0, 0, i});
      }
    }
    return out;
  }

  int CountCompleted() {
    int out = 0;
    for (const auto& [name, job] : jobs()) {
      if (StateOf(name.str()) == jobs::JobState::kCompleted) ++out;
    }
    return out;
  }
};

/// Guards against tasks that are started again after they have ended, since
/// their ends are not in the first list that a new owner reads.
TEST_CASE("tasks whose ends are not listed yet are not started again") {
  const int tasks = GENERATE(499, 500, 501, 1'000, 1'620);
  ManyEndsWorld world(2, 1);
  world.SubmitTasks(tasks);
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  REQUIRE(world.workers().running() == static_cast<std::size_t>(tasks));
  world.KillOwner(world.OwnerName());
  world.RunFor(20'000);
  CHECK(world.CountStarts() == tasks);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
  CHECK(world.workers().unacknowledged() == 0);
}

/// Guards against the same during an outage in which no end can be recorded.
TEST_CASE("tasks that end during an outage of the store run once") {
  const auto fault = GENERATE(StoreFault::kBusy, StoreFault::kSilent,
                              StoreFault::kAnswersLost, StoreFault::kLate);
  const int outage_ms = GENERATE(3'000, 5'000);
  const int tasks = 1'200;
  ManyEndsWorld world(2, 1);
  world.SubmitTasks(tasks);
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  REQUIRE(world.workers().running() == static_cast<std::size_t>(tasks));
  world.store().SetFaultForAll(fault);
  world.RunFor(outage_ms);
  world.store().SetFaultForAll(StoreFault::kNone);
  world.RunFor(25'000);
  CHECK(world.CountStarts() == tasks);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
}

/// Guards against the same after an owner lost its connection to the worker,
/// shorter than the lease.
TEST_CASE("tasks that end behind a severed connection run once") {
  const int cut_ms = GENERATE(1'000, 2'500, 4'000);
  const int tasks = 1'200;
  ManyEndsWorld world(1, 1);
  world.SubmitTasks(tasks);
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  const auto owner = world.OwnerName();
  world.workers().Disconnect(owner, kWorker);
  world.RunFor(cut_ms);
  world.workers().Reconnect(owner, kWorker);
  world.RunFor(20'000);
  CHECK(world.CountStarts() == tasks);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
}

/// Guards against a wanted end in a late list behind ends of many kinds, while
/// new ends keep coming.
TEST_CASE("ends of all kinds in several lists are each applied once") {
  const int tasks = 1'400;
  ManyEndsWorld world(2, 1);
  world.workers().run_time = [](const jobs::TaskName& task) {
    constexpr int kSpreadMs = 60;
    return Duration(ManyEndsWorld::kRunTimeMs + kSpreadMs * task.index);
  };
  world.workers().outcome = [](const jobs::TaskName& task, int run) {
    constexpr int kEveryThird = 3;
    const bool fails = run == 1 && task.index % kEveryThird == 0;
    return fails ? TaskOutcome::kFailed : TaskOutcome::kDone;
  };
  world.workers().max_listed_ends = GENERATE(7, 40, 500);
  world.SubmitTasks(tasks);
  world.RunFor(ManyEndsWorld::kRunTimeMs + 1'000);
  world.Cancel("job3");
  world.KillOwner(world.OwnerName());
  world.RunFor(60'000);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()) - 1);
}

/// Guards against a gang that is started again because the end that completed
/// it is listed late.
TEST_CASE("gangs whose members end in different lists run once") {
  ManyEndsWorld world(2, 4);
  world.workers().max_listed_ends = 5;
  constexpr int kGangs = 12;
  for (int i = 0; i < kGangs; ++i) {
    auto job = OwnerWorld::MakeJob("gang" + std::to_string(i), 8, 0);
    job.steps[0].needs = {10, 10, 0};
    job.steps[0].is_gang = true;
    world.Submit(job);
  }
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  world.KillOwner(world.OwnerName());
  world.RunFor(20'000);
  CHECK(world.CountCompleted() == kGangs);
}

/// Guards against starts on resources that are not known to be free.
TEST_CASE("tasks with unlisted ends keep their resources") {
  ManyEndsWorld world(2, 1);
  world.workers().max_listed_ends = 10;
  constexpr int kTasks = 60;
  constexpr int kCoresEach = 1'000;
  for (int i = 0; i < 4; ++i) {
    auto job = OwnerWorld::MakeJob("job" + std::to_string(i), kTasks / 2, 0);
    job.steps[0].needs = {kCoresEach, 10, 0};
    world.Submit(job);
  }
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  world.KillOwner(world.OwnerName());
  world.RunFor(30'000);
  CHECK(world.CountCompleted() == 4);
}

/// Guards against tasks that never start again because their worker lists the
/// same ends for ever, and against a second run of those that have ended.
TEST_CASE("a worker that repeats its list of ends is given up") {
  const auto fault = GENERATE(EndsFault::kRepeated, EndsFault::kReversed);
  ManyEndsWorld world(2, 2);
  world.workers().max_listed_ends = 20;
  world.SubmitTasks(100);
  world.RunFor(1'000);
  world.workers().SetEndsFault(kWorker, fault);
  world.workers().SetEndsFault(base::WorkerName("w1"), EndsFault::kNone);
  world.RunFor(ManyEndsWorld::kRunTimeMs);
  world.RunFor(40'000);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
}

/// Guards against a worker that stays excluded after it lists its ends again.
TEST_CASE("a worker whose lists advance again is used again") {
  const auto fault = GENERATE(EndsFault::kRepeated, EndsFault::kReversed);
  ManyEndsWorld world(1, 1);
  world.workers().max_listed_ends = 20;
  world.workers().SetEndsFault(kWorker, fault);
  world.SubmitTasks(100);
  world.RunFor(20'000);
  CHECK(world.CountCompleted() < static_cast<int>(world.jobs().size()));
  world.workers().SetEndsFault(kWorker, EndsFault::kNone);
  world.RunFor(20'000);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
}

/// Guards against tasks that are held for ever although their worker has
/// listed all ends and does not run them.
TEST_CASE("a task that is in no list is started again once all are read") {
  ManyEndsWorld world(2, 1);
  world.workers().max_listed_ends = 20;
  world.SubmitTasks(90);
  world.RunFor(500);
  // The recorded start never reaches the worker.
  world.workers().DelayNextStart(kWorker, Duration(600'000));
  auto job = OwnerWorld::MakeJob("unsent", 1, 0);
  job.steps[0].needs = {10, 10, 0};
  world.Submit(job);
  world.RunFor(200);
  world.KillOwner(world.OwnerName());
  world.RunFor(25'000);
  CHECK(world.StateOf("unsent") == jobs::JobState::kCompleted);
}

/// Guards against losses that are counted as crashes under tasks which had
/// ended before their worker crashed.
TEST_CASE("a crash does not count against tasks with unlisted ends") {
  ManyEndsWorld world(1, 4);
  world.workers().closes_connections = GENERATE(true, false);
  world.workers().max_listed_ends = 10;
  world.RestartCrashed(Duration(500));
  world.SubmitTasks(60);
  world.RunFor(ManyEndsWorld::kRunTimeMs - 300);
  world.store().SetFaultForAll(StoreFault::kBusy);
  world.RunFor(800);
  for (int i = 0; i < 4; ++i) {
    world.workers().Crash(OwnerWorld::WorkerNameAt(i));
  }
  world.store().SetFaultForAll(StoreFault::kNone);
  world.RunFor(30'000);
  CHECK(world.CountCompleted() == static_cast<int>(world.jobs().size()));
}

}  // namespace
}  // namespace lapishatch::dispatch
