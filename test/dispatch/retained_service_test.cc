#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "fakes/fake_row_store.h"
#include "fakes/fake_task_workers.h"
#include "fakes/virtual_time.h"
#include "jobs/jobs.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using base::JobName;
using base::ServiceName;
using fakes::StoreFault;
using jobs::JobState;

const ServiceName kOld("old");
const ServiceName kNew("new");

/// Three processes, each with the owners of its services, and two services with
/// two workers each. A queue that sent its jobs to `old` sends them to `new`
/// after Move.
class RetainedServiceWorld {
 public:
  RetainedServiceWorld() {
    constexpr int kWorkersPerService = 2;
    for (const auto& service : {kOld, kNew}) {
      for (int i = 0; i < kWorkersPerService; ++i) AddWorker(service, i);
    }
    workers.run_time = [this](const jobs::TaskName&) { return run_time; };
    configured_ = {kOld};
    for (int i = 0; i < kProcesses; ++i) Start(i);
    RunFor(1'500);
  }

  ~RetainedServiceWorld() {
    for (const auto& it : workers.violations()) FAIL_CHECK(it);
  }

  static constexpr int kProcesses = 3;

  void Start(int i) {
    auto& owners = owners_[i];
    owners = std::make_unique<ServiceOwners>(
        time, store.For(NameOf(i)),
        [this, i](const ServiceName& it) { return MakeOwner(i, it); },
        ServiceOwnersOptions{});
    owners->SetConfigured(configured_);
    owners->Start();
    for (const auto& [name, registration] : registrations_) {
      owners->PutWorker(registration);
    }
  }

  void Kill(int i) { owners_.erase(i); }

  void Move() {
    configured_ = {kNew};
    for (const auto& [i, it] : owners_) it->SetConfigured(configured_);
  }

  void MoveBack() {
    configured_ = {kOld};
    for (const auto& [i, it] : owners_) it->SetConfigured(configured_);
  }

  static jobs::Job MakeJob(const std::string& name,
                           const ServiceName& service) {
    jobs::Job out;
    out.name = JobName(name);
    out.spec = "spec";
    out.queue = jobs::QueueName("queue");
    out.service = service;
    out.max_attempts = 3;
    jobs::Step step;
    constexpr int kTasks = 3;
    step.tasks = kTasks;
    step.needs = {1'000, 1'000, 1};
    step.run_time_estimate = Duration(2'000);
    // The second step begins only after the queue was moved.
    out.steps = {step, step};
    out.steps[1].depends_on = {0};
    return out;
  }

  void Submit(const jobs::Job& job) {
    client_.Submit(job, [](const jobs::SubmitResult&) {});
    RunFor(300);
  }

  std::optional<JobState> StateOf(const std::string& job) {
    std::optional<JobState> out;
    client_.ReadState(kNew, JobName(job), [&out](const jobs::StateResult& it) {
      if (const auto* state = std::get_if<JobState>(&it)) out = *state;
    });
    RunFor(50);
    return out;
  }

  /// Whether each task of the job runs or ran on workers of `service` only.
  bool RunsOnlyOn(const ServiceName& service) const {
    return std::all_of(started_on_.begin(), started_on_.end(),
                       [&](const auto& it) {
                         return registrations_.at(it).service == service;
                       });
  }

  bool HasOwner(int i, const ServiceName& service) const {
    const auto services = owners_.at(i)->services();
    return std::find(services.begin(), services.end(), service) !=
           services.end();
  }

  void RunFor(int ms) { time.RunFor(Duration(ms)); }

  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  fakes::FakeTaskWorkers workers{time};
  Duration run_time{4'000};

 private:
  static std::string NameOf(int i) { return "vm" + std::to_string(i); }

  void AddWorker(const ServiceName& service, int i) {
    WorkerRegistration registration;
    registration.name =
        base::WorkerName(service.str() + "-" + std::to_string(i));
    registration.service = service;
    registration.endpoint = {
        "10.0.0.1", static_cast<std::uint16_t>(1 + registrations_.size())};
    registration.capacity = {64'000, 262'144, 8};
    registrations_[registration.name] = registration;
    workers.Add(registration);
    workers.on_start = [this](const base::WorkerName& it) {
      started_on_.push_back(it);
    };
  }

  std::unique_ptr<ServiceOwner> MakeOwner(int i, const ServiceName& service) {
    return std::make_unique<ServiceOwner>(
        ServiceOwnerDependencies{
            time, store.For(NameOf(i)), workers.For(NameOf(i)),
            [] { return Duration(0); },
            [this] { return time.Now().time_since_epoch().count(); }, nullptr,
            [this, i](bool is_owner) {
              if (!is_owner || !owners_.contains(i)) return;
              for (const auto& [name, registration] : registrations_) {
                owners_.at(i)->PutWorker(registration);
              }
            }},
        service, NameOf(i), ServiceOwnerOptions{});
  }

  std::set<ServiceName> configured_;
  std::map<base::WorkerName, WorkerRegistration> registrations_;
  std::vector<base::WorkerName> started_on_;
  std::map<int, std::unique_ptr<ServiceOwners>> owners_;
  jobs::JobService client_{store.For("entry")};
};

/// Guards against accepted jobs that nobody runs after their queue was moved
/// and the processes have restarted.
TEST_CASE("the jobs of a service without queues run on across restarts") {
  const bool is_in_turn = GENERATE(true, false);
  RetainedServiceWorld world;
  world.Submit(RetainedServiceWorld::MakeJob("a", kOld));
  world.RunFor(1'000);
  world.Move();
  for (int i = 0; i < RetainedServiceWorld::kProcesses; ++i) {
    world.Kill(i);
    if (!is_in_turn) continue;
    world.RunFor(500);
    world.Start(i);
    world.RunFor(3'000);
  }
  if (!is_in_turn) {
    world.RunFor(500);
    for (int i = 0; i < RetainedServiceWorld::kProcesses; ++i) world.Start(i);
  }
  world.RunFor(20'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.RunsOnlyOn(kOld));
  for (int i = 0; i < RetainedServiceWorld::kProcesses; ++i) {
    CHECK(world.HasOwner(i, kOld));
    CHECK(world.HasOwner(i, kNew));
  }
}

/// Guards against a service that is given up while its jobs take long, and
/// against one that keeps its owners for ever.
TEST_CASE("a service without queues is given up when its jobs are removed") {
  RetainedServiceWorld world;
  world.run_time = Duration(100'000);
  world.Submit(RetainedServiceWorld::MakeJob("a", kOld));
  world.RunFor(1'000);
  world.Move();
  constexpr int kJobMs = 200'000;
  world.RunFor(kJobMs - 5'000);
  CHECK(world.HasOwner(0, kOld));
  world.RunFor(10'000);
  REQUIRE(world.StateOf("a") == JobState::kCompleted);
  // Ended jobs stay known for this long.
  constexpr int kEndedJobRetentionMs = 180'000;
  world.RunFor(kEndedJobRetentionMs - 20'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.HasOwner(0, kOld));
  world.RunFor(20'000 + 120'000);
  for (int i = 0; i < RetainedServiceWorld::kProcesses; ++i) {
    CHECK_FALSE(world.HasOwner(i, kOld));
    CHECK(world.HasOwner(i, kNew));
  }
  CHECK(world.store.rows_in(std::string(jobs::kRequestTable)) == 0);
  world.MoveBack();
  world.run_time = Duration(500);
  world.RunFor(5'000);
  world.Submit(RetainedServiceWorld::MakeJob("b", kOld));
  world.RunFor(5'000);
  CHECK(world.StateOf("b") == JobState::kCompleted);
}

/// Guards against a service that is given up because it could not be read
/// whether it has jobs.
TEST_CASE("a failed search for jobs gives no service up") {
  const auto fault = GENERATE(StoreFault::kBusy, StoreFault::kSilent);
  RetainedServiceWorld world;
  world.Submit(RetainedServiceWorld::MakeJob("a", kOld));
  world.Move();
  world.store.SetFaultForAll(fault);
  world.RunFor(200'000);
  for (int i = 0; i < RetainedServiceWorld::kProcesses; ++i) {
    CHECK(world.HasOwner(i, kOld));
  }
  world.store.SetFaultForAll(StoreFault::kNone);
  world.RunFor(30'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
}

/// Guards against a late job of an outdated configuration that has no owner.
TEST_CASE("a job that is accepted late for a service is run") {
  RetainedServiceWorld world;
  world.Move();
  const int delay_ms = GENERATE(0, 7'000, 59'000, 150'000, 400'000);
  world.RunFor(delay_ms);
  world.run_time = Duration(500);
  world.Submit(RetainedServiceWorld::MakeJob("a", kOld));
  world.RunFor(40'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.RunsOnlyOn(kOld));
}

/// Guards against jobs of an earlier version that are lost by a moved queue.
TEST_CASE("jobs that an earlier version stored are found after a move") {
  RetainedServiceWorld world;
  jobs::JobService earlier_home(world.store.For("entry"));
  earlier_home.Prepare(kNew);
  world.RunFor(100);
  // The owner of `old` is not that of the home service only if `new` is.
  const auto home =
      jobs::DecodeIndexEntry(world.store.ValueOf("index", "home", "home"));
  REQUIRE(home);
  const auto service = *home == kOld ? kNew : kOld;
  world.Move();
  world.RunFor(3'000);
  constexpr int kJobs = 40;
  for (int i = 0; i < kJobs; ++i) {
    const auto job =
        RetainedServiceWorld::MakeJob("job" + std::to_string(i), service);
    world.store.Put("requests", jobs::RequestPartition(service, job.name),
                    job.name.str(), jobs::EncodeJob(job));
  }
  world.RunFor(2'000);
  CHECK(world.store.rows_in("index") == 1 + kJobs);
  const auto job = RetainedServiceWorld::MakeJob("job7", *home);
  world.Submit(job);
  CHECK(world.store.rows_in("requests") == kJobs);
  // Entries go with the jobs.
  world.run_time = Duration(100);
  world.RunFor(250'000);
  CHECK(world.store.rows_in("requests") == 0);
  CHECK(world.store.rows_in("index") == 1);
}

}  // namespace
}  // namespace lapishatch::dispatch
