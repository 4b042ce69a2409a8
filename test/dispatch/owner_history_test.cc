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

/// One history: jobs of all shapes while processes are killed and started,
/// workers are cut off, crash or are slow to answer, and the store fails in its
/// ways. Everything is whole again at the end, and then every job must end.
class History {
 public:
  static constexpr const char* kCrashJob = "crash";

  /// `has_slow_vms`: the owners' processors get slow and fast again as well.
  History(std::uint64_t seed, bool has_slow_vms)
      : random_(seed), has_slow_vms_(has_slow_vms), world_(kOwners, kWorkers) {
    world_.workers().run_time = [this](const jobs::TaskName&) {
      return base::Duration(Draw(300, 5'000));
    };
    world_.workers().outcome = [this](const jobs::TaskName&, int) {
      return Draw(1, 12) == 1 ? TaskOutcome::kFailed : TaskOutcome::kDone;
    };
  }

  /// Also crashes and restarts workers, submits a job whose tasks crash their
  /// workers, and changes worker capacities. Call before Play.
  void AddCrashes() {
    has_crashes_ = true;
    world_.RestartCrashed(base::Duration(Draw(50, 3'000)));
    const base::Duration crash_delay(Draw(0, 2'500));
    world_.workers().run_time = [this](const jobs::TaskName& task) {
      constexpr base::Duration kCrashJobRunTime{30'000};
      return task.job.str() == kCrashJob ? kCrashJobRunTime
                                         : base::Duration(Draw(300, 5'000));
    };
    world_.workers().crash_after = [crash_delay](const jobs::TaskName& task) {
      return task.job.str() == kCrashJob ? std::optional(crash_delay)
                                         : std::nullopt;
    };
  }

  void Play() {
    world_.RunFor(500);
    for (int i = 0; i < kJobs; ++i) {
      Submit(i);
      Disturb();
      if (has_slow_vms_) SlowDown();
      if (has_crashes_) DisturbWorkers(i);
      world_.RunFor(Draw(50, 1'500));
    }
    Mend();
    constexpr int kSettled = 90'000;
    world_.RunFor(kSettled);
  }

  OwnerWorld& world() { return world_; }
  const std::string& trace() const { return trace_; }

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  void Note(const std::string& what) {
    trace_ += std::to_string(world_.time().Now().time_since_epoch().count()) +
              ' ' + what + '\n';
  }

  void Submit(int i) {
    constexpr int kMostTasks = 8;
    auto job = OwnerWorld::MakeJob("job" + std::to_string(i),
                                   Draw(1, kMostTasks), Draw(0, 3));
    job.priority = Draw(0, 2);
    // Failing for good has tests of its own; here every job can end well.
    job.max_attempts = 50;
    job.steps[0].is_gang = Draw(1, 3) == 1;
    if (Draw(1, 3) == 1) {
      job.steps.push_back(job.steps.front());
      job.steps.back().depends_on = {0};
      job.steps.back().is_gang = false;
    }
    world_.Submit(job);
    if (Draw(1, 8) == 1) world_.Cancel(job.name.str());
  }

  void DisturbWorkers(int i) {
    constexpr int kCrashJobIndex = 3;
    if (i == kCrashJobIndex) {
      auto job = OwnerWorld::MakeJob(kCrashJob, Draw(1, 3), Draw(0, 3));
      job.max_attempts = 50;
      job.steps[0].is_gang = Draw(1, 3) == 1;
      world_.Submit(job);
    }
    const auto worker = world_.CurrentWorkerName(Draw(0, kWorkers - 1));
    if (Draw(1, 4) == 1) {
      Note("crash " + worker.str());
      world_.workers().Crash(worker);
    }
    if (Draw(1, 3) == 1) {
      auto capacity = kFullCapacity;
      capacity.accelerators = Draw(0, OwnerWorld::kAccelerators);
      Note("change capacity of " + worker.str());
      world_.SetCapacity(worker, capacity, base::Duration(Draw(0, 1'500)));
    }
  }

  std::string AnyOwner() { return "vm" + std::to_string(Draw(0, kOwners - 1)); }
  base::WorkerName AnyWorker() {
    return OwnerWorld::WorkerCalled(Draw(0, kWorkers - 1));
  }

  void Disturb() {
    auto owner = world_.OwnerName();
    if (owner.empty() || Draw(1, 2) == 1) owner = AnyOwner();
    const auto worker = AnyWorker();
    switch (Draw(0, 9)) {
      case 0:
        Note("kill " + owner);
        world_.KillOwner(owner);
        killed_.insert(owner);
        break;
      case 1:
        for (const auto& it : killed_) world_.StartOwner(it);
        killed_.clear();
        break;
      case 2:
        Note("cut " + worker.str() + " from " + owner);
        world_.workers().Cut(owner, worker);
        cuts_.emplace_back(owner, worker);
        break;
      case 3:
        Note("cut " + worker.str());
        world_.workers().Cut("", worker);
        cuts_.emplace_back("", worker);
        break;
      case 4:
        for (const auto& [from, to] : cuts_) world_.workers().Join(from, to);
        cuts_.clear();
        break;
      case 5:
        Note("late start at " + worker.str());
        world_.workers().MakeNextStartLate(worker,
                                           base::Duration(Draw(500, 9'000)));
        break;
      case 6:
        FailStore(owner);
        break;
      case 7:
        world_.store().SetFaultForAll(Draw(1, 2) == 1 ? StoreFault::kSilent
                                                      : StoreFault::kNone);
        break;
      case 8:
        world_.store().DropHistory();
        break;
      default:
        MendStore();
        break;
    }
  }

  void FailStore(const std::string& owner) {
    constexpr std::array kFaults = {StoreFault::kSilent, StoreFault::kBusy,
                                    StoreFault::kAnswersLost,
                                    StoreFault::kLate};
    const auto fault = kFaults[static_cast<std::size_t>(Draw(0, 3))];
    Note("store fault " + std::to_string(static_cast<int>(fault)) + " for " +
         owner);
    world_.store().SetFault(owner, fault);
  }

  void MendStore() {
    world_.store().SetFaultForAll(StoreFault::kNone);
    for (int i = 0; i < kOwners; ++i) {
      world_.store().SetFault("vm" + std::to_string(i), StoreFault::kNone);
    }
  }

  /// From a processor that manages everything to one that needs seconds for
  /// what comes in one.
  void SlowDown() {
    constexpr std::array kCosts = {0, 2, 10, 30, 60};
    const auto owner = AnyOwner();
    const int cost = kCosts[static_cast<std::size_t>(Draw(0, 4))];
    Note(owner + " takes " + std::to_string(cost) + " ms a task");
    world_.SetCost(owner, base::Duration(cost));
  }

  void Mend() {
    Note("mend");
    MendStore();
    world_.SetCostForAll(base::Duration(0));
    for (const auto& [from, to] : cuts_) world_.workers().Join(from, to);
    for (const auto& it : killed_) world_.StartOwner(it);
    if (has_crashes_) RestoreCapacities();
  }

  void RestoreCapacities() {
    // A worker restarts with the capacity that its registration showed at the
    // crash, so wait for pending restarts before restoring full capacity.
    constexpr int kRestartWait = 4'000;
    world_.RunFor(kRestartWait);
    for (int i = 0; i < kWorkers; ++i) {
      world_.SetCapacity(world_.CurrentWorkerName(i), kFullCapacity);
    }
  }

  std::mt19937_64 random_;
  const bool has_slow_vms_;
  OwnerWorld world_;
  bool has_crashes_ = false;
  std::set<std::string> killed_;
  std::vector<std::pair<std::string, base::WorkerName>> cuts_;
  std::string trace_;
};

/// Plays one history and checks what must hold after it.
void Check(std::uint64_t seed, bool has_slow_vms, bool has_crashes = false) {
  History history(seed, has_slow_vms);
  if (has_crashes) history.AddCrashes();
  history.Play();
  INFO("seed " << seed << '\n' << history.trace());
  const auto& violations = history.world().workers().violations();
  INFO((violations.empty() ? "" : violations.front()));
  CHECK(violations.empty());
  for (const auto& [name, job] : history.world().jobs()) {
    const auto state = history.world().StateOf(name.str());
    INFO(name);
    // A job whose acceptance was not known may not be there.
    CHECK((!state || IsFinal(*state)));
  }
  CHECK(history.world().workers().running() == 0);
}

constexpr std::uint64_t kHistories = 400;

TEST_CASE("no history of faults runs a task twice or loses a job") {
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) Check(seed, false);
}

TEST_CASE("nor does one with owners that fall seconds behind") {
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) Check(seed, true);
}

TEST_CASE("nor does one with crashes of workers and changes of capacity") {
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    Check(seed, false, true);
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
