#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;
using jobs::JobState;

jobs::TaskName TaskOf(const std::string& job, int index, int step = 0) {
  return {base::JobName(job), 0, step, index};
}

TEST_CASE("a job whose tasks have run is reported as completed") {
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

TEST_CASE("an owner counts the ends of tasks and jobs by outcome") {
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

TEST_CASE("each end of a job is counted once across a change of owner") {
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

TEST_CASE("a step starts only after the steps that it depends on") {
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

TEST_CASE("a task that uses up its attempts fails its job") {
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

TEST_CASE("running tasks of a cancelled job are stopped and no more start") {
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

TEST_CASE("the tasks of a gang start all together or not at all") {
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

TEST_CASE(
    "a new owner starts tasks within 2.5 seconds after the last was killed") {
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

TEST_CASE("an owner that stops hands over its service immediately") {
  OwnerWorld world(3, 2);
  world.RunFor(1'000);
  const auto former_owner = world.OwnerName();
  world.owner(former_owner).Stop([] {});
  world.RunFor(400);
  CHECK(world.OwnerName() != former_owner);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("an owner that stops during a lease renewal hands over its service") {
  // With a slow store, a renewal is in progress nearly all the time.
  constexpr base::Duration kSlowCommit{700};
  for (const int stop_delay_ms : {0, 100, 200, 300, 400, 500, 600, 700, 800}) {
    OwnerWorld world(3, 2);
    world.RunFor(1'000);
    world.store().commit_time = kSlowCommit;
    world.RunFor(1'000 + stop_delay_ms);
    const auto former_owner = world.OwnerName();
    bool is_released = false;
    world.owner(former_owner).Stop([&is_released] { is_released = true; });
    world.RunFor(900);
    CHECK(is_released);
    world.KillOwner(former_owner);
    // The successor's own write of the lease takes as long.
    world.RunFor(900);
    CHECK_FALSE(world.OwnerName().empty());
  }
}

TEST_CASE(
    "a candidate that stops while taking the lease hands over the service") {
  OwnerWorld world(2, 2);
  // The lease row is written, but the candidate has not received the answer
  // yet.
  while (world.store().ValueOf("owners", "survey", "lease").empty()) {
    world.RunFor(1);
  }
  REQUIRE(world.OwnerName().empty());
  const auto lease = world.store().ValueOf("owners", "survey", "lease");
  const auto candidate = lease.substr(0, lease.find('/'));
  bool is_released = false;
  world.owner(candidate).Stop([&is_released] { is_released = true; });
  CHECK_FALSE(is_released);
  world.RunFor(400);
  CHECK(is_released);
  CHECK_FALSE(world.OwnerName().empty());
  CHECK(world.OwnerName() != candidate);
}

TEST_CASE("an owner that stops retries until the store confirms the release") {
  OwnerWorld world(2, 2);
  world.RunFor(1'000);
  const auto former_owner = world.OwnerName();
  world.store().SetFaultForAll(StoreFault::kBusy);
  bool is_released = false;
  world.owner(former_owner).Stop([&is_released] { is_released = true; });
  world.RunFor(700);
  CHECK_FALSE(is_released);
  world.store().SetFaultForAll(StoreFault::kNone);
  world.RunFor(600);
  CHECK(is_released);
  // A feed read that was in progress times out after 1.7 s and is repeated.
  world.RunFor(1'500);
  CHECK(world.OwnerName() != former_owner);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("a service gets an owner although the store answers too late") {
  // Each transaction is applied but its answer arrives too late, as when
  // answers take ninety times as long as usual.
  OwnerWorld world(0, 2);
  world.store().SetFaultForTransactions(StoreFault::kAnswersLost);
  for (const auto* name : {"vm0", "vm1", "vm2"}) world.StartOwner(name);
  world.RunFor(6'000);
  CHECK_FALSE(world.OwnerName().empty());
}

TEST_CASE("a VM with more cores becomes the owner before VMs with fewer") {
  OwnerWorld world(0, 4);
  constexpr double kWeakCores = 0.12;
  constexpr double kStrongCores = 0.5;
  for (int i = 0; i < 8; ++i) {
    world.StartOwner("weak" + std::to_string(i), kWeakCores);
  }
  world.StartOwner("strong0", kStrongCores);
  world.StartOwner("strong1", kStrongCores);
  world.RunFor(1'000);
  const auto first_owner = world.OwnerName();
  CHECK(first_owner.starts_with("strong"));
  world.KillOwner(first_owner);
  world.RunFor(2'500);
  const auto second_owner = world.OwnerName();
  CHECK(second_owner.starts_with("strong"));
  // A weak VM becomes the owner when no strong one is left.
  world.KillOwner(second_owner);
  world.RunFor(2'900);
  CHECK(world.OwnerName().starts_with("weak"));
}

TEST_CASE(
    "an owner restarted on the same VM takes its service back immediately") {
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

TEST_CASE("an owner cut off from the store is replaced and starts no task") {
  OwnerWorld world(3, 4);
  world.RunFor(1'000);
  const auto former_owner = world.OwnerName();
  world.store().SetFault(former_owner, StoreFault::kSilent);
  world.RunFor(3'000);
  world.Submit(OwnerWorld::MakeJob("plan", 6, 1));
  world.RunFor(5'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

/// Runs a job of four tasks of `task_ms` each, makes the store unavailable to
/// all processes for `outage_ms`, and then runs on for `after_ms`.
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

TEST_CASE("running tasks survive a store outage of seven seconds") {
  OwnerWorld world(3, 4);
  RunThroughOutage(world, 9'000, 7'000, 8'000);
  CHECK(world.StateOf("long") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
}

TEST_CASE("running tasks survive a store outage of nine seconds") {
  OwnerWorld world(2, 2);
  // The timeout that MonitoredStore uses.
  world.store().commit_timeout = base::Duration(1'000);
  RunThroughOutage(world, 30'000, 9'000, 15'000);
  CHECK(world.workers().starts(TaskOf("long", 0)) == 1);
  CHECK(world.workers().running() == 4);
}

TEST_CASE(
    "a task of a worker lost together with the owner restarts in 10 seconds") {
  OwnerWorld world(2, 3);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(30'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("map", 1, 1));
  world.RunFor(1'000);
  const auto worker = world.workers().FindWorkerRunning(TaskOf("map", 0));
  REQUIRE_FALSE(worker.empty());
  // The next owner cannot tell whether the former one is merely cut off from
  // the store and still renews leases at the workers.
  const auto former_owner = world.OwnerName();
  world.store().SetFault(former_owner, StoreFault::kSilent);
  world.workers().Crash(worker);
  world.Deregister(worker);
  world.RunFor(2'500);
  REQUIRE_FALSE(world.OwnerName().empty());
  CHECK(world.workers().running() == 0);
  world.RunFor(9'700);
  CHECK(world.workers().running() == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a start that is carried out late runs no task twice") {
  OwnerWorld world(2, 3);
  world.RunFor(1'000);
  for (int i = 0; i < 3; ++i) {
    world.workers().DelayNextStart(OwnerWorld::WorkerNameAt(i),
                                   base::Duration(5'000));
  }
  world.Submit(OwnerWorld::MakeJob("plan", 6, 2));
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("tasks of a crashed worker run elsewhere after its lease expires") {
  OwnerWorld world(2, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(4'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 10, 1));
  world.RunFor(1'000);
  const auto crashed_worker =
      world.workers().FindWorkerRunning(TaskOf("plan", 0));
  world.workers().Crash(crashed_worker);
  world.Deregister(crashed_worker);
  world.RunFor(18'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a gang that cannot end before its worker leaves moves immediately") {
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
  const auto draining_worker =
      world.workers().FindWorkerRunning(TaskOf("gang", 0));
  world.Drain(draining_worker, base::Duration(2'000));
  world.RunFor(2'000);
  CHECK(world.workers().FindWorkerRunning(TaskOf("gang", 0)) !=
        draining_worker);
  world.workers().Crash(draining_worker);
  world.Deregister(draining_worker);
  // If the gang were lost with its worker, it would restart 5.9 s later.
  world.RunFor(4'000);
  CHECK(world.StateOf("gang") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("gang", 0)) == 2);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a task that can end before its worker leaves is not moved") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  const auto draining_worker =
      world.workers().FindWorkerRunning(TaskOf("plan", 0));
  // It ends in 1.5 s, which leaves a second to report it and 0.4 s for errors
  // of the estimate.
  world.Drain(draining_worker, base::Duration(2'900));
  world.RunFor(3'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 1);
}

TEST_CASE("a worker that moves to another service gets no more tasks") {
  OwnerWorld world(1, 1);
  world.RunFor(1'000);
  WorkerRegistration registration;
  registration.name = OwnerWorld::WorkerNameAt(0);
  registration.service = base::ServiceName("another");
  world.owner("vm0").PutWorker(registration);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(3'000);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 0);
}

TEST_CASE(
    "tasks recorded on an unregistered worker count against its capacity") {
  // All processes restart while the registration of a worker is missing. When
  // the worker is registered again, the end of the tasks that were recorded on
  // it must not raise its free resources above its capacity.
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
  world.Deregister(OwnerWorld::WorkerNameAt(0));
  world.StartOwner("vm1");
  world.RunFor(3'000);
  // The worker is registered again, and the tasks recorded on it end.
  WorkerRegistration registration;
  registration.name = OwnerWorld::WorkerNameAt(0);
  registration.service = base::ServiceName(OwnerWorld::kService);
  registration.rack = base::RackName("r0");
  registration.capacity = {OwnerWorld::kCoresMillis, OwnerWorld::kMemoryMb,
                           OwnerWorld::kAccelerators};
  world.owner("vm1").PutWorker(registration);
  for (int i = 0; i < 6; ++i) {
    world.Submit(OwnerWorld::MakeJob("new" + std::to_string(i), 1, 8));
  }
  world.RunFor(30'000);
  CHECK(world.StateOf("new5") == JobState::kCompleted);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a task of a worker that left restarts elsewhere") {
  // Guards against calls without an answer that renew the lease of a worker:
  // the lease of a silent worker then never expires.
  OwnerWorld world(1, 2);
  world.workers().run_time = [](const jobs::TaskName&) {
    return base::Duration(3'000);
  };
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  const auto crashed_worker =
      world.workers().FindWorkerRunning(TaskOf("plan", 0));
  world.workers().Crash(crashed_worker);
  world.Deregister(crashed_worker);
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
}

TEST_CASE(
    "a success on a disconnected worker counts once it is reachable again") {
  OwnerWorld world(1, 2);
  const auto first_task = TaskOf("plan", 0);
  int first_task_runs = 0;
  world.workers().run_time = [&first_task_runs](const jobs::TaskName& task) {
    const bool is_second_run = task.index == 0 && ++first_task_runs > 1;
    return base::Duration(is_second_run ? 60'000 : 3'000);
  };
  world.RunFor(1'000);
  auto job = OwnerWorld::MakeJob("plan", 1, 1);
  job.steps.push_back(job.steps.front());
  job.steps.back().depends_on = {0};
  world.Submit(job);
  world.RunFor(500);
  const auto cut_off_worker = world.workers().FindWorkerRunning(first_task);
  world.workers().Disconnect("", cut_off_worker);
  world.RunFor(9'000);
  CHECK(world.workers().starts(first_task) == 2);
  world.workers().Reconnect("", cut_off_worker);
  world.RunFor(2'000);
  CHECK(world.workers().starts(TaskOf("plan", 0, 1)) == 1);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("an urgent job within its guarantee preempts other tasks") {
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

TEST_CASE(
    "an urgent job without a guarantee preempts tasks that lose little work") {
  // Without a guarantee, the urgent job can end in time only by preemption.
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

TEST_CASE(
    "an urgent job does not preempt tasks that would lose far more work") {
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

TEST_CASE("a job that can end in time starts before one that is already late") {
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

TEST_CASE("a task on a permanently hung worker restarts elsewhere") {
  OwnerWorld world(1, 2);
  world.RunFor(1'000);
  world.Submit(OwnerWorld::MakeJob("plan", 1, 1));
  world.RunFor(500);
  world.workers().SetHanging(
      world.workers().FindWorkerRunning(TaskOf("plan", 0)), true);
  world.RunFor(12'000);
  CHECK(world.StateOf("plan") == JobState::kCompleted);
  CHECK(world.workers().starts(TaskOf("plan", 0)) == 2);
}

TEST_CASE(
    "a worker that fails every task does not use up the attempts of jobs") {
  OwnerWorld world(1, 4);
  world.RunFor(1'000);
  world.workers().SetFailing(OwnerWorld::WorkerNameAt(0), true);
  for (int i = 0; i < 20; ++i) {
    world.Submit(OwnerWorld::MakeJob("job" + std::to_string(i), 2, 2));
    world.RunFor(300);
  }
  world.RunFor(20'000);
  for (int i = 0; i < 20; ++i) {
    CHECK(world.StateOf("job" + std::to_string(i)) == JobState::kCompleted);
  }
}

TEST_CASE("a feed misses no job after the store has dropped its history") {
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

TEST_CASE("all rows of a job are removed some time after its end") {
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

TEST_CASE("a new owner completes a removal that stopped halfway") {
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
