#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;

constexpr int kOwners = 5;
constexpr int kWorkers = 8;
/// Workers of each of the two domains; see OwnerWorld::AddWorker.
constexpr int kDomainSize = 4;
constexpr int kTasks = 24;

/// Five candidates for a service whose tasks last long, and two domains of
/// workers. The first domain can be cut off together with the owner.
class ChainWorld {
 public:
  ChainWorld() : world_(kOwners, kWorkers) {
    world_.workers().run_time = [](const jobs::TaskName&) {
      return base::Duration(30'000);
    };
    world_.RunFor(4'000);
    world_.Submit(OwnerWorld::MakeJob("job", kTasks, 1));
    world_.RunFor(3'000);
    REQUIRE(world_.workers().running() == kTasks);
  }

  /// Cuts the first domain and the present owner off from the store and from
  /// everything else.
  void CutOwner() {
    cut_owner_ = world_.OwnerName();
    world_.store().SetFault(cut_owner_, StoreFault::kSilent);
    for (int i = 0; i < kWorkers; ++i) {
      const auto worker = OwnerWorld::WorkerNameAt(i);
      if (i >= kDomainSize) {
        world_.workers().Disconnect(cut_owner_, worker);
        continue;
      }
      for (int vm = 0; vm < kOwners; ++vm) {
        const auto name = "vm" + std::to_string(vm);
        if (name != cut_owner_) world_.workers().Disconnect(name, worker);
      }
    }
  }

  /// Runs until another process than the one cut off owns the service; gives
  /// up after 20 s.
  std::string WaitForOwner() {
    constexpr int kStepMs = 20;
    for (int ms = 0; ms < 20'000; ms += kStepMs) {
      for (int vm = 0; vm < kOwners; ++vm) {
        auto name = "vm" + std::to_string(vm);
        const bool is_owner = name != cut_owner_ && world_.HasOwner(name) &&
                              world_.owner(name).is_owner();
        if (is_owner) return name;
      }
      world_.RunFor(kStepMs);
    }
    return {};
  }

  /// Stops the process as SIGTERM does and starts it again.
  void Stop(const std::string& name) {
    world_.owner(name).Stop([] {});
    world_.RunFor(300);
    Restart(name);
  }

  void Restart(const std::string& name) {
    world_.KillOwner(name);
    world_.StartOwner(name);
    if (name == cut_owner_) return;
    for (int i = 0; i < kDomainSize && !cut_owner_.empty(); ++i) {
      world_.workers().Disconnect(name, OwnerWorld::WorkerNameAt(i));
    }
  }

  std::string RecordedFormerLeases() {
    return world_.store().ValueOf("owners", OwnerWorld::kService, "former");
  }

  void CheckNoViolations() {
    for (const auto& it : world_.workers().violations()) FAIL_CHECK(it);
  }

  OwnerWorld& world() { return world_; }

 private:
  OwnerWorld world_;
  std::string cut_owner_;
};

// The owner after the next counted the one that was cut off as gone.
TEST_CASE("a chain of owners starts no task that runs under one cut off") {
  for (int successors = 1; successors <= 3; ++successors) {
    for (int held_ms = 0; held_ms <= 2'000; held_ms += 400) {
      for (const bool is_killed : {false, true}) {
        INFO(successors << " successors for " << held_ms << " ms, "
                        << (is_killed ? "killed" : "stopped"));
        ChainWorld it;
        it.CutOwner();
        for (int i = 0; i < successors; ++i) {
          const auto owner = it.WaitForOwner();
          REQUIRE_FALSE(owner.empty());
          it.world().RunFor(held_ms);
          if (is_killed) {
            it.Restart(owner);
          } else {
            it.Stop(owner);
          }
        }
        it.world().RunFor(15'000);
        it.CheckNoViolations();
      }
    }
  }
}

// A process that stopped while its acquisition was in flight forgot the owner
// that was cut off.
TEST_CASE("an acquisition that takes effect late keeps the wait of its time") {
  for (int stopped_ms = 1'500; stopped_ms <= 3'500; stopped_ms += 100) {
    INFO("stopped after " << stopped_ms);
    ChainWorld it;
    it.CutOwner();
    auto& world = it.world();
    world.RunFor(1'000);
    for (int vm = 0; vm < kOwners; ++vm) {
      world.store().SetFault("vm" + std::to_string(vm), StoreFault::kLate);
    }
    world.RunFor(stopped_ms);
    for (int vm = 0; vm < kOwners; ++vm) {
      const auto name = "vm" + std::to_string(vm);
      world.store().SetFault(name, StoreFault::kNone);
      world.owner(name).Stop([] {});
    }
    world.RunFor(200);
    for (int vm = 0; vm < kOwners; ++vm) it.Restart("vm" + std::to_string(vm));
    world.RunFor(15'000);
    it.CheckNoViolations();
  }
}

// The wait for former owners must not grow with restarts in turn.
TEST_CASE("owners that are stopped in turn leave no wait to their successors") {
  ChainWorld it;
  for (int i = 0; i < 8; ++i) {
    const auto owner = it.WaitForOwner();
    REQUIRE_FALSE(owner.empty());
    it.world().RunFor(500);
    CHECK(it.RecordedFormerLeases() == "0");
    it.Stop(owner);
  }
  it.CheckNoViolations();
}

// A released service needs no wait for its lease, however often it was
// released.
TEST_CASE("owners that are stopped in turn start work within a row lease") {
  ChainWorld it;
  auto& world = it.world();
  for (int i = 1; i <= 8; ++i) {
    const auto owner = it.WaitForOwner();
    REQUIRE_FALSE(owner.empty());
    const auto job = OwnerWorld::MakeJob("job" + std::to_string(i), 1, 1);
    world.Submit(job);
    world.owner(owner).Stop([] {});
    world.KillOwner(owner);
    int waited_ms = 0;
    while (world.workers().starts({job.name, 0, 0, 0}) == 0) {
      constexpr int kStepMs = 10;
      world.RunFor(kStepMs);
      waited_ms += kStepMs;
      REQUIRE(waited_ms < 10'000);
    }
    INFO("restart " << i << " took " << waited_ms << " ms");
    CHECK(base::Duration(waited_ms) < OwnerLeaseOptions{}.duration);
    world.StartOwner(owner);
  }
}

TEST_CASE("the wait for an owner that was cut off ends under its successor") {
  ChainWorld it;
  it.CutOwner();
  REQUIRE_FALSE(it.WaitForOwner().empty());
  it.world().RunFor(500);
  CHECK(it.RecordedFormerLeases() != "0");
  it.world().RunFor(10'000);
  CHECK(it.RecordedFormerLeases() == "0");
}

// Rows of a build that does not record former owners say nothing of them.
TEST_CASE("an owner of the former build is not trusted to have waited") {
  ChainWorld it;
  it.CutOwner();
  const auto second = it.WaitForOwner();
  REQUIRE_FALSE(second.empty());
  it.world().store().Remove("owners", OwnerWorld::kService, "former");
  it.world().RunFor(200);
  it.world().KillOwner(second);
  it.world().store().Put("owners", OwnerWorld::kService, "lease", "-");
  it.world().store().Remove("owners", OwnerWorld::kService, "former");
  it.world().RunFor(15'000);
  it.CheckNoViolations();
}

// Random chains of owners that are cut off, stopped and killed.
TEST_CASE("random chains of owners run no task twice") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const auto random_int = [&random](int min, int max) {
      return std::uniform_int_distribution<int>(min, max)(random);
    };
    ChainWorld it;
    auto& world = it.world();
    it.CutOwner();
    const int length = random_int(1, 5);
    for (int i = 0; i < length; ++i) {
      const auto owner = it.WaitForOwner();
      if (owner.empty()) break;
      world.RunFor(random_int(0, 2'500));
      const auto fault =
          random_int(1, 3) == 1 ? StoreFault::kLate : StoreFault::kNone;
      world.store().SetFault(owner, fault);
      if (random_int(1, 2) == 1) {
        it.Stop(owner);
      } else {
        it.Restart(owner);
      }
      world.store().SetFault(owner, StoreFault::kNone);
    }
    world.RunFor(15'000);
    it.CheckNoViolations();
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
