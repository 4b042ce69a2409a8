#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;

/// A bound on ending a run that has to stop: a stop, its retry, and the report
/// that lists the end.
constexpr int kStopBoundMs = 2'500;

/// A service whose workers' registrations may be missing after a takeover.
struct UnknownWorkerWorld : OwnerWorld {
  explicit UnknownWorkerWorld(int workers = 2) : OwnerWorld(1, workers) {
    this->workers().run_time = [](const jobs::TaskName&) {
      return Duration(120'000);
    };
    RunFor(1'500);
  }

  ~UnknownWorkerWorld() {
    for (const auto& it : workers().violations()) FAIL_CHECK(it);
  }

  jobs::TaskName Start(const std::string& name) {
    Submit(MakeJob(name, 1, 1));
    RunFor(500);
    jobs::TaskName out{base::JobName(name), 0, 0, 0};
    REQUIRE(workers().IsRunning(out));
    return out;
  }

  /// The owner is killed and `vm` takes over while the worker is not
  /// registered. Returns its registration.
  WorkerRegistration TakeOverWithout(const base::WorkerName& worker,
                                     const std::string& vm) {
    auto out = RegistrationOf(worker);
    KillOwner(OwnerName());
    Deregister(worker);
    StartOwner(vm);
    for (int i = 0; i < 100 && OwnerName().empty(); ++i) RunFor(50);
    RunFor(200);
    REQUIRE(OwnerName() == vm);
    return out;
  }
};

/// Guards against a cancelled task that runs on because its stop was skipped
/// while its worker was unknown.
TEST_CASE("a stop that is due before its worker is known is sent afterwards") {
  UnknownWorkerWorld world;
  const auto task = world.Start("a");
  const auto worker = world.workers().FindWorkerRunning(task);
  const auto registration = world.TakeOverWithout(worker, "vm1");
  world.Cancel("a");
  world.RunFor(400);
  REQUIRE(world.workers().IsRunning(task));
  world.Reregister(registration);
  world.RunFor(kStopBoundMs);
  CHECK_FALSE(world.workers().IsRunning(task));
  CHECK(world.workers().starts(task) == 1);
  CHECK(world.StateOf("a") == jobs::JobState::kCancelled);
}

/// Guards against the same after a second takeover with the worker unknown.
TEST_CASE("a stop that two owners in a row could not send is sent") {
  UnknownWorkerWorld world;
  const auto task = world.Start("a");
  const auto worker = world.workers().FindWorkerRunning(task);
  const auto registration = world.TakeOverWithout(worker, "vm1");
  world.Cancel("a");
  world.RunFor(300);
  world.KillOwner("vm1");
  world.StartOwner("vm2");
  for (int i = 0; i < 100 && world.OwnerName().empty(); ++i) world.RunFor(50);
  world.RunFor(200);
  REQUIRE(world.workers().IsRunning(task));
  world.Reregister(registration);
  world.RunFor(kStopBoundMs);
  CHECK_FALSE(world.workers().IsRunning(task));
}

/// Guards against a gang of which only the tasks on known workers are stopped.
TEST_CASE("a cancelled gang is stopped on workers that become known late") {
  UnknownWorkerWorld world;
  auto job = OwnerWorld::MakeJob("gang", 2, OwnerWorld::kAccelerators);
  job.steps[0].is_gang = true;
  world.Submit(job);
  world.RunFor(500);
  REQUIRE(world.workers().running() == 2);
  const jobs::TaskName second{job.name, 0, 0, 1};
  const auto worker = world.workers().FindWorkerRunning(second);
  const auto registration = world.TakeOverWithout(worker, "vm1");
  world.Cancel("gang");
  world.RunFor(400);
  world.Reregister(registration);
  world.RunFor(kStopBoundMs);
  CHECK(world.workers().running() == 0);
}

/// Guards against a run of a removed job that nobody stops.
TEST_CASE("a run of a job without a row is stopped once its worker is known") {
  UnknownWorkerWorld world;
  const auto task = world.Start("a");
  const auto worker = world.workers().FindWorkerRunning(task);
  const auto registration = world.RegistrationOf(worker);
  world.KillOwner("vm0");
  world.Deregister(worker);
  world.store().Remove(
      std::string(jobs::kRequestTable),
      jobs::RequestPartition(base::ServiceName(OwnerWorld::kService), task.job),
      "a");
  world.StartOwner("vm1");
  for (int i = 0; i < 100 && world.OwnerName().empty(); ++i) world.RunFor(50);
  world.RunFor(300);
  REQUIRE(world.workers().IsRunning(task));
  world.Reregister(registration);
  world.RunFor(kStopBoundMs);
  CHECK_FALSE(world.workers().IsRunning(task));
}

/// Guards against a stop that is not repeated after some answer to it.
TEST_CASE("a stop is repeated until the end of its task is listed") {
  const std::vector<StopResult> answers = {
      NotSent{"no connection"},
      NoAnswer{"timeout"},
      OtherIncarnation{},
      Refused{RefusalReason::kStaleRun},
      Refused{RefusalReason::kExpired},
      Refused{RefusalReason::kInsufficientCapacity},
      Refused{RefusalReason::kInvalid},
      Refused{RefusalReason::kUnhealthy},
      // It says so, but the task runs on.
      Stopped{},
  };
  for (const auto& answer : answers) {
    INFO("answer " << answer.index());
    UnknownWorkerWorld world;
    const auto task = world.Start("a");
    int faults = 3;
    world.workers().stop_fault = [&]() -> std::optional<StopResult> {
      if (faults-- <= 0) return std::nullopt;
      return answer;
    };
    world.Cancel("a");
    world.RunFor(2 * kStopBoundMs);
    CHECK_FALSE(world.workers().IsRunning(task));
    CHECK(faults < 0);
  }
}

/// A history in which workers' registrations, connections, the store and the
/// owner fail at random while jobs are cancelled, and then are all well again.
class StopHistory {
 public:
  explicit StopHistory(std::uint64_t seed) : random_(seed), world_(kWorkers) {}

  void Run() {
    for (int i = 0; i < kJobs; ++i) {
      auto job = OwnerWorld::MakeJob(NameOf(i), Draw(1, kMaxTasks), 1);
      job.steps[0].is_gang = Draw(1, 3) == 1;
      job.priority = Draw(0, 1);
      world_.Submit(job);
      world_.RunFor(Draw(50, 600));
      InjectFault();
      world_.RunFor(Draw(50, 1'500));
      if (Draw(1, 3) == 1) world_.SetCostForAll(Duration(0));
      cancelled_.push_back(NameOf(Draw(0, i)));
      world_.Cancel(cancelled_.back());
    }
    Repair();
    world_.RunFor(2'000);
    // A call may have failed with the store.
    for (const auto& it : cancelled_) world_.Cancel(it);
    constexpr int kSettlingTimeMs = 12'000;
    world_.RunFor(kSettlingTimeMs);
  }

  /// Tasks of cancelled jobs that run.
  std::vector<std::string> Running() {
    std::vector<std::string> out;
    for (const auto& it : cancelled_) {
      for (int i = 0; i < kMaxTasks; ++i) {
        const jobs::TaskName task{base::JobName(it), 0, 0, i};
        if (world_.workers().IsRunning(task)) {
          out.push_back(it + '/' + std::to_string(i));
        }
      }
    }
    return out;
  }

  /// Whether the owner reports that nothing has to stop.
  bool HasNothingToStop() {
    return world_.metrics().Render().find(
               "lapishatch_tasks_stopping{service=\"survey\"} 0") !=
           std::string::npos;
  }

 private:
  static constexpr int kWorkers = 4;
  static constexpr int kJobs = 10;
  static constexpr int kMaxTasks = 4;

  static std::string NameOf(int job) { return "job" + std::to_string(job); }

  int Draw(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

  void InjectFault() {
    const auto worker = OwnerWorld::WorkerNameAt(Draw(0, kWorkers - 1));
    const auto owner = world_.OwnerName();
    switch (Draw(0, 11)) {
      case 0:
        ReplaceOwner();
        break;
      case 1:
      case 9:
      case 10:
        // As after an outage of the store in which registrations expired.
        Deregister(worker);
        ReplaceOwner();
        break;
      case 2:
        world_.workers().Disconnect("", worker);
        cut_.push_back(worker);
        break;
      case 3:
        world_.store().SetFaultForAll(fakes::StoreFault::kBusy);
        break;
      case 4:
        world_.workers().DelayNextStart(worker, Duration(Draw(500, 5'000)));
        break;
      case 5:
        if (IsRegistered(worker)) {
          world_.Drain(worker, Duration(Draw(0, 3'000)));
        }
        break;
      case 6:
        if (!owner.empty()) world_.SetCost(owner, Duration(Draw(50, 2'000)));
        break;
      case 7:
        if (!owner.empty()) world_.workers().Sever(owner);
        break;
      case 8:
        // Without evacuations the owner starts nothing and hands over.
        if (!owner.empty()) PauseEvacuations(owner);
        break;
      default:
        Repair();
        break;
    }
  }

  bool IsRegistered(const base::WorkerName& worker) const {
    return std::none_of(missing_.begin(), missing_.end(),
                        [&](const auto& it) { return it.name == worker; });
  }

  void Deregister(const base::WorkerName& worker) {
    if (!IsRegistered(worker)) return;
    missing_.push_back(world_.RegistrationOf(worker));
    world_.Deregister(worker);
  }

  void ReplaceOwner() {
    const auto owner = world_.OwnerName();
    if (owner.empty()) return;
    world_.KillOwner(owner);
    world_.StartOwner("vm" + std::to_string(vms_++));
  }

  void PauseEvacuations(const std::string& owner) {
    world_.PauseEvacuations(owner);
    paused_.push_back(owner);
  }

  void Repair() {
    for (const auto& it : missing_) world_.Reregister(it);
    missing_.clear();
    for (const auto& it : cut_) world_.workers().Reconnect("", it);
    cut_.clear();
    for (const auto& it : paused_) world_.ResumeEvacuations(it);
    paused_.clear();
    world_.SetCostForAll(Duration(0));
    world_.store().SetFaultForAll(fakes::StoreFault::kNone);
  }

  std::mt19937_64 random_;
  UnknownWorkerWorld world_;
  int vms_ = 1;
  std::vector<WorkerRegistration> missing_;
  std::vector<base::WorkerName> cut_;
  std::vector<std::string> paused_;
  std::vector<std::string> cancelled_;
};

/// Guards against stops that are skipped, lost or forgotten in any state of the
/// worker and of the owner.
TEST_CASE("whatever has to stop is stopped in histories of random faults") {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    StopHistory history(seed);
    history.Run();
    INFO("seed " << seed);
    CAPTURE(history.Running());
    CHECK(history.Running().empty());
    CHECK(history.HasNothingToStop());
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
