#include "dispatch/internal/task_planner.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

/// A step of `tasks` tasks of a whole worker each.
jobs::Step WholeWorkers(int tasks) {
  jobs::Step out;
  out.tasks = tasks;
  out.needs = {1'000, 1'000, 8};
  out.run_time_estimate = Duration(4'000);
  return out;
}

/// Four workers of eight accelerators on two racks, and jobs on them.
struct Place {
  Fleet fleet;
  JobTracker tracker{fleet};
  TaskPlanner planner{tracker, fleet, {}};
  base::TimePoint now{Duration(100'000)};

  Place() {
    for (const auto* name : {"a0", "a1", "b0", "b1"}) {
      WorkerRegistration entry;
      entry.name = base::WorkerName(name);
      entry.rack = base::RackName(std::string(1, name[0]));
      entry.capacity = {64'000, 262'144, 8};
      fleet.Put(entry);
    }
  }

  void OpenAll() {
    for (auto& [name, worker] : fleet.workers()) worker.is_schedulable = true;
  }

  void Fill(const char* worker, std::int64_t accelerators = 8) {
    fleet.Allocate(base::WorkerName(worker), {64'000, 1'000, accelerators});
  }

  /// A gang of two whole workers that wants one rack.
  Unit& AddRackGang(const char* name, Duration age = Duration(0)) {
    auto step = WholeWorkers(2);
    step.is_gang = true;
    step.prefers_single_rack = true;
    auto& entry = Add(name, 1, 1, step, age);
    return entry.runs.front().front().units.front();
  }

  JobEntry& Add(const char* name, int priority, int attempts,
                const jobs::Step& step, Duration age = Duration(0)) {
    jobs::Job job;
    job.name = base::JobName(name);
    job.priority = priority;
    job.max_attempts = attempts;
    // Time to spare for urgent jobs, so that they may preempt others.
    if (priority == 0) job.slack_factor = 3;
    job.steps.push_back(step);
    return *tracker.Add(std::make_shared<const jobs::Job>(job), nullptr,
                        store::kAbsent, age, now);
  }
};

/// Adds a job of `tasks` single tasks, each of a whole worker, that may run
/// `attempts` times.
JobEntry& AddTasks(Place& place, const char* name, int tasks, int attempts) {
  return place.Add(name, 2, attempts, WholeWorkers(tasks));
}

/// Workers on which the units of a decision are started.
std::set<std::string> WorkersOf(const PlannerDecisions& decisions) {
  std::set<std::string> out;
  for (const auto* it : decisions.starts) {
    out.insert(it->members.front().worker.str());
  }
  return out;
}

TEST_CASE("a gang that wants one rack waits for it while it could fit there") {
  Place place;
  // A new owner has not heard any worker yet.
  place.AddRackGang("gang");
  CHECK(place.planner.Decide(place.now).starts.empty());
  place.now += Duration(10);
  place.OpenAll();
  place.Fill("a0");
  place.Fill("b0");
  CHECK(place.planner.Decide(place.now).starts.empty());
  // Off its rack it takes three times as long: it is spread when it has waited
  // for twice its estimate.
  place.now += Duration(8'100);
  CHECK(place.planner.Decide(place.now).starts.size() == 1);
}

TEST_CASE("a new owner goes on counting how long a gang has waited") {
  Place place;
  place.OpenAll();
  place.Fill("a0");
  place.Fill("b0");
  place.AddRackGang("gang", Duration(8'100));
  CHECK(place.planner.Decide(place.now).starts.size() == 1);
}

TEST_CASE("with over half of the room free a gang gets its rack from others") {
  Place place;
  place.OpenAll();
  auto& small = AddTasks(place, "small", 1, 2);
  REQUIRE(place.planner.Decide(place.now).starts.size() == 1);
  place.Fill("b0", 1);
  auto& gang = place.AddRackGang("gang");
  CHECK(place.planner.Decide(place.now).preemptions.empty());
  place.now += Duration(1'500);
  // What fills b0 is not known to be stoppable; the small task on a0 is.
  const auto decisions = place.planner.Decide(place.now);
  REQUIRE(decisions.preemptions.size() == 1);
  CHECK(decisions.preemptions[0].beneficiary == &gang);
  CHECK(decisions.preemptions[0].unit == &small.runs[0][0].units[0]);
}

TEST_CASE(
    "with over half of the room free a gang is spread where no rack is to be "
    "had") {
  Place place;
  place.OpenAll();
  place.Fill("a0", 1);
  place.Fill("b0", 1);
  place.AddRackGang("gang");
  place.now += Duration(1'500);
  CHECK(place.planner.Decide(place.now).starts.empty());
  place.now += Duration(1'000);
  CHECK(place.planner.Decide(place.now).starts.size() == 1);
}

TEST_CASE("a gang that fits on no rack is spread at once") {
  Place place;
  place.OpenAll();
  place.fleet.Find(base::WorkerName("a0"))->is_schedulable = false;
  place.fleet.Find(base::WorkerName("b0"))->is_schedulable = false;
  place.AddRackGang("gang");
  CHECK(place.planner.Decide(place.now).starts.size() == 1);
}

TEST_CASE("suspect workers are taken last, and never for a last attempt") {
  Place place;
  place.OpenAll();
  place.fleet.Find(base::WorkerName("a0"))->is_suspect = true;
  place.fleet.Find(base::WorkerName("a1"))->is_suspect = true;
  AddTasks(place, "first", 1, 2);
  CHECK(WorkersOf(place.planner.Decide(place.now)) ==
        std::set<std::string>{"b0"});
  // Only one of two tasks without a failure to spare finds a sound worker.
  auto& last = AddTasks(place, "last", 2, 1);
  CHECK(WorkersOf(place.planner.Decide(place.now)) ==
        std::set<std::string>{"b1"});
  AddTasks(place, "other", 1, 2);
  CHECK(WorkersOf(place.planner.Decide(place.now)) ==
        std::set<std::string>{"a0"});
  place.fleet.Find(base::WorkerName("a1"))->is_suspect = false;
  CHECK(WorkersOf(place.planner.Decide(place.now)) ==
        std::set<std::string>{"a1"});
  CHECK(last.runs.front().front().units.back().last_run == 1);
}

TEST_CASE("a failed task with one attempt left spares no suspect worker") {
  Place place;
  place.OpenAll();
  auto& job = AddTasks(place, "job", 1, 2);
  auto& unit = job.runs.front().front().units.front();
  REQUIRE(place.planner.Decide(place.now).starts.size() == 1);
  const auto first = unit.members.front().worker;
  place.tracker.OnEnded(unit, 0, TaskOutcome::kFailed, "", place.now);
  // It failed on one worker; all others but one have failed another task.
  for (auto& [name, worker] : place.fleet.workers()) {
    worker.is_suspect = name.str() != "b1";
  }
  CHECK(WorkersOf(place.planner.Decide(place.now)) ==
        std::set<std::string>{"b1"});
  CHECK(unit.members.front().worker != first);
}

TEST_CASE("nothing is stopped for a place on a suspect worker") {
  Place place;
  place.OpenAll();
  AddTasks(place, "quiet", 4, 2);
  REQUIRE(place.planner.Decide(place.now).starts.size() == 4);
  for (auto& [name, worker] : place.fleet.workers()) worker.is_suspect = true;
  place.Add("urgent", 0, 3, WholeWorkers(1));
  CHECK(place.planner.Decide(place.now).preemptions.empty());
  place.fleet.Find(base::WorkerName("b0"))->is_suspect = false;
  // What was not found is looked for again after a short time.
  place.now += Duration(100);
  CHECK(place.planner.Decide(place.now).preemptions.size() == 1);
}

TEST_CASE("a unit takes room that is free before its reserved place is") {
  Place place;
  place.OpenAll();
  AddTasks(place, "quiet", 4, 3);
  CHECK(place.planner.Decide(place.now).starts.size() == 4);
  place.now += Duration(100);
  auto& urgent = place.Add("urgent", 0, 3, WholeWorkers(1));
  CHECK(place.planner.Decide(place.now).preemptions.size() == 1);
  auto& unit = urgent.runs.front().front().units.front();
  REQUIRE(unit.reserved.size() == 1);
  // Another task ends while the preempted one is still being stopped.
  auto& quiet =
      place.tracker.Find(base::JobName("quiet"))->runs.front().front();
  for (auto& it : quiet.units) {
    if (it.is_stopping) continue;
    place.tracker.OnEnded(it, it.first_index, TaskOutcome::kDone, "",
                          place.now);
    break;
  }
  place.now += Duration(100);
  const auto decisions = place.planner.Decide(place.now);
  REQUIRE(decisions.starts.size() == 1);
  CHECK(decisions.starts.front() == &unit);
  CHECK(unit.reserved.empty());
}

TEST_CASE("what it costs to make room is told with each preempted unit") {
  Place place;
  place.OpenAll();
  auto& quiet = place.AddRackGang("quiet");
  place.AddRackGang("quiet2");
  CHECK(place.planner.Decide(place.now).starts.size() == 2);
  place.now += Duration(500);
  place.Add("urgent", 0, 1, WholeWorkers(1));
  const auto decisions = place.planner.Decide(place.now);
  CHECK(decisions.starts.empty());
  REQUIRE(decisions.preemptions.size() == 1);
  CHECK(decisions.preemptions[0].unit == &quiet);
  CHECK_FALSE(decisions.preemptions[0].is_guaranteed);
  // Two tasks of 9 cores (8 for the accelerators each) for half a second.
  CHECK(decisions.preemptions[0].lost_core_seconds == Approx(65.0));
  CHECK(quiet.is_stopping);
}

/// Tasks of one accelerator each.
jobs::Step SmallTasks(int tasks) {
  auto out = WholeWorkers(tasks);
  out.needs.accelerators = 1;
  return out;
}

TEST_CASE("no more tasks start at once than are asked for") {
  Place place;
  place.OpenAll();
  place.Add("quiet", 2, 2, SmallTasks(20));
  constexpr int kMost = 8;
  const auto first = place.planner.Decide(place.now, kMost);
  // A quarter is left for urgent work.
  CHECK(first.starts.size() == 6);
  CHECK(first.reached_start_limit);
  place.Add("urgent", 0, 2, SmallTasks(20));
  const auto second = place.planner.Decide(place.now, kMost);
  CHECK(second.starts.size() == 8);
  for (const auto* it : second.starts) {
    CHECK(it->step_run->job->job->priority == 0);
  }
  CHECK_FALSE(place.planner.Decide(place.now).reached_start_limit);
}

TEST_CASE("a gang starts whole when it passes what is asked for") {
  Place place;
  place.OpenAll();
  auto step = WholeWorkers(3);
  step.is_gang = true;
  place.Add("gang", 0, 2, step);
  place.Add("next", 0, 2, SmallTasks(1));
  const auto decisions = place.planner.Decide(place.now, 1);
  REQUIRE(decisions.starts.size() == 1);
  CHECK(decisions.starts.front()->members.size() == 3);
  CHECK(decisions.reached_start_limit);
  CHECK(place.planner.Decide(place.now, 0).starts.empty());
}

TEST_CASE("what is already stopped for one unit costs the next nothing") {
  Place place;
  place.OpenAll();
  // Each worker is taken by eight small tasks.
  place.Add("quiet", 2, 2, SmallTasks(32));
  REQUIRE(place.planner.Decide(place.now).starts.size() == 32);
  place.now += Duration(200);
  place.Add("first", 0, 3, SmallTasks(1));
  place.Add("second", 0, 3, SmallTasks(1));
  const auto decisions = place.planner.Decide(place.now);
  CHECK(decisions.preemptions.size() == 2);
  std::set<const Unit*> stopped;
  for (const auto& it : decisions.preemptions) stopped.insert(it.unit);
  CHECK(stopped.size() == 2);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
