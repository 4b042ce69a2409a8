#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using fakes::SeveredWrites;

/// What else happens after the connections became silent.
enum class Trouble { kNone, kSilentAgain, kOwnerKilled, kWorkerLeaves };

/// Three processes, six workers and jobs that start and end all the time.
struct SeveredWorld : OwnerWorld {
  SeveredWorld() : OwnerWorld(3, 6) {
    workers().run_time = [](const jobs::TaskName& task) {
      return Duration(400 + 170 * (task.index % 7));
    };
    RunFor(1'000);
    for (int i = 0; i < kJobs; ++i) {
      time().After(Duration(100 * i), [this, i] {
        auto job = MakeJob("plan" + std::to_string(i), 3, 1);
        job.steps[0].is_gang = i % 4 == 0;
        Submit(job);
      });
    }
  }

  /// Makes the connections silent that carry the calls of all processes now.
  void SeverStore(SeveredWrites writes) {
    for (const auto* vm : {"vm0", "vm1", "vm2"}) store().Sever(vm, writes);
  }
  void SeverWorkers() {
    for (const auto* vm : {"vm0", "vm1", "vm2"}) workers().Sever(vm);
  }

  void Begin(Trouble trouble, SeveredWrites writes) {
    switch (trouble) {
      case Trouble::kNone:
        return;
      case Trouble::kSilentAgain:
        SeverStore(writes);
        return SeverWorkers();
      case Trouble::kOwnerKilled:
        if (!OwnerName().empty()) KillOwner(OwnerName());
        return;
      case Trouble::kWorkerLeaves: {
        constexpr Duration kStays{3'000};
        const auto leaving = WorkerNameAt(0);
        Drain(leaving, kStays);
        time().After(kStays, [this, leaving] {
          workers().Leave(leaving);
          Deregister(leaving);
        });
        return;
      }
    }
  }

  void CheckJobsCompleted() {
    for (int i = 0; i < kJobs; ++i) {
      CHECK(StateOf("plan" + std::to_string(i)) == jobs::JobState::kCompleted);
    }
    CHECK(workers().violations().empty());
    CHECK(workers().unacknowledged() == 0);
  }

  static constexpr int kJobs = 20;
};

const auto kTroubles = {Trouble::kNone, Trouble::kSilentAgain,
                        Trouble::kOwnerKilled, Trouble::kWorkerLeaves};

TEST_CASE("silent connections to the store start no task twice") {
  const int moment = GENERATE(range(0, 2'000, 67));
  const auto writes = GENERATE(SeveredWrites::kApplied, SeveredWrites::kLost,
                               SeveredWrites::kLate);
  for (const auto trouble : kTroubles) {
    INFO("after " << moment << " ms, trouble " << static_cast<int>(trouble));
    SeveredWorld world;
    world.RunFor(moment);
    world.SeverStore(writes);
    world.RunFor(700);
    world.Begin(trouble, writes);
    world.RunFor(40'000);
    world.CheckJobsCompleted();
  }
}

TEST_CASE("silent connections to workers start no task twice") {
  const int moment = GENERATE(range(0, 2'000, 31));
  for (const auto trouble : kTroubles) {
    INFO("after " << moment << " ms, trouble " << static_cast<int>(trouble));
    SeveredWorld world;
    world.RunFor(moment);
    world.SeverWorkers();
    world.RunFor(700);
    world.Begin(trouble, SeveredWrites::kLate);
    world.RunFor(40'000);
    world.CheckJobsCompleted();
  }
}

TEST_CASE("silent connections to workers lose no task within its lease") {
  const int moment = GENERATE(range(0, 2'000, 97));
  SeveredWorld world;
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(9'000);
  };
  auto job = OwnerWorld::MakeJob("long", 6, 1);
  job.steps[0].run_time_estimate = Duration(9'000);
  world.Submit(job);
  world.RunFor(2'000 + moment);
  world.SeverWorkers();
  world.RunFor(12'000);
  CHECK(world.StateOf("long") == jobs::JobState::kCompleted);
  for (int i = 0; i < 6; ++i) {
    CHECK(world.workers().starts({base::JobName("long"), 0, 0, i}) == 1);
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
