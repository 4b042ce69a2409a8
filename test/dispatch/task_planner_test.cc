#include "dispatch/internal/task_planner.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "dispatch/internal/crash_policy.h"
#include "planner_fixture.h"

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

/// Adds a job of `tasks` single tasks, each of a whole worker, that may run
/// `attempts` times.
JobEntry& AddTasks(PlannerFixture& fixture, const char* name, int tasks,
                   int attempts) {
  return fixture.Add(name, 2, attempts, WholeWorkers(tasks));
}

/// Workers on which the units of a decision are started.
std::set<std::string> WorkersOf(const PlannerDecisions& decisions) {
  std::set<std::string> out;
  for (const auto* it : decisions.starts) {
    out.insert(it->members.front().worker.str());
  }
  return out;
}

TEST_CASE("a gang that prefers a single rack waits while it could fit on one") {
  PlannerFixture fixture;
  // No worker has registered with the new owner yet.
  fixture.AddRackGang("gang");
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  fixture.now += Duration(10);
  fixture.MakeAllSchedulable();
  fixture.Fill("a0");
  fixture.Fill("b0");
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  // On several racks it takes three times as long, so it is spread after
  // waiting for twice its estimate.
  fixture.now += Duration(8'100);
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 1);
}

TEST_CASE("the waiting time of a gang includes that under earlier owners") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  fixture.Fill("a0");
  fixture.Fill("b0");
  fixture.AddRackGang("gang", Duration(8'100));
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 1);
}

TEST_CASE("with over half of the accelerators free a gang preempts on a rack") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  auto& small = AddTasks(fixture, "small", 1, 2);
  REQUIRE(fixture.planner.Decide(fixture.now).starts.size() == 1);
  fixture.Fill("b0", 1);
  auto& gang = fixture.AddRackGang("gang");
  CHECK(fixture.planner.Decide(fixture.now).preemptions.empty());
  fixture.now += Duration(1'500);
  // The usage of b0 belongs to no known unit and cannot be preempted; the small
  // task on a0 can.
  const auto decisions = fixture.planner.Decide(fixture.now);
  REQUIRE(decisions.preemptions.size() == 1);
  CHECK(decisions.preemptions[0].beneficiary == &gang);
  CHECK(decisions.preemptions[0].unit == &small.runs[0][0].units[0]);
}

TEST_CASE(
    "with over half of the accelerators free a gang is spread if no rack "
    "becomes available") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  fixture.Fill("a0", 1);
  fixture.Fill("b0", 1);
  fixture.AddRackGang("gang");
  fixture.now += Duration(1'500);
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  fixture.now += Duration(1'000);
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 1);
}

TEST_CASE("a gang that fits on no rack is spread at once") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  fixture.fleet.Find(base::WorkerName("a0"))->is_schedulable = false;
  fixture.fleet.Find(base::WorkerName("b0"))->is_schedulable = false;
  fixture.AddRackGang("gang");
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 1);
}

TEST_CASE("suspect workers are used last, and never for a last attempt") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  fixture.fleet.Find(base::WorkerName("a0"))->is_suspect = true;
  fixture.fleet.Find(base::WorkerName("a1"))->is_suspect = true;
  AddTasks(fixture, "first", 1, 2);
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"b0"});
  // Only one of the two tasks that have no attempt to spare finds a worker that
  // is not suspect.
  auto& last = AddTasks(fixture, "last", 2, 1);
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"b1"});
  AddTasks(fixture, "other", 1, 2);
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a0"});
  fixture.fleet.Find(base::WorkerName("a1"))->is_suspect = false;
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a1"});
  CHECK(last.runs.front().front().units.back().last_run == 1);
}

TEST_CASE("a failed task with one attempt left avoids suspect workers") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  auto& job = AddTasks(fixture, "job", 1, 2);
  auto& unit = job.runs.front().front().units.front();
  REQUIRE(fixture.planner.Decide(fixture.now).starts.size() == 1);
  const auto first = unit.members.front().worker;
  fixture.tracker.OnEnded(unit, 0, TaskOutcome::kFailed, "", fixture.now);
  // It failed on one worker, and on all others but one another task has failed.
  for (auto& [name, worker] : fixture.fleet.workers()) {
    worker.is_suspect = name.str() != "b1";
  }
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"b1"});
  CHECK(unit.members.front().worker != first);
}

TEST_CASE("nothing is preempted on a suspect worker") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  AddTasks(fixture, "quiet", 4, 2);
  REQUIRE(fixture.planner.Decide(fixture.now).starts.size() == 4);
  for (auto& [name, worker] : fixture.fleet.workers()) worker.is_suspect = true;
  fixture.Add("urgent", 0, 3, WholeWorkers(1));
  CHECK(fixture.planner.Decide(fixture.now).preemptions.empty());
  fixture.fleet.Find(base::WorkerName("b0"))->is_suspect = false;
  // A failed search is repeated after a short interval.
  fixture.now += Duration(100);
  CHECK(fixture.planner.Decide(fixture.now).preemptions.size() == 1);
}

TEST_CASE("a unit starts on free workers before its reserved worker is free") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  AddTasks(fixture, "quiet", 4, 3);
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 4);
  fixture.now += Duration(100);
  auto& urgent = fixture.Add("urgent", 0, 3, WholeWorkers(1));
  CHECK(fixture.planner.Decide(fixture.now).preemptions.size() == 1);
  auto& unit = urgent.runs.front().front().units.front();
  REQUIRE(unit.reserved.size() == 1);
  // Another task ends while the preempted one is still being stopped.
  auto& quiet =
      fixture.tracker.Find(base::JobName("quiet"))->runs.front().front();
  for (auto& it : quiet.units) {
    if (it.is_stopping) continue;
    fixture.tracker.OnEnded(it, it.first_index, TaskOutcome::kDone, "",
                            fixture.now);
    break;
  }
  fixture.now += Duration(100);
  const auto decisions = fixture.planner.Decide(fixture.now);
  REQUIRE(decisions.starts.size() == 1);
  CHECK(decisions.starts.front() == &unit);
  CHECK(unit.reserved.empty());
}

TEST_CASE("each preemption reports the work that is lost") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  auto& quiet = fixture.AddRackGang("quiet");
  fixture.AddRackGang("quiet2");
  CHECK(fixture.planner.Decide(fixture.now).starts.size() == 2);
  fixture.now += Duration(500);
  fixture.Add("urgent", 0, 1, WholeWorkers(1));
  const auto decisions = fixture.planner.Decide(fixture.now);
  CHECK(decisions.starts.empty());
  REQUIRE(decisions.preemptions.size() == 1);
  CHECK(decisions.preemptions[0].unit == &quiet);
  CHECK_FALSE(decisions.preemptions[0].is_guaranteed);
  // Two tasks of 9 cores (8 for the accelerators each) for half a second.
  CHECK(decisions.preemptions[0].lost_core_seconds == Approx(65.0));
  CHECK(quiet.is_stopping);
}

TEST_CASE("no more tasks start at once than the limit allows") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  fixture.Add("quiet", 2, 2, SmallTasks(20));
  constexpr int kMost = 8;
  const auto first = fixture.planner.Decide(fixture.now, kMost);
  // A quarter of the starts is reserved for urgent work.
  CHECK(first.starts.size() == 6);
  CHECK(first.reached_start_limit);
  fixture.Add("urgent", 0, 2, SmallTasks(20));
  const auto second = fixture.planner.Decide(fixture.now, kMost);
  CHECK(second.starts.size() == 8);
  for (const auto* it : second.starts) {
    CHECK(it->step_run->job->job->priority == 0);
  }
  CHECK_FALSE(fixture.planner.Decide(fixture.now).reached_start_limit);
}

TEST_CASE("a gang starts as a whole even if it exceeds the limit") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  auto step = WholeWorkers(3);
  step.is_gang = true;
  fixture.Add("gang", 0, 2, step);
  fixture.Add("next", 0, 2, SmallTasks(1));
  const auto decisions = fixture.planner.Decide(fixture.now, 1);
  REQUIRE(decisions.starts.size() == 1);
  CHECK(decisions.starts.front()->members.size() == 3);
  CHECK(decisions.reached_start_limit);
  CHECK(fixture.planner.Decide(fixture.now, 0).starts.empty());
}

TEST_CASE("two units preempt different victims in one round") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  // Each worker is filled by eight small tasks.
  fixture.Add("quiet", 2, 2, SmallTasks(32));
  REQUIRE(fixture.planner.Decide(fixture.now).starts.size() == 32);
  fixture.now += Duration(200);
  fixture.Add("first", 0, 3, SmallTasks(1));
  fixture.Add("second", 0, 3, SmallTasks(1));
  const auto decisions = fixture.planner.Decide(fixture.now);
  CHECK(decisions.preemptions.size() == 2);
  std::set<const Unit*> stopped;
  for (const auto& it : decisions.preemptions) stopped.insert(it.unit);
  CHECK(stopped.size() == 2);
}

/// Adds a job of one task that is suspected of crashing workers.
JobEntry& AddSuspect(PlannerFixture& fixture, Duration age) {
  auto& out = fixture.Add("suspect", 2, 3, SmallTasks(1), age);
  AddCrash(out.runs[0][0].units[0].losses, 0, 1);
  return out;
}

TEST_CASE("where all workers have crashed a suspect avoids the latest crash") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  int age_ms = 0;
  for (const auto* it : {"b0", "a0", "b1", "a1"}) {
    auto& worker = *fixture.fleet.Find(base::WorkerName(it));
    worker.last_crash_at = fixture.now - Duration(age_ms += 1'000);
  }
  AddSuspect(fixture, Duration(2'000));
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a1"});
}

TEST_CASE("a suspect prefers another suspect's worker to a recent crash") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  for (auto& [name, worker] : fixture.fleet.workers()) {
    if (name.str() == "a0") worker.last_crash_at = fixture.now;
    worker.suspect_tasks = worker.HasRecentCrash() ? 0 : 1;
  }
  AddSuspect(fixture, Duration(1'900));
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  fixture.now += Duration(100);
  const auto decisions = fixture.planner.Decide(fixture.now);
  REQUIRE(decisions.starts.size() == 1);
  CHECK(WorkersOf(decisions) != std::set<std::string>{"a0"});
}

/// Adds a job of one task that lost the worker `lost`, with no suspicion of the
/// task.
JobEntry& AddLostTask(PlannerFixture& fixture, const char* lost) {
  auto& out = fixture.Add("lost", 2, 3, SmallTasks(1));
  auto& unit = out.runs[0][0].units[0];
  AddCrash(unit.losses, 0, 0);
  unit.lost_at.insert(fixture.fleet.Find(base::WorkerName(lost))->address);
  return out;
}

TEST_CASE("a task does not return to an address where it lost a worker") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  for (const auto* it : {"a1", "b0", "b1"}) fixture.Fill(it);
  AddLostTask(fixture, "a0");
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  fixture.now += Duration(3'000);
  fixture.fleet.Release(base::WorkerName("b0"), {64'000, 1'000, 8});
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"b0"});
}

TEST_CASE("a task that lost a worker avoids addresses that crash repeatedly") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  for (const auto* it : {"a0", "b0", "b1"}) fixture.Fill(it);
  fixture.fleet.Find(base::WorkerName("a1"))->is_unreliable = true;
  AddLostTask(fixture, "a0");
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  // Other tasks may start there.
  fixture.Add("new", 2, 3, SmallTasks(1));
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a1"});
}

TEST_CASE("a task returns to where it lost a worker if it fits nowhere else") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  for (const auto* it : {"a1", "b0", "b1"}) {
    fixture.fleet.Find(base::WorkerName(it))->is_schedulable = false;
  }
  AddLostTask(fixture, "a0");
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a0"});
}

TEST_CASE("a task does not wait indefinitely for workers of other addresses") {
  PlannerFixture fixture;
  fixture.MakeAllSchedulable();
  for (const auto* it : {"a1", "b0", "b1"}) fixture.Fill(it);
  AddLostTask(fixture, "a0");
  fixture.now += Duration(9'900);
  CHECK(fixture.planner.Decide(fixture.now).starts.empty());
  fixture.now += Duration(100);
  CHECK(WorkersOf(fixture.planner.Decide(fixture.now)) ==
        std::set<std::string>{"a0"});
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
