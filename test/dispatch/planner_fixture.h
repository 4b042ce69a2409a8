#ifndef LAPISHATCH_TEST_DISPATCH_PLANNER_FIXTURE_H_
#define LAPISHATCH_TEST_DISPATCH_PLANNER_FIXTURE_H_

#include <memory>
#include <string>

#include "dispatch/internal/task_planner.h"

namespace lapishatch::dispatch::internal {

/// A step of `tasks` tasks of a whole worker each.
inline jobs::Step WholeWorkers(int tasks) {
  jobs::Step out;
  out.tasks = tasks;
  out.needs = {1'000, 1'000, 8};
  out.run_time_estimate = base::Duration(4'000);
  return out;
}

/// Four workers with eight accelerators each on two racks, and the jobs that
/// run on them.
struct PlannerFixture {
  Fleet fleet;
  JobTracker tracker{fleet};
  TaskPlanner planner{tracker, fleet, {}};
  base::TimePoint now{base::Duration(100'000)};

  PlannerFixture() {
    std::uint16_t port = 0;
    for (const auto* name : {"a0", "a1", "b0", "b1"}) {
      WorkerRegistration registration;
      registration.endpoint = {"10.0.0.1", ++port};
      registration.name = base::WorkerName(name);
      registration.rack = base::RackName(std::string(1, name[0]));
      registration.capacity = {64'000, 262'144, 8};
      fleet.Put(registration);
    }
  }

  void MakeAllSchedulable() {
    for (auto& [name, worker] : fleet.workers()) worker.is_schedulable = true;
  }

  void Fill(const char* worker, std::int64_t accelerators = 8) {
    fleet.Allocate(base::WorkerName(worker), {64'000, 1'000, accelerators});
  }

  /// Adds a gang of two whole workers that prefers a single rack.
  Unit& AddRackGang(const char* name, base::Duration age = base::Duration(0)) {
    auto step = WholeWorkers(2);
    step.is_gang = true;
    step.prefers_single_rack = true;
    auto& entry = Add(name, 1, 1, step, age);
    return entry.runs.front().front().units.front();
  }

  JobEntry& Add(const char* name, int priority, int attempts,
                const jobs::Step& step,
                base::Duration age = base::Duration(0)) {
    jobs::Job job;
    job.name = base::JobName(name);
    job.priority = priority;
    job.max_attempts = attempts;
    // Urgent jobs have time to spare, since only jobs that are in time may
    // preempt others.
    if (priority == 0) job.slack_factor = 3;
    job.steps.push_back(step);
    return Add(job, age);
  }

  JobEntry& Add(const jobs::Job& job, base::Duration age = base::Duration(0)) {
    return *tracker.Add(std::make_shared<const jobs::Job>(job), nullptr,
                        store::kAbsent, age, now);
  }
};

/// Tasks of one accelerator each.
inline jobs::Step SmallTasks(int tasks) {
  auto out = WholeWorkers(tasks);
  out.needs.accelerators = 1;
  return out;
}

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_TEST_DISPATCH_PLANNER_FIXTURE_H_
