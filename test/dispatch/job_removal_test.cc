#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;
using jobs::JobState;

constexpr base::Duration kRetention{10'000};
constexpr int kRetentionMs = 10'000;

/// One service with `owners` candidates, whose ended jobs are removed soon.
class RemovalWorld {
 public:
  explicit RemovalWorld(int owners) : world_(0, 4) {
    world_.ended_job_retention = kRetention;
    world_.workers().run_time = [](const jobs::TaskName&) {
      return base::Duration(500);
    };
    for (int i = 0; i < owners; ++i) {
      world_.StartOwner("vm" + std::to_string(i));
    }
    world_.RunFor(4'000);
  }

  /// Runs jobs `first` to `last` to their ends, about 100 ms apart.
  void RunJobs(int first, int last) {
    for (int i = first; i <= last; ++i) {
      world_.Submit(OwnerWorld::MakeJob(NameOf(i), 1, 1));
      world_.RunFor(100);
    }
    world_.RunFor(2'000);
    for (int i = first; i <= last; ++i) {
      REQUIRE(world_.StateOf(NameOf(i)) == JobState::kCompleted);
    }
  }

  void CheckStarts(int job, int expected) {
    INFO("job " << job);
    CHECK(world_.workers().starts({base::JobName(NameOf(job)), 0, 0, 0}) ==
          expected);
  }

  void CheckNoRowsLeft() {
    CHECK(world_.store().rows_in("requests") == 0);
    CHECK(world_.store().rows_in("progress") == 0);
  }

  void CheckNoViolations() {
    for (const auto& it : world_.workers().violations()) FAIL_CHECK(it);
  }

  static std::string NameOf(int job) { return "job" + std::to_string(job); }

  OwnerWorld& world() { return world_; }

 private:
  OwnerWorld world_;
};

const auto kFaults = {StoreFault::kBusy, StoreFault::kSilent,
                      StoreFault::kAnswersLost, StoreFault::kLate};

// The owner forgot ended jobs whose removal failed, and ran them again.
TEST_CASE("jobs whose removal fails do not run again") {
  for (const auto fault : kFaults) {
    INFO("fault " << static_cast<int>(fault));
    RemovalWorld it(1);
    it.RunJobs(1, 20);
    auto& world = it.world();
    world.RunFor(kRetentionMs - 3'000);
    world.store().SetFaultForTransactions(fault);
    world.RunFor(4'000);
    world.store().SetFaultForTransactions(StoreFault::kNone);
    world.RunFor(1'000);
    world.store().DropHistory();
    world.RunFor(2 * kRetentionMs);
    for (int job = 1; job <= 20; ++job) it.CheckStarts(job, 1);
    it.CheckNoViolations();
    it.CheckNoRowsLeft();
  }
}

// A snapshot that was read before a removal was delivered after it.
TEST_CASE("a snapshot read before a removal does not run the job again") {
  for (int drops_ms = 10; drops_ms <= 60; drops_ms += 7) {
    INFO("history dropped every " << drops_ms << " ms");
    RemovalWorld it(1);
    auto& world = it.world();
    it.RunJobs(1, 20);
    world.store().delay = base::Duration(15);
    for (int ms = 0; ms < kRetentionMs; ms += drops_ms) {
      world.store().DropHistory();
      world.RunFor(drops_ms);
    }
    world.store().delay = base::Duration(1);
    world.RunFor(2 * kRetentionMs);
    for (int job = 1; job <= 20; ++job) it.CheckStarts(job, 1);
    it.CheckNoRowsLeft();
  }
}

// A removal without an answer took effect after its name had been used again.
TEST_CASE("a removal that takes effect late spares a later job of its name") {
  for (const auto fault : kFaults) {
    for (int after_ms = 0; after_ms <= 5'000; after_ms += 250) {
      INFO("fault " << static_cast<int>(fault) << " after " << after_ms);
      RemovalWorld it(1);
      it.RunJobs(1, 1);
      auto& world = it.world();
      world.RunFor(kRetentionMs - 2'500);
      world.store().SetFault("vm0", fault);
      world.RunFor(1'500);
      world.store().SetFault("vm0", StoreFault::kNone);
      world.RunFor(after_ms);
      const bool is_removed = !world.StateOf(RemovalWorld::NameOf(1));
      world.Submit(OwnerWorld::MakeJob(RemovalWorld::NameOf(1), 1, 1));
      world.RunFor(4'000);
      if (is_removed) {
        it.CheckStarts(1, 2);
        CHECK(world.StateOf(RemovalWorld::NameOf(1)) == JobState::kCompleted);
      }
      world.RunFor(2 * kRetentionMs);
      it.CheckNoRowsLeft();
    }
  }
}

// Progress that an owner left behind was taken for that of a later job.
TEST_CASE("a later job of a removed name runs, whoever owns the service") {
  RemovalWorld it(1);
  it.RunJobs(1, 1);
  auto& world = it.world();
  const auto service = base::ServiceName(OwnerWorld::kService);
  const base::JobName name(RemovalWorld::NameOf(1));
  const auto partition = jobs::RequestPartition(service, name);
  world.KillOwner("vm0");
  world.store().Remove("requests", partition, name.str());
  world.Submit(OwnerWorld::MakeJob(name.str(), 1, 1));
  world.RunFor(500);
  world.StartOwner("vm0");
  world.RunFor(5'000);
  it.CheckStarts(1, 2);
  CHECK(world.StateOf(name.str()) == JobState::kCompleted);
}

// The cancellation of a later job was applied to the one that was removed.
TEST_CASE("a cancelled job of a removed name does not run") {
  for (int after_ms = 0; after_ms <= 400; after_ms += 10) {
    INFO("after " << after_ms);
    RemovalWorld it(1);
    it.RunJobs(1, 1);
    auto& world = it.world();
    world.store().commit_time = base::Duration(80);
    int waited_ms = 0;
    while (world.StateOf(RemovalWorld::NameOf(1)) && waited_ms < 20'000) {
      waited_ms += 20;
    }
    world.workers().run_time = [](const jobs::TaskName&) {
      return base::Duration(60'000);
    };
    world.Submit(OwnerWorld::MakeJob(RemovalWorld::NameOf(1), 1, 1));
    world.RunFor(100 + after_ms);
    world.Cancel(RemovalWorld::NameOf(1));
    world.RunFor(5'000);
    CHECK(world.workers().running() == 0);
    const auto state = world.StateOf(RemovalWorld::NameOf(1));
    CHECK(state == JobState::kCancelled);
  }
}

// A removal that a former owner sent was done under the next one.
TEST_CASE("owners that change around removals neither lose nor repeat jobs") {
  for (const auto fault : kFaults) {
    for (int before_ms = 0; before_ms <= 1'500; before_ms += 300) {
      INFO("fault " << static_cast<int>(fault) << ", " << before_ms);
      RemovalWorld it(2);
      it.RunJobs(1, 10);
      auto& world = it.world();
      const auto owner = world.OwnerName();
      world.RunFor(kRetentionMs - 3'000);
      world.store().SetFault(owner, fault);
      world.RunFor(500 + before_ms);
      world.KillOwner(owner);
      world.store().SetFault(owner, StoreFault::kNone);
      world.store().DropHistory();
      world.RunFor(3 * kRetentionMs);
      for (int job = 1; job <= 10; ++job) it.CheckStarts(job, 1);
      it.CheckNoViolations();
      it.CheckNoRowsLeft();
    }
  }
}

// Thousands of removals that are due at once must not flood the store.
TEST_CASE("removals that were refused for a minute are repeated slowly") {
  constexpr int kJobs = 300;
  RemovalWorld it(1);
  auto& world = it.world();
  it.RunJobs(1, 60);
  for (int i = 61; i <= kJobs; ++i) {
    world.Submit(OwnerWorld::MakeJob(RemovalWorld::NameOf(i), 1, 1));
  }
  world.RunFor(kRetentionMs - 2'000);
  world.store().SetFaultForTransactions(StoreFault::kBusy);
  world.RunFor(60'000);
  const auto metrics = world.metrics().Render();
  CHECK(metrics.find("lapishatch_job_removals_waiting") != std::string::npos);
  world.store().SetFaultForTransactions(StoreFault::kNone);
  world.store().DropHistory();
  world.RunFor(6 * kRetentionMs);
  for (int job = 1; job <= kJobs; ++job) it.CheckStarts(job, 1);
  it.CheckNoViolations();
  it.CheckNoRowsLeft();
}

/// Runs jobs while the store fails, loses its history and owners are killed.
void RunHistory(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto random_int = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  RemovalWorld it(2);
  auto& world = it.world();
  constexpr int kJobs = 30;
  for (int job = 1; job <= kJobs; ++job) {
    world.Submit(OwnerWorld::MakeJob(RemovalWorld::NameOf(job), 1, 1));
    const auto owner = world.OwnerName();
    switch (random_int(0, 5)) {
      case 0:
        world.store().DropHistory();
        break;
      case 1:
        world.store().SetFaultForTransactions(
            *(kFaults.begin() + random_int(0, 3)));
        break;
      case 2:
        if (!owner.empty()) {
          world.KillOwner(owner);
          world.StartOwner(owner);
        }
        break;
      default:
        world.store().SetFaultForTransactions(StoreFault::kNone);
        break;
    }
    world.RunFor(random_int(50, 2'000));
  }
  world.store().SetFaultForTransactions(StoreFault::kNone);
  world.RunFor(1'000);
  world.store().DropHistory();
  world.RunFor(3 * kRetentionMs);
  INFO("seed " << seed);
  for (const auto& violation : world.workers().violations()) {
    FAIL_CHECK(violation);
  }
  CHECK(world.workers().running() == 0);
  it.CheckNoRowsLeft();
}

// Random orders of removals, store faults, lost history and owner changes.
TEST_CASE("random histories of removals run no job twice") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) RunHistory(seed);
}

}  // namespace
}  // namespace lapishatch::dispatch
