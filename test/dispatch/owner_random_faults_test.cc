#include <catch2/catch.hpp>
#include <random>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;

constexpr int kOwners = 3;
constexpr int kWorkers = 6;
constexpr int kJobs = 14;
constexpr jobs::Resources kFullCapacity{
    OwnerWorld::kCoresMillis, OwnerWorld::kMemoryMb, OwnerWorld::kAccelerators};

/// Submits jobs of varied shapes while a seeded random generator injects
/// faults: owner processes are killed and restarted, workers lose connections,
/// crash or start tasks late, and the store fails in several ways. All faults
/// are repaired at the end, after which every job must end.
class RandomFaultScenario {
 public:
  static constexpr const char* kCrashJob = "crash";

  /// `has_slow_vms`: also changes the speed of the owners' processors.
  RandomFaultScenario(std::uint64_t seed, bool has_slow_vms)
      : random_(seed), has_slow_vms_(has_slow_vms), world_(kOwners, kWorkers) {
    world_.workers().closes_connections = seed % 2 == 0;
    world_.workers().run_time = [this](const jobs::TaskName&) {
      return base::Duration(RandomInt(300, 5'000));
    };
    world_.workers().outcome = [this](const jobs::TaskName&, int) {
      return RandomInt(1, 12) == 1 ? TaskOutcome::kFailed : TaskOutcome::kDone;
    };
  }

  /// Also crashes and restarts workers, under their own names or others,
  /// changes worker capacities, and submits a job whose tasks crash their
  /// workers if `has_crash_job`. Call before Run.
  void EnableWorkerFaults(bool keeps_names, bool has_crash_job = true) {
    has_worker_faults_ = true;
    has_crash_job_ = has_crash_job;
    const base::Duration downtime(RandomInt(50, 3'000));
    if (keeps_names) {
      world_.RestartCrashedUnderSameName(downtime);
    } else {
      world_.RestartCrashed(downtime);
    }
    const base::Duration crash_delay(RandomInt(0, 2'500));
    world_.workers().run_time = [this](const jobs::TaskName& task) {
      constexpr base::Duration kCrashJobRunTime{30'000};
      return task.job.str() == kCrashJob
                 ? kCrashJobRunTime
                 : base::Duration(RandomInt(300, 5'000));
    };
    world_.workers().crash_after = [crash_delay](const jobs::TaskName& task) {
      return task.job.str() == kCrashJob ? std::optional(crash_delay)
                                         : std::nullopt;
    };
  }

  void Run() {
    world_.RunFor(500);
    for (int i = 0; i < kJobs; ++i) {
      Submit(i);
      InjectRandomFault();
      if (has_slow_vms_) ChangeProcessorCost();
      if (has_worker_faults_) InjectWorkerFaults(i);
      world_.RunFor(RandomInt(50, 1'500));
    }
    RepairAll();
    constexpr int kSettlingTimeMs = 90'000;
    world_.RunFor(kSettlingTimeMs);
  }

  OwnerWorld& world() { return world_; }

  /// Largest number of workers that crashed under one task of the job.
  int MostCrashes(const jobs::Job& job) {
    int out = 0;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
      for (int i = 0; i < job.steps[step].tasks; ++i) {
        const jobs::TaskName task{job.name, 0, static_cast<int>(step), i};
        out = std::max(out, world_.workers().crashes(task));
      }
    }
    return out;
  }
  const std::string& trace() const { return trace_; }

 private:
  int RandomInt(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

  void AddToTrace(const std::string& event) {
    trace_ += std::to_string(world_.time().Now().time_since_epoch().count()) +
              ' ' + event + '\n';
  }

  void Submit(int i) {
    constexpr int kMaxTasks = 8;
    auto job = OwnerWorld::MakeJob("job" + std::to_string(i),
                                   RandomInt(1, kMaxTasks), RandomInt(0, 3));
    job.priority = RandomInt(0, 2);
    // Permanent failure has its own tests; here every job can complete.
    job.max_attempts = 50;
    job.steps[0].is_gang = RandomInt(1, 3) == 1;
    if (RandomInt(1, 3) == 1) {
      job.steps.push_back(job.steps.front());
      job.steps.back().depends_on = {0};
      job.steps.back().is_gang = false;
    }
    world_.Submit(job);
    if (RandomInt(1, 8) == 1) world_.Cancel(job.name.str());
  }

  void InjectWorkerFaults(int i) {
    constexpr int kCrashJobIndex = 3;
    if (has_crash_job_ && i == kCrashJobIndex) {
      auto job =
          OwnerWorld::MakeJob(kCrashJob, RandomInt(1, 3), RandomInt(0, 3));
      job.max_attempts = 50;
      job.steps[0].is_gang = RandomInt(1, 3) == 1;
      world_.Submit(job);
    }
    const auto worker = world_.CurrentWorkerName(RandomInt(0, kWorkers - 1));
    if (RandomInt(1, 4) == 1) {
      AddToTrace("crash " + worker.str());
      world_.workers().Crash(worker);
    }
    if (RandomInt(1, 3) == 1) {
      auto capacity = kFullCapacity;
      capacity.accelerators = RandomInt(0, OwnerWorld::kAccelerators);
      AddToTrace("change capacity of " + worker.str());
      world_.SetCapacity(worker, capacity, base::Duration(RandomInt(0, 1'500)));
    }
  }

  std::string RandomOwnerName() {
    return "vm" + std::to_string(RandomInt(0, kOwners - 1));
  }
  base::WorkerName RandomWorkerName() {
    return OwnerWorld::WorkerNameAt(RandomInt(0, kWorkers - 1));
  }

  void InjectRandomFault() {
    auto owner = world_.OwnerName();
    if (owner.empty() || RandomInt(1, 2) == 1) owner = RandomOwnerName();
    const auto worker = RandomWorkerName();
    switch (RandomInt(0, 9)) {
      case 0:
        AddToTrace("kill " + owner);
        world_.KillOwner(owner);
        killed_owners_.insert(owner);
        break;
      case 1:
        for (const auto& it : killed_owners_) world_.StartOwner(it);
        killed_owners_.clear();
        break;
      case 2:
        AddToTrace("cut " + worker.str() + " from " + owner);
        world_.workers().Disconnect(owner, worker);
        cuts_.emplace_back(owner, worker);
        break;
      case 3:
        AddToTrace("cut " + worker.str());
        world_.workers().Disconnect("", worker);
        cuts_.emplace_back("", worker);
        break;
      case 4:
        for (const auto& [from, to] : cuts_) {
          world_.workers().Reconnect(from, to);
        }
        cuts_.clear();
        break;
      case 5:
        AddToTrace("delay the next start on " + worker.str());
        world_.workers().DelayNextStart(worker,
                                        base::Duration(RandomInt(500, 9'000)));
        break;
      case 6:
        InjectStoreFault(owner);
        break;
      case 7:
        world_.store().SetFaultForAll(RandomInt(1, 2) == 1 ? StoreFault::kSilent
                                                           : StoreFault::kNone);
        break;
      case 8:
        world_.store().DropHistory();
        break;
      default:
        RepairStore();
        break;
    }
  }

  void InjectStoreFault(const std::string& owner) {
    constexpr std::array kStoreFaults = {StoreFault::kSilent, StoreFault::kBusy,
                                         StoreFault::kAnswersLost,
                                         StoreFault::kLate};
    const auto fault = kStoreFaults[static_cast<std::size_t>(RandomInt(0, 3))];
    AddToTrace("store fault " + std::to_string(static_cast<int>(fault)) +
               " for " + owner);
    world_.store().SetFault(owner, fault);
  }

  void RepairStore() {
    world_.store().SetFaultForAll(StoreFault::kNone);
    for (int i = 0; i < kOwners; ++i) {
      world_.store().SetFault("vm" + std::to_string(i), StoreFault::kNone);
    }
  }

  /// Changes what an event loop task costs a random owner, from nothing to so
  /// much that the work that arrives in one second takes several seconds.
  void ChangeProcessorCost() {
    constexpr std::array kCostsMs = {0, 2, 10, 30, 60};
    const auto owner = RandomOwnerName();
    const int cost = kCostsMs[static_cast<std::size_t>(RandomInt(0, 4))];
    AddToTrace(owner + " takes " + std::to_string(cost) + " ms per task");
    world_.SetCost(owner, base::Duration(cost));
  }

  void RepairAll() {
    AddToTrace("mend");
    RepairStore();
    world_.SetCostForAll(base::Duration(0));
    for (const auto& [from, to] : cuts_) world_.workers().Reconnect(from, to);
    for (const auto& it : killed_owners_) world_.StartOwner(it);
    if (has_worker_faults_) RestoreCapacities();
  }

  void RestoreCapacities() {
    // A worker restarts with the capacity that its registration showed at the
    // crash, so wait for pending restarts before restoring full capacity.
    constexpr int kRestartWaitMs = 4'000;
    world_.RunFor(kRestartWaitMs);
    for (int i = 0; i < kWorkers; ++i) {
      world_.SetCapacity(world_.CurrentWorkerName(i), kFullCapacity);
    }
  }

  std::mt19937_64 random_;
  const bool has_slow_vms_;
  OwnerWorld world_;
  bool has_worker_faults_ = false;
  bool has_crash_job_ = false;
  std::set<std::string> killed_owners_;
  std::vector<std::pair<std::string, base::WorkerName>> cuts_;
  std::string trace_;
};

/// Checks that the workers recorded no violation, that every accepted job has
/// ended, and that no task is left running.
void RunAndCheck(RandomFaultScenario& scenario, std::uint64_t seed) {
  scenario.Run();
  INFO("seed " << seed << '\n' << scenario.trace());
  const auto& violations = scenario.world().workers().violations();
  INFO((violations.empty() ? "" : violations.front()));
  CHECK(violations.empty());
  for (const auto& [name, job] : scenario.world().jobs()) {
    const auto state = scenario.world().StateOf(name.str());
    INFO(name);
    // A job whose submission was not confirmed may be absent from the store.
    CHECK((!state || IsFinal(*state)));
    // Only a task under which two workers crashed may fail its job.
    if (state == jobs::JobState::kFailed) {
      CHECK(scenario.MostCrashes(job) >= 2);
    }
  }
  CHECK(scenario.world().workers().running() == 0);
}

constexpr std::uint64_t kSeeds = 400;

TEST_CASE("random faults run no task twice and lose no job") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, false);
    RunAndCheck(scenario, seed);
  }
}

TEST_CASE("random faults with slow owners run no task twice and lose no job") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, true);
    RunAndCheck(scenario, seed);
  }
}

TEST_CASE(
    "random crashes and capacity changes run no task twice and lose no job") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, false);
    scenario.EnableWorkerFaults(false);
    RunAndCheck(scenario, seed);
  }
}

TEST_CASE("workers that restart under their names run no task twice") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, false);
    scenario.EnableWorkerFaults(true, false);
    RunAndCheck(scenario, seed);
  }
}

TEST_CASE("workers whose restart is registered late run no task twice") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, false);
    scenario.EnableWorkerFaults(true, false);
    constexpr std::uint64_t kDelayStepMs = 50;
    constexpr std::uint64_t kDelays = 40;
    scenario.world().registration_delay =
        base::Duration(kDelayStepMs * (seed % kDelays));
    RunAndCheck(scenario, seed);
  }
}

TEST_CASE("a task that crashes workers which keep their names is given up") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaultScenario scenario(seed, false);
    scenario.EnableWorkerFaults(true);
    RunAndCheck(scenario, seed);
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
