#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using jobs::JobState;

/// From the operators' request until nothing starts there any more. Each rack
/// of four workers is a domain in this world.
constexpr int kInForceMs = 2'000;

jobs::TaskName TaskOf(const std::string& job, int index) {
  return {base::JobName(job), 0, 0, index};
}

/// Tasks that run on the workers of rack `domain`.
int RunningIn(OwnerWorld& world, const std::string& job, int tasks,
              int domain) {
  constexpr int kPerRack = 4;
  int out = 0;
  for (int i = 0; i < tasks; ++i) {
    const auto where = world.workers().WhereRuns(TaskOf(job, i));
    for (int k = 0; k < kPerRack; ++k) {
      if (where == OwnerWorld::WorkerCalled(domain * kPerRack + k)) ++out;
    }
  }
  return out;
}

void SetRunTime(OwnerWorld& world, int ms) {
  world.workers().run_time = [ms](const jobs::TaskName&) {
    return base::Duration(ms);
  };
}

TEST_CASE("nothing starts in an evacuated domain until it is taken back") {
  OwnerWorld world(2, 8);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kInForceMs);
  // More than the other domain holds.
  world.Submit(OwnerWorld::MakeJob("plan", 6, 8));
  world.RunFor(1'000);
  CHECK(RunningIn(world, "plan", 6, 0) == 0);
  CHECK(RunningIn(world, "plan", 6, 1) == 4);
  world.TakeBack(0);
  world.RunFor(500);
  CHECK(RunningIn(world, "plan", 6, 0) == 2);
  world.RunFor(5'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("what runs in a domain when it is evacuated runs to its end") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  SetRunTime(world, 6'000);
  world.Submit(OwnerWorld::MakeJob("long", 8, 8));
  world.RunFor(500);
  world.Evacuate(0);
  world.RunFor(6'500);
  CHECK(world.StateOf("long") == JobState::kCompleted);
  for (int i = 0; i < 8; ++i) {
    CHECK(world.workers().starts(TaskOf("long", i)) == 1);
  }
}

TEST_CASE("a failed task of an evacuated domain starts elsewhere") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  SetRunTime(world, 3'000);
  world.workers().outcome = [](const jobs::TaskName&, int run) {
    return run == 1 ? TaskOutcome::kFailed : TaskOutcome::kDone;
  };
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(500);
  const int there = RunningIn(world, "plan", 4, 0) > 0 ? 0 : 1;
  world.Evacuate(there);
  world.RunFor(3'500);
  CHECK(RunningIn(world, "plan", 4, there) == 0);
  CHECK(RunningIn(world, "plan", 4, 1 - there) == 4);
}

TEST_CASE("a start that is recorded and not sent is taken back") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  // The record of the start takes longer than the evacuation needs to be told.
  world.store().commit_time = base::Duration(600);
  world.Evacuate(1);
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(900);
  world.TakeBack(1);
  world.Evacuate(0);
  world.RunFor(3'000);
  CHECK(world.workers().starts(TaskOf("plan", 0)) >= 1);
  CHECK(RunningIn(world, "plan", 4, 0) == 0);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a gang that is planned half inside starts whole outside") {
  OwnerWorld world(1, 12);
  world.RunFor(1'000);
  world.store().commit_time = base::Duration(600);
  auto gang = OwnerWorld::MakeJob("gang", 8, 8);
  gang.steps[0].is_gang = true;
  world.Submit(gang);
  world.RunFor(700);
  world.Evacuate(0);
  world.RunFor(3'000);
  CHECK(RunningIn(world, "gang", 8, 0) == 0);
  CHECK(RunningIn(world, "gang", 8, 1) + RunningIn(world, "gang", 8, 2) == 8);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("all domains but one may be evacuated, and all") {
  OwnerWorld world(1, 12);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.Evacuate(1);
  world.RunFor(kInForceMs);
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(500);
  CHECK(RunningIn(world, "plan", 4, 2) == 4);
  world.RunFor(3'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  world.Evacuate(2);
  world.RunFor(kInForceMs);
  world.Submit(OwnerWorld::MakeJob("held", 1, 1));
  world.RunFor(8'000);
  CHECK(world.StateOf("held") == JobState::kQueued);
  world.TakeBack(1);
  world.RunFor(500);
  CHECK(RunningIn(world, "held", 1, 1) == 1);
}

TEST_CASE("guaranteed work stops what runs outside an evacuated domain") {
  OwnerWorld world(1, 8);
  world.SetGuarantee("crews", 16);
  world.RunFor(1'000);
  SetRunTime(world, 20'000);
  auto quiet = OwnerWorld::MakeJob("quiet", 8, 8);
  quiet.organisation = base::OrganisationName("others");
  world.Submit(quiet);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kInForceMs);
  auto urgent = OwnerWorld::MakeJob("urgent", 2, 8);
  urgent.priority = 0;
  world.Submit(urgent);
  world.RunFor(2'900);
  CHECK(RunningIn(world, "urgent", 2, 1) == 2);
  // What runs in the evacuated domain is left alone.
  CHECK(RunningIn(world, "quiet", 8, 0) == 4);
}

TEST_CASE(
    "a new owner keeps to the evacuations, at whatever moment it begins") {
  for (const int moment : {0, 100, 300, 500, 900, 1'500, 2'500}) {
    OwnerWorld world(3, 8);
    world.RunFor(1'000);
    SetRunTime(world, 1'500);
    world.Submit(OwnerWorld::MakeJob("plan", 60, 8));
    world.RunFor(500);
    world.Evacuate(0);
    world.RunFor(moment);
    world.KillOwner(world.OwnerName());
    world.RunFor(kInForceMs);
    for (int ms = 0; ms < 8'000; ms += 100) {
      world.RunFor(100);
      // What began before the evacuation has ended.
      CHECK((ms < 1'500 || RunningIn(world, "plan", 60, 0) == 0));
    }
    CHECK(RunningIn(world, "plan", 60, 1) > 0);
    CHECK(world.workers().violations().empty());
  }
}

TEST_CASE("an owner that was not told of evacuations starts nothing") {
  OwnerWorld world(2, 8);
  world.RunFor(1'000);
  const auto former = world.OwnerName();
  const std::string next = former == "vm0" ? "vm1" : "vm0";
  // Its feed lags behind the moment at which it takes the service.
  world.FreezeEvacuations(next);
  world.Evacuate(0);
  world.RunFor(200);
  world.KillOwner(former);
  world.Submit(OwnerWorld::MakeJob("plan", 2, 8));
  world.RunFor(4'000);
  CHECK(world.OwnerName() == next);
  CHECK(world.workers().running() == 0);
  world.ThawEvacuations(next);
  world.RunFor(500);
  CHECK(RunningIn(world, "plan", 2, 1) == 2);
}

TEST_CASE("an owner that has not heard of evacuations lately starts nothing") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  world.FreezeEvacuations("vm0");
  world.RunFor(3'000);
  world.Evacuate(0);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 8));
  world.RunFor(1'000);
  CHECK(world.workers().running() == 0);
  world.ThawEvacuations("vm0");
  world.RunFor(500);
  CHECK(RunningIn(world, "plan", 8, 1) == 4);
  CHECK(RunningIn(world, "plan", 8, 0) == 0);
}

TEST_CASE("a domain is evacuated while another one is taken back") {
  OwnerWorld world(2, 12);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kInForceMs);
  world.TakeBack(0);
  world.Evacuate(1);
  world.RunFor(kInForceMs);
  world.Submit(OwnerWorld::MakeJob("plan", 10, 8));
  world.RunFor(500);
  CHECK(RunningIn(world, "plan", 10, 0) == 4);
  CHECK(RunningIn(world, "plan", 10, 1) == 0);
  CHECK(RunningIn(world, "plan", 10, 2) == 4);
}

}  // namespace
}  // namespace lapishatch::dispatch
