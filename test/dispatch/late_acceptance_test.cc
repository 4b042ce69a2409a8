#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using fakes::StoreFault;
using jobs::JobState;

constexpr int kRetentionMs = 20'000;
const std::string kJob = "job";

/// A service with two candidates, whose jobs are removed 20 s after their ends.
class LateAcceptanceWorld {
 public:
  LateAcceptanceWorld() : world_(0, 4) {
    world_.ended_job_retention = base::Duration(kRetentionMs);
    world_.StartOwner("vm0");
    world_.StartOwner("vm1");
    world_.RunFor(4'000);
    // The first acceptance records the home service.
    world_.Submit(OwnerWorld::MakeJob("first", 1, 1));
    world_.RunFor(4'000);
  }

  /// Stores the request as a write that takes effect late does.
  void StoreRequest() {
    const auto job = OwnerWorld::MakeJob(kJob, 1, 1);
    world_.store().Put("requests",
                       jobs::RequestPartition(job.service, job.name), kJob,
                       jobs::EncodeJob(job));
  }

  void CheckCancelled() {
    world_.RunFor(4'000);
    CHECK(world_.workers().starts({base::JobName(kJob), 0, 0, 0}) == 0);
    CHECK(world_.StateOf(kJob) == JobState::kCancelled);
  }

  void CheckNoRowsLeft() {
    world_.RunFor(3 * kRetentionMs);
    CHECK(world_.store().rows_in("requests") == 0);
    CHECK(world_.store().rows_in("progress") == 0);
  }

  OwnerWorld& world() { return world_; }

 private:
  OwnerWorld world_;
};

// A cancelled job ran, because its acceptance took effect after the answer 410.
TEST_CASE("a job whose acceptance takes effect after its cancelling stays so") {
  for (int late_ms = 100; late_ms <= 10'000; late_ms += 300) {
    INFO("accepted " << late_ms << " ms after the cancelling");
    LateAcceptanceWorld it;
    it.world().Cancel(kJob);
    it.world().RunFor(late_ms);
    it.StoreRequest();
    it.CheckCancelled();
    it.CheckNoRowsLeft();
  }
}

// The store executed the write of a request seconds after its client had
// cancelled it.
TEST_CASE("a request whose write is late is cancelled before it is written") {
  for (int cancelled_ms = 50; cancelled_ms <= 2'950; cancelled_ms += 290) {
    INFO("cancelled after " << cancelled_ms << " ms");
    LateAcceptanceWorld it;
    auto& world = it.world();
    world.store().SetFault("entry", StoreFault::kLate);
    world.Submit(OwnerWorld::MakeJob(kJob, 1, 1));
    world.RunFor(20);
    world.store().SetFault("entry", StoreFault::kNone);
    world.RunFor(cancelled_ms);
    world.Cancel(kJob);
    world.RunFor(3'000);
    it.CheckCancelled();
  }
}

// The cancelling was known to the former owner only.
TEST_CASE("a takeover keeps the cancelling of a job that is not accepted yet") {
  for (int killed_ms = 0; killed_ms <= 4'000; killed_ms += 500) {
    INFO("killed after " << killed_ms << " ms");
    LateAcceptanceWorld it;
    auto& world = it.world();
    world.Cancel(kJob);
    world.RunFor(killed_ms);
    world.KillOwner(world.OwnerName());
    world.RunFor(1'000);
    it.StoreRequest();
    it.CheckCancelled();
  }
}

// Lost history drops what a feed said of the cancelling.
TEST_CASE("lost history keeps the cancelling of a job not accepted yet") {
  LateAcceptanceWorld it;
  it.world().Cancel(kJob);
  it.world().RunFor(500);
  it.world().store().DropHistory();
  it.world().RunFor(500);
  it.StoreRequest();
  it.CheckCancelled();
}

// A name that is handed in again after its cancelling is the cancelled job.
TEST_CASE("a request after its cancelling is accepted and cancelled") {
  LateAcceptanceWorld it;
  it.world().Cancel(kJob);
  it.world().RunFor(500);
  it.world().Submit(OwnerWorld::MakeJob(kJob, 1, 1));
  it.CheckCancelled();
  CHECK(it.world().accepted_count() == 2);
  it.CheckNoRowsLeft();
}

// Clients that cancel unknown names must not fill the store.
TEST_CASE("cancellations of names that are never accepted are removed") {
  LateAcceptanceWorld it;
  constexpr int kNames = 2'000;
  for (int i = 0; i < kNames; ++i) {
    it.world().Cancel("unknown" + std::to_string(i));
  }
  it.world().RunFor(kRetentionMs / 2);
  CHECK(it.world().store().rows_in("requests") >= kNames);
  it.CheckNoRowsLeft();
}

}  // namespace
}  // namespace lapishatch::dispatch
