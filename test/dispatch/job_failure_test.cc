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
      auto out = workers().FindWorkerRunning(kTask);
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

  /// Preempts the task by an urgent job that needs all workers.
  void Preempt(const std::string& name) {
    auto urgent = MakeJob(name, 12, 8);
    urgent.priority = 0;
    urgent.slack_factor = 3;
    Submit(urgent);
    RunFor(4'000);
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

TEST_CASE("a job does not fail when it is preempted after leases expired") {
  LongJobWorld world;
  world.SetGuarantee("crews", 96);
  world.CutOffWorkers(3);
  for (int i = 0; i < 4; ++i) {
    world.WaitForWorker();
    world.Preempt("urgent" + std::to_string(i));
  }
  world.CheckCompletes();
}

TEST_CASE("a job does not fail when leases expire under several owners") {
  LongJobWorld world(3);
  for (int i = 0; i < 6; ++i) {
    world.CutOffWorkers(1);
    const auto owner = world.OwnerName();
    REQUIRE(!owner.empty());
    world.KillOwner(owner);
    world.RunFor(4'000);
    world.StartOwner(owner);
  }
  world.CheckCompletes();
}

TEST_CASE("a job does not fail when its workers stay cut off for long") {
  LongJobWorld world;
  for (int i = 0; i < 5; ++i) {
    world.workers().Disconnect("", world.WaitForWorker());
    world.RunFor(8'000);
  }
  for (int i = 0; i < 12; ++i) {
    world.workers().Reconnect("", OwnerWorld::WorkerNameAt(i));
  }
  world.CheckCompletes();
}

TEST_CASE("a task waits while four workers may have crashed under it") {
  LongJobWorld world;
  std::vector<WorkerRegistration> lost;
  for (int i = 0; i < 4; ++i) {
    const auto worker = world.WaitForWorker();
    lost.push_back(world.RegistrationOf(worker));
    world.workers().Disconnect("", worker);
    world.Deregister(worker);
    world.RunFor(8'000);
  }
  CHECK(world.workers().starts(kTask) == 4);
  for (const auto& it : lost) {
    world.workers().Reconnect("", it.name);
    world.Reregister(it);
  }
  world.RunFor(1'000);
  CHECK(world.workers().starts(kTask) == 5);
  world.CheckCompletes();
}

TEST_CASE("the next owner learns that a silent worker has survived") {
  LongJobWorld world(2);
  std::vector<base::WorkerName> lost;
  for (int i = 0; i < 4; ++i) {
    lost.push_back(world.WaitForWorker());
    world.workers().Disconnect("", lost.back());
    world.RunFor(8'000);
  }
  world.KillOwner(world.OwnerName());
  for (const auto& it : lost) world.workers().Reconnect("", it);
  world.CheckCompletes();
}

TEST_CASE("a job does not fail when silent workers leave as announced") {
  LongJobWorld world;
  for (int i = 0; i < 6; ++i) {
    const auto worker = world.WaitForWorker();
    world.workers().Disconnect("", worker);
    world.RunFor(7'500);
    world.Drain(worker, Duration(1'000));
    world.RunFor(1'000);
    world.workers().Leave(worker);
    world.Deregister(worker);
  }
  world.CheckCompletes();
}

TEST_CASE("a job does not fail when its registrations expire during cuts") {
  LongJobWorld world;
  for (int i = 0; i < 6; ++i) {
    const auto worker = world.WaitForWorker();
    const auto registration = world.RegistrationOf(worker);
    world.workers().Disconnect("", worker);
    world.RunFor(4'500);
    world.Deregister(worker);
    world.RunFor(3'500);
    world.workers().Reconnect("", worker);
    world.Reregister(registration);
    world.RunFor(600);
  }
  world.CheckCompletes();
}

TEST_CASE("a job does not fail when starts of it are never answered") {
  LongJobWorld world(1, 4);
  for (int i = 0; i < 6; ++i) {
    const auto worker = world.WaitForWorker();
    for (int n = 0; n < 4; ++n) {
      world.workers().DelayNextStart(OwnerWorld::WorkerNameAt(n),
                                     Duration(20'000));
    }
    world.workers().Disconnect("", worker);
    world.RunFor(8'000);
    world.workers().Reconnect("", worker);
    world.RunFor(8'000);
  }
  world.CheckCompletes();
}

TEST_CASE("a gang does not fail when its members lose workers in turn") {
  OwnerWorld world(1, 12);
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(12'000);
  };
  world.RunFor(1'000);
  auto gang = OwnerWorld::MakeJob("gang", 4, 8);
  gang.steps[0].is_gang = true;
  world.Submit(gang);
  world.RunFor(500);
  for (int i = 0; i < 8; ++i) {
    const jobs::TaskName member{base::JobName("gang"), 0, 0, i % 4};
    for (int n = 0; n < 1'000 && !world.workers().IsRunning(member); ++n) {
      world.RunFor(10);
    }
    REQUIRE(world.workers().IsRunning(member));
    const auto worker = world.workers().FindWorkerRunning(member);
    world.workers().Disconnect("", worker);
    world.RunFor(8'000);
    world.workers().Reconnect("", worker);
    world.RunFor(600);
  }
  world.RunFor(60'000);
  CHECK(base::NameOf(world.StateOf("gang").value_or(JobState::kQueued)) ==
        "completed");
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a wide job does not fail when workers are cut off in turn") {
  OwnerWorld world(1, 16);
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(9'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("wide", 80, 1));
  for (int i = 0; i < 8; ++i) {
    world.RunFor(500);
    for (int n = 0; n < 12; ++n) {
      world.workers().Disconnect("",
                                 OwnerWorld::WorkerNameAt((4 * i + n) % 16));
    }
    world.RunFor(7'500);
    for (int n = 0; n < 16; ++n) {
      world.workers().Reconnect("", OwnerWorld::WorkerNameAt(n));
    }
  }
  world.RunFor(60'000);
  CHECK(base::NameOf(world.StateOf("wide").value_or(JobState::kQueued)) ==
        "completed");
  CHECK(world.workers().violations().empty());
}

}  // namespace
}  // namespace lapishatch::dispatch
