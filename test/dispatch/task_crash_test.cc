#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;

/// A simulated service in which tasks of jobs named "crash..." crash their
/// workers, and other tasks complete after 3 s.
struct CrashWorld : OwnerWorld {
  explicit CrashWorld(int owners = 1, int workers = 12,
                      Duration downtime = Duration(1'500),
                      bool changes_address = false)
      : OwnerWorld(owners, workers) {
    RestartCrashed(downtime, changes_address);
    this->workers().crash_after = [this](const jobs::TaskName& task) {
      return CrashesWorker(task) ? std::optional(crash_delay) : std::nullopt;
    };
    this->workers().run_time = [](const jobs::TaskName& task) {
      return IsCrashJob(task.job) ? Duration(8'000) : Duration(3'000);
    };
    RunFor(1'000);
  }

  static bool IsCrashJob(const base::JobName& job) {
    return job.str().starts_with("crash");
  }

  bool CrashesWorker(const jobs::TaskName& task) const {
    if (!IsCrashJob(task.job)) return false;
    return (crash_step < 0 || task.step == crash_step) &&
           (crash_index < 0 || task.index == crash_index) &&
           (crash_occurrence < 0 || task.occurrence == crash_occurrence);
  }

  jobs::TaskName CrashingTask(const std::string& job) const {
    return {base::JobName(job), std::max(crash_occurrence, 0),
            std::max(crash_step, 0), std::max(crash_index, 0)};
  }

  /// Runs until `task` has crashed its workers `n` times; fails the test if
  /// that takes longer than 30 s of virtual time.
  void RunUntilCrashes(const jobs::TaskName& task, int n) {
    for (int i = 0; i < 3'000 && workers().crashes(task) < n; ++i) RunFor(10);
    REQUIRE(workers().crashes(task) >= n);
  }

  void SubmitSoundJobs(int n, int accelerators = 1) {
    for (int i = 0; i < n; ++i) {
      const auto name = "sound" + std::to_string(sound_job_count++);
      Submit(MakeJob(name, 1, accelerators));
    }
  }

  void CheckSoundJobsCompleted() {
    for (int i = 0; i < sound_job_count; ++i) {
      CHECK(StateOf("sound" + std::to_string(i)) == JobState::kCompleted);
    }
  }

  void CheckJobGivenUp(const std::string& job) {
    CHECK(StateOf(job) == JobState::kFailed);
    const int crashes = workers().crashes(CrashingTask(job));
    CHECK(crashes >= 2);
    CHECK(crashes <= 4);
    CHECK(workers().violations().empty());
  }

  /// Time from the start of a crashing task to the crash of its worker.
  Duration crash_delay{2'000};
  /// The step, index and occurrence of the tasks of a "crash..." job that crash
  /// their workers; a negative value matches any.
  int crash_step = -1;
  int crash_index = -1;
  int crash_occurrence = -1;
  /// Number of submitted jobs whose tasks do not crash their workers.
  int sound_job_count = 0;
};

TEST_CASE("a task that crashes its workers is not restarted indefinitely") {
  CrashWorld world;
  world.Submit(OwnerWorld::MakeJob("crash", 1, 8));
  world.RunFor(30'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("sound jobs complete beside a task that crashes its workers") {
  CrashWorld world;
  world.SubmitSoundJobs(6);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.SubmitSoundJobs(6);
  for (int i = 0; i < 10; ++i) {
    world.RunFor(1'000);
    world.SubmitSoundJobs(3);
  }
  world.RunFor(20'000);
  world.CheckJobGivenUp("crash");
  world.CheckSoundJobsCompleted();
}

TEST_CASE("two tasks that crash their workers are both given up") {
  CrashWorld world(1, 6);
  world.SubmitSoundJobs(4);
  world.Submit(OwnerWorld::MakeJob("crash0", 1, 1));
  world.Submit(OwnerWorld::MakeJob("crash1", 1, 1));
  world.RunFor(40'000);
  world.CheckJobGivenUp("crash0");
  world.CheckJobGivenUp("crash1");
  world.CheckSoundJobsCompleted();
}

TEST_CASE("a gang with one task that crashes its workers is given up") {
  CrashWorld world;
  world.crash_index = 1;
  auto job = OwnerWorld::MakeJob("crash", 3, 8);
  job.steps[0].is_gang = true;
  world.Submit(job);
  world.RunFor(40'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a job whose second step crashes its workers is given up") {
  CrashWorld world;
  world.crash_step = 1;
  auto job = OwnerWorld::MakeJob("crash", 2, 1);
  job.steps.push_back(job.steps.front());
  job.steps.back().depends_on = {0};
  world.Submit(job);
  world.RunFor(50'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("giving up one step of a job stops its other steps") {
  CrashWorld world;
  world.crash_step = 0;
  auto job = OwnerWorld::MakeJob("crash", 1, 1);
  job.steps.push_back(job.steps.front());
  world.Submit(job);
  world.RunFor(25'000);
  world.CheckJobGivenUp("crash");
  CHECK(world.workers().running() == 0);
}

TEST_CASE(
    "a scheduled job is given up when one occurrence crashes its workers") {
  CrashWorld world;
  world.crash_occurrence = 1;
  auto job = OwnerWorld::MakeJob("crash", 1, 1);
  const auto now = world.time().Now().time_since_epoch().count();
  job.schedule = {3, now + 500, 1'000};
  world.Submit(job);
  world.RunFor(40'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a service step that crashes its workers is given up") {
  CrashWorld world;
  auto job = OwnerWorld::MakeJob("crash", 1, 1);
  job.steps[0].is_service = true;
  world.Submit(job);
  world.RunFor(30'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE(
    "a service step is not given up when its workers crash after long runs") {
  CrashWorld world;
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(3'600'000);
  };
  auto job = OwnerWorld::MakeJob("lasting", 1, 8);
  job.steps[0].is_service = true;
  world.Submit(job);
  const jobs::TaskName task{base::JobName("lasting"), 0, 0, 0};
  for (int i = 0; i < 6; ++i) {
    world.RunFor(40'000);
    REQUIRE(world.workers().IsRunning(task));
    world.workers().Crash(world.workers().FindWorkerRunning(task));
  }
  world.RunFor(10'000);
  CHECK(world.workers().IsRunning(task));
}

TEST_CASE("the maximum attempts of a job do not affect the crash limit") {
  const int attempts = GENERATE(1, 50);
  CrashWorld world;
  auto job = OwnerWorld::MakeJob("crash", 1, 1);
  job.max_attempts = attempts;
  world.Submit(job);
  world.RunFor(30'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("crashes are counted across preemptions") {
  CrashWorld world(1, 2);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 8));
  for (int i = 0; i < 20; ++i) {
    world.RunFor(1'700);
    auto urgent = OwnerWorld::MakeJob("sound" + std::to_string(i), 1, 8);
    ++world.sound_job_count;
    urgent.priority = 0;
    urgent.slack_factor = 3;
    urgent.steps[0].run_time_estimate = Duration(3'000);
    world.Submit(urgent);
  }
  world.RunFor(60'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().violations().empty());
}

enum class OwnerFault { kKilled, kFrozen, kCutOff, kReleased };

TEST_CASE("crashes are counted across a change of owner") {
  const int min_crashes = GENERATE(1, 2, 3);
  const auto fault = GENERATE(OwnerFault::kKilled, OwnerFault::kFrozen,
                              OwnerFault::kCutOff, OwnerFault::kReleased);
  const int crash_to_fault_ms = GENERATE(0, 30, 1'000, 1'700);
  const bool is_only_job = GENERATE(true, false);
  CrashWorld world(3);
  if (!is_only_job) world.SubmitSoundJobs(6);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  const auto task = world.CrashingTask("crash");
  for (int i = 0; i < 600 && world.workers().crashes(task) < min_crashes; ++i) {
    world.RunFor(50);
  }
  world.RunFor(crash_to_fault_ms);
  const auto owner = world.OwnerName();
  REQUIRE(!owner.empty());
  switch (fault) {
    case OwnerFault::kKilled:
      world.KillOwner(owner);
      break;
    case OwnerFault::kFrozen:
      world.SetCost(owner, Duration(5'000));
      world.RunFor(6'000);
      world.SetCost(owner, Duration(0));
      break;
    case OwnerFault::kCutOff:
      world.store().SetFault(owner, fakes::StoreFault::kSilent);
      world.RunFor(6'000);
      world.store().SetFault(owner, fakes::StoreFault::kNone);
      break;
    case OwnerFault::kReleased:
      world.owner(owner).Stop([] {});
      break;
  }
  world.RunFor(60'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().violations().empty());
  world.CheckSoundJobsCompleted();
}

TEST_CASE("crashes are counted when all owner processes are killed at once") {
  CrashWorld world(2);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunUntilCrashes(world.CrashingTask("crash"), 2);
  world.KillOwner("vm0");
  world.KillOwner("vm1");
  world.RunFor(3'000);
  world.StartOwner("vm2");
  world.RunFor(60'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("crashes are counted during a store outage") {
  CrashWorld world(2);
  world.SubmitSoundJobs(6);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunUntilCrashes(world.CrashingTask("crash"), 1);
  const auto fault =
      GENERATE(fakes::StoreFault::kSilent, fakes::StoreFault::kBusy);
  world.store().SetFaultForAll(fault);
  world.RunFor(6'000);
  world.store().SetFaultForAll(fakes::StoreFault::kNone);
  world.RunFor(60'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().violations().empty());
  world.CheckSoundJobsCompleted();
}

TEST_CASE("a crash is counted when the write that records it gets no answer") {
  CrashWorld world(2);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  const auto task = world.CrashingTask("crash");
  const int min_crashes = GENERATE(1, 2, 3);
  for (int i = 0; i < 600 && world.workers().crashes(task) < min_crashes; ++i) {
    world.RunFor(50);
  }
  world.store().SetFaultForTransactions(
      GENERATE(fakes::StoreFault::kAnswersLost, fakes::StoreFault::kLate));
  world.RunFor(3'000);
  world.store().SetFaultForTransactions(fakes::StoreFault::kNone);
  world.RunFor(60'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().violations().empty());
}

TEST_CASE(
    "a crash is counted when the worker restarts before its failure is "
    "detected") {
  CrashWorld world(1, 12, Duration(40));
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(40'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a crash is counted when the worker restarts at another address") {
  CrashWorld world(1, 12, Duration(1'500), true);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(90'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a task that crashes its workers as it starts is given up") {
  CrashWorld world;
  world.crash_delay = Duration(0);
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(90'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a crash is counted when the worker carried out the start late") {
  CrashWorld world(1, 4);
  for (int i = 0; i < 4; ++i) {
    world.workers().DelayNextStart(OwnerWorld::WorkerNameAt(i), Duration(900));
  }
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(90'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("a crash is counted when the worker is unreachable at the time") {
  CrashWorld world(1, 12, Duration(3'000));
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(200);
  const auto task = world.CrashingTask("crash");
  for (int i = 0; i < 3; ++i) {
    const auto worker = world.workers().FindWorkerRunning(task);
    if (worker.str().empty()) break;
    world.workers().Disconnect("", worker);
    world.RunFor(9'000);
    world.workers().Reconnect("", worker);
    world.RunFor(400);
  }
  world.RunFor(60'000);
  world.CheckJobGivenUp("crash");
}

TEST_CASE("crashes behind cuts are counted although the owner changes") {
  CrashWorld world(3, 12, Duration(9'000));
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  const auto task = world.CrashingTask("crash");
  for (int i = 0; i < 3; ++i) {
    for (int n = 0; n < 3'000 && !world.workers().IsRunning(task); ++n) {
      world.RunFor(10);
    }
    const auto worker = world.workers().FindWorkerRunning(task);
    world.workers().Disconnect("", worker);
    world.RunFor(8'000);
    const auto owner = world.OwnerName();
    REQUIRE(!owner.empty());
    world.KillOwner(owner);
    world.RunFor(4'000);
    world.StartOwner(owner);
    world.workers().Reconnect("", worker);
  }
  world.RunFor(120'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().crashes(task) <= 5);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a task that crashes a draining worker is given up") {
  CrashWorld world;
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunFor(1'500);
  world.Drain(world.workers().FindWorkerRunning(world.CrashingTask("crash")),
              Duration(20'000));
  world.RunFor(60'000);
  CHECK(world.StateOf("crash") == JobState::kFailed);
  CHECK(world.workers().violations().empty());
}

TEST_CASE("a cancelled job that crashes its workers stays cancelled") {
  CrashWorld world;
  world.Submit(OwnerWorld::MakeJob("crash", 1, 1));
  world.RunUntilCrashes(world.CrashingTask("crash"), 1);
  world.Cancel("crash");
  world.RunFor(20'000);
  CHECK(world.StateOf("crash") == JobState::kCancelled);
  CHECK(world.workers().crashes(world.CrashingTask("crash")) <= 2);
}

TEST_CASE("sound jobs complete although failure domains lose power in turn") {
  CrashWorld world(1, 16);
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(9'000);
  };
  world.SubmitSoundJobs(4, 8);
  world.SubmitSoundJobs(8, 1);
  for (int domain = 0; domain < 4; ++domain) {
    world.RunFor(4'000);
    constexpr int kWorkersPerDomain = 4;
    for (int i = 0; i < kWorkersPerDomain; ++i) {
      world.workers().Crash(
          OwnerWorld::WorkerNameAt(kWorkersPerDomain * domain + i));
    }
  }
  world.RunFor(60'000);
  world.CheckSoundJobsCompleted();
  CHECK(world.workers().violations().empty());
}

TEST_CASE("sound jobs complete although workers crash in turn") {
  CrashWorld world;
  world.SubmitSoundJobs(10);
  for (int i = 0; i < 8; ++i) {
    world.RunFor(700);
    world.workers().Crash(OwnerWorld::WorkerNameAt(i));
  }
  world.RunFor(30'000);
  world.CheckSoundJobsCompleted();
}

TEST_CASE("a sound job is not given up when one worker crashes repeatedly") {
  CrashWorld world(1, 4);
  world.workers().on_start = [&world](const base::WorkerName& worker) {
    if (!worker.str().starts_with("w1")) return;
    world.time().After(Duration(800),
                       [&world, worker] { world.workers().Crash(worker); });
  };
  for (int i = 0; i < 15; ++i) {
    world.SubmitSoundJobs(3, 2);
    world.RunFor(1'000);
  }
  world.RunFor(30'000);
  world.CheckSoundJobsCompleted();
}

TEST_CASE("a suspect does not return to the address that has just crashed") {
  const std::string bad_worker = GENERATE("w0", "w1", "w2", "w3");
  const Duration crash_delay(GENERATE(300, 800, 1'100));
  const int tasks = GENERATE(1, 2, 3, 4);
  CrashWorld world(1, 4);
  world.workers().on_start = [&](const base::WorkerName& worker) {
    if (!worker.str().starts_with(bad_worker)) return;
    world.time().After(crash_delay,
                       [&world, worker] { world.workers().Crash(worker); });
  };
  for (int i = 0; i < 15; ++i) {
    world.SubmitSoundJobs(tasks, 2);
    world.RunFor(1'000);
  }
  world.RunFor(60'000);
  world.CheckSoundJobsCompleted();
}

TEST_CASE("urgent jobs start in time beside tasks that crash their workers") {
  CrashWorld world(1, 12);
  world.SetGuarantee("crews", 64);
  for (int i = 0; i < 6; ++i) {
    world.Submit(OwnerWorld::MakeJob("crash" + std::to_string(i), 2, 1));
  }
  for (int i = 0; i < 20; ++i) {
    const auto name = "sound" + std::to_string(world.sound_job_count++);
    auto urgent = OwnerWorld::MakeJob(name, 2, 1);
    urgent.priority = 0;
    world.Submit(urgent);
    world.RunFor(900);
    // The delay leaves time to repeat a start that was sent to a worker that
    // had just crashed.
    constexpr int kCheckDelayJobs = 4;
    if (world.sound_job_count <= kCheckDelayJobs) continue;
    const auto earlier_job =
        "sound" + std::to_string(world.sound_job_count - 1 - kCheckDelayJobs);
    for (int task = 0; task < 2; ++task) {
      INFO(earlier_job << ' ' << task);
      CHECK(world.workers().starts({base::JobName(earlier_job), 0, 0, task}) >
            0);
    }
  }
  world.RunFor(60'000);
  world.CheckSoundJobsCompleted();
  CHECK(world.workers().violations().empty());
}

TEST_CASE("the number of workers lost to crashing tasks is limited") {
  CrashWorld world;
  constexpr int kJobs = 5;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob("crash" + std::to_string(i), 1, 8));
  }
  world.RunFor(120'000);
  int crashes = 0;
  for (int i = 0; i < kJobs; ++i) {
    crashes += world.workers().crashes(
        world.CrashingTask("crash" + std::to_string(i)));
  }
  CHECK(crashes <= 4 * kJobs);
  CHECK(world.workers().running() == 0);
}

}  // namespace
}  // namespace lapishatch::dispatch
