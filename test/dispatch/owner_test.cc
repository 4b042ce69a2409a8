#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;
using jobs::JobState;

jobs::TaskName TaskOf(const std::string& job, int index, int step = 0) {
  return {base::JobName(job), 0, step, index};
}

TEST_CASE("a job's tasks run and the job is shown as completed") {
  OwnerWorld world(2, 4);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 5, 2));
  world.RunFor(200);
  CHECK(world.workers().running() == 5);
  CHECK(world.StateOf("plan") == JobState::kRunning);
  world.RunFor(3'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().unacknowledged() == 0);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an owner counts how tasks and jobs end") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 3, 1));
  world.RunFor(4'000);
  const auto text = world.metrics().Render();
  CHECK(text.find("lapishatch_task_ends_total{how=\"done\"} 3") !=
        std::string::npos);
  CHECK(text.find("lapishatch_job_seconds_count{organisation=\"crews\","
                  "priority=\"1\",state=\"completed\"} 1") !=
        std::string::npos);
}

TEST_CASE("each end of a job is counted once, whoever owns the service then") {
  OwnerWorld world(2, 2);
  world.RunFor(1'000);
  constexpr int kJobs = 40;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 1, 1));
    world.RunFor(70);
  }
  world.RunFor(8'000);
  // The next owner reads the ended jobs from the store.
  world.KillOwner(world.OwnerName());
  world.RunFor(4'000);
  const auto text = world.metrics().Render();
  CHECK(text.find("lapishatch_job_seconds_count{organisation=\"crews\","
                  "priority=\"1\",state=\"completed\"} " +
                  std::to_string(kJobs) + '\n') != std::string::npos);
}

TEST_CASE("a step begins only after the steps that it waits for") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  auto job = OwnerWorld::MakeJob("map", 3, 1);
  job.steps.push_back(job.steps.front());
  job.steps.back().depends_on = {0};
  world.Submit(job);
  world.RunFor(1'500);
  CHECK(world.workers().starts(TaskOf("map", 0, 0)) == 1);
  CHECK(world.workers().starts(TaskOf("map", 0, 1)) == 0);
  world.RunFor(5'000);
  CHECK(world.StateOf("map") == JobState::kCompleted);
}

TEST_CASE("a task that fails as often as allowed fails its job") {
  OwnerWorld world(1, 2);
  world.workers().outcome = [](const jobs::TaskName&, int) {
    return TaskOutcome::kFailed;
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("poison", 1, 1));
  world.RunFor(12'000);
  CHECK(world.StateOf("poison") == JobState::kFailed);
  CHECK(world.workers().starts(TaskOf("poison", 0)) == 3);
}

TEST_CASE("a cancelled job's tasks are stopped and none starts") {
  OwnerWorld world(1, 1);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("map", 12, 1));
  world.RunFor(500);
  CHECK(world.workers().running() == 8);
  world.Cancel("map");
  world.RunFor(1'000);
  CHECK(world.workers().running() == 0);
  CHECK(world.StateOf("map") == JobState::kCancelled);
  world.RunFor(5'000);
  CHECK(world.workers().starts(TaskOf("map", 11)) == 0);
}

TEST_CASE("a gang starts whole or not at all") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  auto first = OwnerWorld::MakeJob("a", 12, 1);
  first.steps[0].is_gang = true;
  auto second = OwnerWorld::MakeJob("b", 8, 1);
  second.steps[0].is_gang = true;
  world.Submit(first);
  world.RunFor(100);
  world.Submit(second);
  world.RunFor(1'000);
  CHECK(world.workers().running() == 12);
  world.RunFor(5'000);
  CHECK(world.StateOf("b") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("after its owner was killed, work goes on within 2.5 seconds") {
  OwnerWorld world(3, 4);
  world.RunFor(1'000);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(8'000);
  };
  world.Submit(OwnerWorld::MakeJob("long", 4, 1));
  world.RunFor(2'000);
  world.KillOwner(world.OwnerName());
  world.Submit(OwnerWorld::MakeJob("new", 1, 1));
  world.RunFor(2'500);
  CHECK(world.workers().IsRunning(TaskOf("new", 0)));
  world.RunFor(8'000);
  CHECK(world.StateOf("long") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an owner that stops hands its service over at once") {
  OwnerWorld world(3, 2);
  world.RunFor(1'000);
  const auto former = world.OwnerName();
  world.owner(former).Stop([] {});
  world.RunFor(400);
  CHECK(world.OwnerName() != former);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("an owner that stops amid a renewal hands its service over") {
  // When the store is slow, a renewal is nearly always under way.
  constexpr base::Duration kSlow{700};
  for (const int moment : {0, 100, 200, 300, 400, 500, 600, 700, 800}) {
    OwnerWorld world(3, 2);
    world.RunFor(1'000);
    world.store().commit_time = kSlow;
    world.RunFor(1'000 + moment);
    const auto former = world.OwnerName();
    bool is_told = false;
    world.owner(former).Stop([&is_told] { is_told = true; });
    world.RunFor(900);
    CHECK(is_told);
    world.KillOwner(former);
    // The next one's own write takes as long.
    world.RunFor(900);
    CHECK_FALSE(world.OwnerName().empty());
  }
}

TEST_CASE("a candidate that stops amid its take hands the service over") {
  OwnerWorld world(2, 2);
  // The row is written, and its writer has not been answered yet.
  while (world.store().ValueOf("owners", "survey", "lease").empty()) {
    world.RunFor(1);
  }
  REQUIRE(world.OwnerName().empty());
  const auto holder = world.store().ValueOf("owners", "survey", "lease");
  const auto taker = holder.substr(0, holder.find('/'));
  bool is_told = false;
  world.owner(taker).Stop([&is_told] { is_told = true; });
  CHECK_FALSE(is_told);
  world.RunFor(400);
  CHECK(is_told);
  CHECK_FALSE(world.OwnerName().empty());
  CHECK(world.OwnerName() != taker);
}

TEST_CASE("an owner that stops goes on trying until the store has said so") {
  OwnerWorld world(2, 2);
  world.RunFor(1'000);
  const auto former = world.OwnerName();
  world.store().SetFaultForAll(StoreFault::kBusy);
  bool is_told = false;
  world.owner(former).Stop([&is_told] { is_told = true; });
  world.RunFor(700);
  CHECK_FALSE(is_told);
  world.store().SetFaultForAll(StoreFault::kNone);
  world.RunFor(600);
  CHECK(is_told);
  // A feed that was under way is given up after 1.7 s, then read again.
  world.RunFor(1'500);
  CHECK(world.OwnerName() != former);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("a store too slow to answer in time still gets an owner") {
  // Each transaction is done and its answer comes too late, as with answers
  // that take ninety times as long as usual.
  OwnerWorld world(0, 2);
  world.store().SetFaultForTransactions(StoreFault::kAnswersLost);
  for (const auto* name : {"vm0", "vm1", "vm2"}) world.StartOwner(name);
  world.RunFor(6'000);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("a strong VM owns the service before weak ones") {
  OwnerWorld world(0, 4);
  constexpr double kWeak = 0.12;
  constexpr double kStrong = 0.5;
  for (int i = 0; i < 8; ++i) {
    world.StartOwner("weak" + std::to_string(i), kWeak);
  }
  world.StartOwner("strong0", kStrong);
  world.StartOwner("strong1", kStrong);
  world.RunFor(1'000);
  const auto first = world.OwnerName();
  CHECK(first.starts_with("strong"));
  world.KillOwner(first);
  world.RunFor(2'500);
  const auto second = world.OwnerName();
  CHECK(second.starts_with("strong"));
  // Weak ones own it where nobody else can.
  world.KillOwner(second);
  world.RunFor(2'900);
  CHECK(world.OwnerName().starts_with("weak"));
}

TEST_CASE("a VM that starts again takes what its former life owned at once") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(3'000);
  };
  world.Submit(OwnerWorld::MakeJob("long", 2, 1));
  world.RunFor(500);
  world.KillOwner("vm0");
  world.StartOwner("vm0");
  world.Submit(OwnerWorld::MakeJob("new", 1, 1));
  world.RunFor(400);
  CHECK(world.workers().IsRunning(TaskOf("new", 0)));
  world.RunFor(4'000);
  CHECK(world.StateOf("long") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an owner cut off from the store is replaced and starts nothing") {
  OwnerWorld world(3, 4);
  world.RunFor(1'000);
  const auto former = world.OwnerName();
  world.store().SetFault(former, StoreFault::kSilent);
  world.RunFor(3'000);
  world.Submit(OwnerWorld::MakeJob("plan", 6, 1));
  world.RunFor(5'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

/// Runs a job of four tasks of `task_ms` each through an outage of the store
/// for all of `outage_ms`, and `after_ms` more.
void RunThroughOutage(OwnerWorld& world, int task_ms, int outage_ms,
                      int after_ms) {
  world.workers().run_time = [task_ms](const jobs::TaskName&) {
    return base::Duration(task_ms);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("long", 4, 1));
  world.RunFor(1'000);
  world.store().SetFaultForAll(StoreFault::kSilent);
  world.RunFor(outage_ms);
  world.store().SetFaultForAll(StoreFault::kNone);
  world.RunFor(after_ms);
}

TEST_CASE("what runs outlives an outage of the store") {
  OwnerWorld world(3, 4);
  RunThroughOutage(world, 9'000, 7'000, 8'000);
  CHECK(world.StateOf("long") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
}

TEST_CASE("what runs outlives an outage of nine seconds") {
  OwnerWorld world(2, 2);
  // As MonitoredStore does.
  world.store().commit_timeout = base::Duration(1'000);
  RunThroughOutage(world, 30'000, 9'000, 15'000);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
  CHECK(world.workers().running() == 4);
}

TEST_CASE(
    "what was on a worker that left with its owner starts in 10 seconds") {
  OwnerWorld world(2, 3);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(30'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("map", 1, 1));
  world.RunFor(1'000);
  const auto worker = world.workers().WhereRuns(TaskOf("map", 0));
  REQUIRE_FALSE(worker.empty());
  // Its owner may be cut off and renew leases, for all that the next one knows.
  const auto former = world.OwnerName();
  world.store().SetFault(former, StoreFault::kSilent);
  world.workers().Crash(worker);
  world.Unlist(worker);
  world.RunFor(2'500);
  REQUIRE_FALSE(world.OwnerName().empty());
  CHECK(world.workers().running() == 0);
  world.RunFor(9'700);
  CHECK(world.workers().running() == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a start that is carried out late runs nothing twice") {
  OwnerWorld world(2, 3);
  world.RunFor(1'000);
  for (int i = 0; i < 3; ++i) {
    world.workers().MakeNextStartLate(OwnerWorld::WorkerCalled(i),
                                      base::Duration(5'000));
  }
  world.Submit(OwnerWorld::MakeJob("plan", 6, 2));
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("tasks of a worker that crashed run elsewhere after its lease") {
  OwnerWorld world(2, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(4'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 10, 1));
  world.RunFor(1'000);
  const auto lost = world.workers().WhereRuns(TaskOf("plan", 0));
  world.workers().Crash(lost);
  world.Unlist(lost);
  world.RunFor(18'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("what cannot end before its worker leaves moves at once") {
  OwnerWorld world(1, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(4'000);
  };
  world.RunFor(1'000);
  auto gang = OwnerWorld::MakeJob("gang", 2, 4);
  gang.steps[0].is_gang = true;
  gang.steps[0].run_time_estimate = base::Duration(4'000);
  world.Submit(gang);
  world.RunFor(500);
  const auto leaving = world.workers().WhereRuns(TaskOf("gang", 0));
  world.Drain(leaving, base::Duration(2'000));
  world.RunFor(2'000);
  CHECK(world.workers().WhereRuns(TaskOf("gang", 0)) != leaving);
  world.workers().Crash(leaving);
  world.Unlist(leaving);
  // Lost with its worker, it would begin again 5.9 s later.
  world.RunFor(4'000);
  CHECK(world.StateOf("gang") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("gang", 0)) == 2);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("what ends before its worker leaves stays there") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  const auto leaving = world.workers().WhereRuns(TaskOf("plan", 0));
  world.Drain(leaving, base::Duration(1'600));
  world.RunFor(3'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 1);
}

TEST_CASE("a worker whose entry names another service gets nothing more") {
  OwnerWorld world(1, 1);
  world.RunFor(1'000);
  WorkerRegistration entry;
  entry.name = OwnerWorld::WorkerCalled(0);
  entry.service = base::ServiceName("another");
  world.owner("vm0").PutWorker(entry);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(3'000);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 0);
}

TEST_CASE("a worker that is not registered yet counts what is recorded there") {
  // All processes restart while a worker is missing from the list; when it is
  // back, its size must not seem to have grown by what ran there.
  OwnerWorld world(1, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(6'000);
  };
  world.RunFor(1'000);
  auto gang = OwnerWorld::MakeJob("old", 2, 8);
  gang.steps[0].is_gang = true;
  world.Submit(gang);
  world.RunFor(500);
  CHECK(world.workers().running() == 2);
  world.KillOwner("vm0");
  world.Unlist(OwnerWorld::WorkerCalled(0));
  world.StartOwner("vm1");
  world.RunFor(3'000);
  // It is registered again, and what was recorded there ends.
  WorkerRegistration entry;
  entry.name = OwnerWorld::WorkerCalled(0);
  entry.service = base::ServiceName(OwnerWorld::kService);
  entry.rack = base::RackName("r0");
  entry.capacity = {OwnerWorld::kCoresMillis, OwnerWorld::kMemoryMb,
                    OwnerWorld::kAccelerators};
  world.owner("vm1").PutWorker(entry);
  for (int i = 0; i < 6; ++i) {
    world.Submit(OwnerWorld::MakeJob("new" + std::to_string(i), 1, 8));
  }
  world.RunFor(30'000);
  CHECK(world.StateOf("new5") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a worker that left does not keep its task for ever") {
  // A silent worker was renewed with every call that had no answer, so that it
  // never counted as lapsed.
  OwnerWorld world(1, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(3'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  const auto lost = world.workers().WhereRuns(TaskOf("plan", 0));
  world.workers().Crash(lost);
  world.Unlist(lost);
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
}

TEST_CASE("a good end behind a cut counts when it comes to light") {
  OwnerWorld world(1, 2);
  const auto first = TaskOf("plan", 0);
  int runs = 0;
  world.workers().run_time = [&runs](const jobs::TaskName& task) {
    const bool is_second_run = task.index == 0 && ++runs > 1;
    return base::Duration(is_second_run ? 60'000 : 3'000);
  };
  world.RunFor(1'000);
  auto job = OwnerWorld::MakeJob("plan", 1, 1);
  job.steps.push_back(job.steps.front());
  job.steps.back().depends_on = {0};
  world.Submit(job);
  world.RunFor(500);
  const auto behind = world.workers().WhereRuns(first);
  world.workers().Cut("", behind);
  world.RunFor(9'000);
  CHECK(world.workers().starts(first) == 2);
  world.workers().Join("", behind);
  world.RunFor(2'000);
  CHECK(world.workers().starts(TaskOf("plan", 0, 1)) == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("urgent work that is guaranteed its place gets it from others") {
  OwnerWorld world(1, 2);
  world.SetGuarantee("crews", 8);
  world.workers().run_time = [](const jobs::TaskName& task) {
    return base::Duration(task.job.str() == "urgent" ? 1'000 : 60'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("quiet", 16, 1));
  world.RunFor(500);
  CHECK(world.workers().running() == 16);
  auto urgent = OwnerWorld::MakeJob("urgent", 1, 8);
  urgent.priority = 0;
  world.Submit(urgent);
  world.RunFor(2'000);
  CHECK(world.StateOf("urgent") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("urgent work takes the place of others where little is thrown away") {
  // No guarantee: the urgent job only can be in time this way.
  OwnerWorld world(1, 2);
  world.workers().run_time = [](const jobs::TaskName& task) {
    return base::Duration(task.job.str() == "urgent" ? 1'000 : 60'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("quiet", 16, 1));
  world.RunFor(300);
  auto urgent = OwnerWorld::MakeJob("urgent", 1, 8);
  urgent.priority = 0;
  urgent.slack_factor = 1.5;
  world.Submit(urgent);
  world.RunFor(2'000);
  CHECK(world.StateOf("urgent") == JobState::kCompleted);
}

TEST_CASE("urgent work does not throw away far more than it is") {
  OwnerWorld world(1, 1);
  world.workers().run_time = [](const jobs::TaskName& task) {
    return base::Duration(task.job.str() == "urgent" ? 100 : 20'000);
  };
  world.RunFor(1'000);
  auto quiet = OwnerWorld::MakeJob("quiet", 8, 1);
  quiet.steps[0].run_time_estimate = base::Duration(20'000);
  world.Submit(quiet);
  world.RunFor(15'000);
  auto urgent = OwnerWorld::MakeJob("urgent", 1, 8);
  urgent.priority = 0;
  urgent.steps[0].run_time_estimate = base::Duration(100);
  urgent.target_latency = base::Duration(1'000);
  world.Submit(urgent);
  world.RunFor(2'000);
  CHECK(world.workers().starts(TaskOf("quiet", 0)) == 1);
  CHECK(world.workers().running() == 8);
  world.RunFor(6'000);
  CHECK(world.StateOf("urgent") == JobState::kCompleted);
}

TEST_CASE("work that can be in time goes before work that is too late") {
  OwnerWorld world(1, 1);
  world.workers().run_time = [](const jobs::TaskName& task) {
    return base::Duration(task.job.str() == "first" ? 8'000 : 1'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("first", 8, 1));
  world.RunFor(100);
  auto late = OwnerWorld::MakeJob("late", 1, 8);
  late.slack_factor = 1;
  world.Submit(late);
  world.RunFor(5'000);
  auto fresh = OwnerWorld::MakeJob("fresh", 1, 8);
  fresh.slack_factor = 5;
  world.Submit(fresh);
  world.RunFor(4'200);
  CHECK(world.StateOf("fresh") == JobState::kCompleted);
  CHECK(world.StateOf("late") != JobState::kCompleted);
  world.RunFor(3'000);
  CHECK(world.StateOf("late") == JobState::kCompleted);
}

TEST_CASE("a worker that stands still for good does not keep its tasks") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  world.workers().Hang(world.workers().WhereRuns(TaskOf("plan", 0)), true);
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 2);
}

TEST_CASE("a worker that fails all it starts does not use up the attempts") {
  OwnerWorld world(1, 4);
  world.RunFor(1'000);
  world.workers().FailAll(OwnerWorld::WorkerCalled(0), true);
  for (int i = 0; i < 20; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 2, 2));
    world.RunFor(300);
  }
  world.RunFor(20'000);
  for (int i = 0; i < 20; ++i) {
    CHECK(world.StateOf("job" + std::to_string(i)) == JobState::kCompleted);
  }
}

TEST_CASE("a feed whose history is gone misses no job") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.store().SetFaultForAll(StoreFault::kBusy);
  world.RunFor(300);
  world.store().SetFaultForAll(StoreFault::kNone);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(15);
  world.store().DropHistory();
  world.RunFor(4'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
}

TEST_CASE("nothing is left of a job long after its end") {
  OwnerWorld world(1, 4);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 3, 1));
  world.RunFor(100);
  world.Cancel("plan");
  world.Submit(OwnerWorld::MakeJob("map", 3, 1));
  world.RunFor(10'000);
  CHECK(world.store().rows_in("requests") == 3);
  CHECK(world.store().rows_in("progress") == 2);
  world.RunFor(200'000);
  CHECK(world.store().rows_in("requests") == 0);
  CHECK(world.store().rows_in("progress") == 0);
}

TEST_CASE("a new owner removes the rest of a removal that stopped halfway") {
  OwnerWorld world(1, 4);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(4'000);
  const base::ServiceName service(OwnerWorld::kService);
  world.store().Remove("requests",
                       jobs::RequestPartition(service, base::JobName("plan")),
                       "plan");
  world.KillOwner("vm0");
  world.StartOwner("vm0");
  world.RunFor(1'000);
  CHECK(world.store().rows_in("progress") == 0);
}

}  // namespace
}  // namespace lapishatch::dispatch
