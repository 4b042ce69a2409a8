#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

#include "dispatch/owner_lease.h"
#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;

/// A service with one worker, and registrations of another writer.
struct ForeignRowWorld : OwnerWorld {
  ForeignRowWorld() : OwnerWorld(1, 1) { RunFor(1'500); }

  ~ForeignRowWorld() {
    for (const auto& it : workers().violations()) FAIL_CHECK(it);
  }
};

/// Guards against a service that nobody can own since another writer has put
/// something else into a fence.
TEST_CASE("a fence of another writer does not keep owners away") {
  for (const auto* value : {"", "x", "-1", "18446744073709551615", "1e9",
                            "99999999999999999999999"}) {
    INFO(value);
    ForeignRowWorld world;
    world.KillOwner(world.OwnerName());
    const base::ServiceName service(OwnerWorld::kService);
    for (const auto& it : jobs::ProgressPartitions(service)) {
      world.store().Put(std::string(kOwnerTable), it, std::string(kFenceKey),
                        value);
    }
    world.StartOwner("vm1");
    world.RunFor(6'000);
    world.Submit(OwnerWorld::MakeJob("a", 2, 1));
    world.RunFor(4'000);
    CHECK(world.StateOf("a") == JobState::kCompleted);
  }
}

/// Guards against an owner row of another writer that nobody takes over.
TEST_CASE("an owner row of another writer is taken over") {
  for (const auto* value : {"", "x", "vm0/1", "\xff\xfe"}) {
    INFO(value);
    ForeignRowWorld world;
    world.KillOwner(world.OwnerName());
    world.store().Put(std::string(kOwnerTable), OwnerWorld::kService,
                      std::string(kLeaseKey), value);
    world.StartOwner("vm1");
    world.RunFor(15'000);
    world.Submit(OwnerWorld::MakeJob("a", 2, 1));
    world.RunFor(4'000);
    CHECK(world.StateOf("a") == JobState::kCompleted);
  }
}

}  // namespace
}  // namespace lapishatch::dispatch
