// What the owner of a service costs in processor time, in virtual time, with
// real planning and recording against fake workers and a fake store: 350
// workers at half, once and twice the load of the users' grown deployment, and
// larger fleets with as much load a worker. The fakes' own time is part of it.

#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "dispatch/dispatch.h"
#include "fakes/fake_row_store.h"
#include "fakes/fake_task_workers.h"
#include "fakes/virtual_time.h"
#include "jobs/jobs.h"

namespace lapishatch::dispatch {
namespace {

constexpr const char* kService = "survey";

/// A class of jobs as described in the users' workload data.
struct JobKind {
  double arrivals_per_second = 0;
  int priority = 0;
  int mean_tasks = 1;
  int run_ms = 0;
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  bool is_gang = false;
  int max_accelerators = 1;
  double slack_factor = 1;
  int target_latency_ms = 0;
};

constexpr JobKind kJobKinds[] = {
    {2.07, 1, 13, 8'500, 26'000, 75'000, true, 8, 3.0, 1'000},
    {11.0, 0, 5, 2'500, 7'500, 39'000, true, 8, 1.5, 300},
    {2.54, 2, 39, 6'100, 5'600, 29'000, false, 1, 3.0, 3'000},
};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class Deployment {
 public:
  Deployment(int workers, double load)
      : store_(time_), workers_(time_), load_(load) {
    workers_.run_time = [this](const jobs::TaskName& task) {
      return StepOf(task).run_time_estimate;
    };
    workers_.gang_size = [this](const jobs::TaskName& task) {
      const auto& step = StepOf(task);
      return step.is_gang ? step.tasks : 1;
    };
    owner_ = std::make_unique<ServiceOwner>(
        ServiceOwnerDependencies{
            time_, store_.For("vm"), workers_.For("vm"),
            [] { return base::Duration(0); },
            [this] { return time_.Now().time_since_epoch().count(); }},
        base::ServiceName(kService), "vm", ServiceOwnerOptions{});
    for (int i = 0; i < workers; ++i) AddWorker(i);
    owner_->Start();
    time_.RunFor(base::Duration(2'000));
    for (const auto& it : kJobKinds) ScheduleArrivals(it);
  }

  /// Runs for `length` of virtual time and returns the processor seconds used.
  double Run(base::Duration length) {
    const auto before = ProcessorSeconds();
    time_.RunFor(length);
    return ProcessorSeconds() - before;
  }

  std::size_t running() const { return workers_.running(); }
  std::size_t jobs() const { return jobs_.size(); }

 private:
  const jobs::Step& StepOf(const jobs::TaskName& task) const {
    return jobs_.at(task.job).steps[static_cast<std::size_t>(task.step)];
  }

  void AddWorker(int i) {
    constexpr int kWorkersPerRack = 20;
    WorkerRegistration entry;
    entry.name = base::WorkerName("w" + std::to_string(i));
    entry.service = base::ServiceName(kService);
    entry.rack = base::RackName("r" + std::to_string(i / kWorkersPerRack));
    entry.labels = {"a", entry.rack.str()};
    entry.capacity = {64'000, 262'144, 8};
    workers_.Add(entry);
    owner_->PutWorker(entry);
  }

  void ScheduleArrivals(const JobKind& kind) {
    std::exponential_distribution<double> interarrival(
        kind.arrivals_per_second * load_);
    const auto wait = static_cast<std::int64_t>(1'000 * interarrival(random_));
    time_.After(base::Duration(wait), [this, &kind] {
      Submit(kind);
      ScheduleArrivals(kind);
    });
  }

  void Submit(const JobKind& kind) {
    jobs::Job job;
    job.name = base::JobName("job" + std::to_string(jobs_.size()));
    job.queue = jobs::QueueName("q" + std::to_string(kind.priority));
    job.service = base::ServiceName(kService);
    job.organisation = base::OrganisationName("crews");
    job.priority = kind.priority;
    job.max_attempts = 3;
    job.slack_factor = kind.slack_factor;
    job.target_latency = base::Duration(kind.target_latency_ms);
    job.accepted_ms = time_.Now().time_since_epoch().count();
    jobs::Step step;
    std::uniform_int_distribution<int> tasks(1, 2 * kind.mean_tasks - 1);
    step.tasks = tasks(random_);
    step.is_gang = kind.is_gang && step.tasks > 1;
    step.prefers_single_rack = step.is_gang && random_() % 10 < 7;
    std::uniform_int_distribution<int> doublings(0, 3);
    const int accelerators =
        std::min(1 << doublings(random_), kind.max_accelerators);
    step.needs = {kind.cpu_millis, kind.memory_mb, accelerators};
    step.run_time_estimate = base::Duration(kind.run_ms);
    job.steps.push_back(step);
    jobs_[job.name] = job;
    job_service_.Submit(job, [](const jobs::SubmitResult&) {});
  }

  fakes::VirtualTime time_;
  fakes::FakeRowStore store_;
  fakes::FakeTaskWorkers workers_;
  const double load_;
  base::Random random_{1};
  std::map<base::JobName, jobs::Job> jobs_;
  jobs::JobService job_service_{store_.For("entry")};
  std::unique_ptr<ServiceOwner> owner_;
};

/// Number of workers for which the load of kJobKinds is specified.
constexpr int kBaseWorkers = 350;

void Measure(int workers, double load) {
  constexpr base::Duration kDuration{15'000};
  Deployment deployment(workers, load * workers / kBaseWorkers);
  const auto used = deployment.Run(kDuration);
  const auto seconds = std::chrono::duration<double>(kDuration).count();
  std::printf("job_owner_cores_%d_workers_load_%.1f %.3f cores\n", workers,
              load, used / seconds);
  std::printf("job_owner_running_%d_workers_load_%.1f %zu tasks\n", workers,
              load, deployment.running());
}

int Main() {
  base::StartBoundedLog("bench", base::Severity::kError);
  for (const double load : {0.5, 1.0, 2.0}) Measure(kBaseWorkers, load);
  for (const int workers : {1'100, 3'000, 8'500}) Measure(workers, 1.0);
  return 0;
}

}  // namespace
}  // namespace lapishatch::dispatch

int main() { return lapishatch::dispatch::Main(); }
