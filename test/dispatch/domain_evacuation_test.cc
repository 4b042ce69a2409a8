#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using jobs::JobState;

/// Time after the operators' request from which no task may start in the
/// domain.
constexpr int kEvacuationDelayMs = 2'000;

jobs::TaskName TaskOf(const std::string& job, int index) {
  return {base::JobName(job), 0, 0, index};
}

/// Number of the first `tasks` tasks of `job` that run on workers of `domain`.
/// Each rack of four workers is a failure domain here.
int CountRunningIn(OwnerWorld& world, const std::string& job, int tasks,
                   int domain) {
  constexpr int kRackSize = 4;
  int out = 0;
  for (int i = 0; i < tasks; ++i) {
    const auto worker = world.workers().FindWorkerRunning(TaskOf(job, i));
    for (int k = 0; k < kRackSize; ++k) {
      if (worker == OwnerWorld::WorkerNameAt(domain * kRackSize + k)) ++out;
    }
  }
  return out;
}

void SetRunTime(OwnerWorld& world, int ms) {
  world.workers().run_time = [ms](const jobs::TaskName&) {
    return base::Duration(ms);
  };
}

TEST_CASE(
    "no task starts in an evacuated domain until the evacuation is cancelled") {
  OwnerWorld world(2, 8);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kEvacuationDelayMs);
  // Six tasks, of which the other domain can run only four.
  world.Submit(OwnerWorld::MakeJob("plan", 6, 8));
  world.RunFor(1'000);
  CHECK(CountRunningIn(world, "plan", 6, 0) == 0);
  CHECK(CountRunningIn(world, "plan", 6, 1) == 4);
  world.CancelEvacuation(0);
  world.RunFor(500);
  CHECK(CountRunningIn(world, "plan", 6, 0) == 2);
  world.RunFor(5'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("tasks that run in a domain when it is evacuated run to completion") {
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

TEST_CASE("a failed task of an evacuated domain restarts in another domain") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  SetRunTime(world, 3'000);
  world.workers().outcome = [](const jobs::TaskName&, int run) {
    return run == 1 ? TaskOutcome::kFailed : TaskOutcome::kDone;
  };
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(500);
  const int evacuated_domain = CountRunningIn(world, "plan", 4, 0) > 0 ? 0 : 1;
  world.Evacuate(evacuated_domain);
  world.RunFor(3'500);
  CHECK(CountRunningIn(world, "plan", 4, evacuated_domain) == 0);
  CHECK(CountRunningIn(world, "plan", 4, 1 - evacuated_domain) == 4);
}

TEST_CASE("a start that is recorded but not sent is withdrawn on evacuation") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  // Recording the start takes longer than the evacuation needs to reach the
  // owner.
  world.store().commit_time = base::Duration(600);
  world.Evacuate(1);
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(900);
  world.CancelEvacuation(1);
  world.Evacuate(0);
  world.RunFor(3'000);
  CHECK(world.workers().starts(TaskOf("plan", 0)) >= 1);
  CHECK(CountRunningIn(world, "plan", 4, 0) == 0);
  CHECK(world.workers().violations().empty());
}

TEST_CASE(
    "a gang planned partly in an evacuated domain starts wholly outside it") {
  OwnerWorld world(1, 12);
  world.RunFor(1'000);
  world.store().commit_time = base::Duration(600);
  auto gang = OwnerWorld::MakeJob("gang", 8, 8);
  gang.steps[0].is_gang = true;
  world.Submit(gang);
  world.RunFor(700);
  world.Evacuate(0);
  world.RunFor(3'000);
  CHECK(CountRunningIn(world, "gang", 8, 0) == 0);
  CHECK(CountRunningIn(world, "gang", 8, 1) +
            CountRunningIn(world, "gang", 8, 2) ==
        8);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("tasks run in the only domain that is not evacuated, or else wait") {
  OwnerWorld world(1, 12);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.Evacuate(1);
  world.RunFor(kEvacuationDelayMs);
  world.Submit(OwnerWorld::MakeJob("plan", 4, 8));
  world.RunFor(500);
  CHECK(CountRunningIn(world, "plan", 4, 2) == 4);
  world.RunFor(3'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  world.Evacuate(2);
  world.RunFor(kEvacuationDelayMs);
  world.Submit(OwnerWorld::MakeJob("held", 1, 1));
  world.RunFor(8'000);
  CHECK(world.StateOf("held") == JobState::kQueued);
  world.CancelEvacuation(1);
  world.RunFor(500);
  CHECK(CountRunningIn(world, "held", 1, 1) == 1);
}

TEST_CASE("guaranteed work preempts tasks only outside an evacuated domain") {
  OwnerWorld world(1, 8);
  world.SetGuarantee("crews", 16);
  world.RunFor(1'000);
  SetRunTime(world, 20'000);
  auto quiet = OwnerWorld::MakeJob("quiet", 8, 8);
  quiet.organisation = base::OrganisationName("others");
  world.Submit(quiet);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kEvacuationDelayMs);
  auto urgent = OwnerWorld::MakeJob("urgent", 2, 8);
  urgent.priority = 0;
  world.Submit(urgent);
  world.RunFor(2'900);
  CHECK(CountRunningIn(world, "urgent", 2, 1) == 2);
  // Tasks in the evacuated domain are not preempted.
  CHECK(CountRunningIn(world, "quiet", 8, 0) == 4);
}

TEST_CASE("a new owner respects an evacuation whenever it takes over") {
  for (const int takeover_delay_ms : {0, 100, 300, 500, 900, 1'500, 2'500}) {
    OwnerWorld world(3, 8);
    world.RunFor(1'000);
    SetRunTime(world, 1'500);
    world.Submit(OwnerWorld::MakeJob("plan", 60, 8));
    world.RunFor(500);
    world.Evacuate(0);
    world.RunFor(takeover_delay_ms);
    world.KillOwner(world.OwnerName());
    world.RunFor(kEvacuationDelayMs);
    for (int ms = 0; ms < 8'000; ms += 100) {
      world.RunFor(100);
      // After 1.5 s, tasks that started before the evacuation have ended.
      CHECK((ms < 1'500 || CountRunningIn(world, "plan", 60, 0) == 0));
    }
    CHECK(CountRunningIn(world, "plan", 60, 1) > 0);
    CHECK(world.workers().violations().empty());
  }
}

TEST_CASE(
    "an owner whose evacuations are older than its epoch starts nothing") {
  OwnerWorld world(2, 8);
  world.RunFor(1'000);
  const auto former = world.OwnerName();
  const std::string successor = former == "vm0" ? "vm1" : "vm0";
  // The successor's feed lags behind the version at which it acquires the
  // service.
  world.PauseEvacuations(successor);
  world.Evacuate(0);
  world.RunFor(200);
  world.KillOwner(former);
  world.Submit(OwnerWorld::MakeJob("plan", 2, 8));
  world.RunFor(4'000);
  CHECK(world.OwnerName() == successor);
  CHECK(world.workers().running() == 0);
  world.ResumeEvacuations(successor);
  world.RunFor(500);
  CHECK(CountRunningIn(world, "plan", 2, 1) == 2);
}

TEST_CASE(
    "an owner without a recent confirmation of evacuations starts nothing") {
  OwnerWorld world(1, 8);
  world.RunFor(1'000);
  world.PauseEvacuations("vm0");
  world.RunFor(3'000);
  world.Evacuate(0);
  world.Submit(OwnerWorld::MakeJob("plan", 8, 8));
  world.RunFor(1'000);
  CHECK(world.workers().running() == 0);
  world.ResumeEvacuations("vm0");
  world.RunFor(500);
  CHECK(CountRunningIn(world, "plan", 8, 1) == 4);
  CHECK(CountRunningIn(world, "plan", 8, 0) == 0);
}

TEST_CASE(
    "a domain is evacuated while the evacuation of another is cancelled") {
  OwnerWorld world(2, 12);
  world.RunFor(1'000);
  world.Evacuate(0);
  world.RunFor(kEvacuationDelayMs);
  world.CancelEvacuation(0);
  world.Evacuate(1);
  world.RunFor(kEvacuationDelayMs);
  world.Submit(OwnerWorld::MakeJob("plan", 10, 8));
  world.RunFor(500);
  CHECK(CountRunningIn(world, "plan", 10, 0) == 4);
  CHECK(CountRunningIn(world, "plan", 10, 1) == 0);
  CHECK(CountRunningIn(world, "plan", 10, 2) == 4);
}

}  // namespace
}  // namespace lapishatch::dispatch
