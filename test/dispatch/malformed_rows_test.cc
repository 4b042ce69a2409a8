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

  /// A registration like that of the worker, under another name.
  WorkerRegistration ForeignRegistration(const std::string& name) {
    auto out = RegistrationOf(WorkerNameAt(0));
    out.name = base::WorkerName(name);
    return out;
  }
};

/// Guards against a worker that counts as crashed since another entry
/// names its address, and against a log line for each change of that entry.
TEST_CASE("an entry with the address of another worker does not harm it") {
  ForeignRowWorld world;
  const auto foreign = world.ForeignRegistration("duplicate");
  world.workers().Add(foreign);
  world.workers().Supersede(foreign.name);
  for (int i = 0; i < 20; ++i) {
    world.Reregister(foreign);
    world.RunFor(200);
    world.Deregister(foreign.name);
  }
  const auto events = base::RecentEvents();
  const auto is_loss = [](const base::RecentEvent& it) {
    return it.number == base::events::kWorkerGone.number &&
           it.text.find("duplicate") != std::string::npos;
  };
  CHECK(std::count_if(events.begin(), events.end(), is_loss) <= 1);
  for (const auto& it : events) {
    if (!is_loss(it)) continue;
    INFO(it.text);
    CHECK(it.text.find("recorded") == std::string::npos);
  }
  world.Submit(OwnerWorld::MakeJob("a", 4, 2));
  world.RunFor(4'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.metrics().Render().find("lapishatch_tasks_lost_total") ==
        std::string::npos);
}

/// Guards against sums of capacities that overflow.
TEST_CASE("entries of the largest capacity do not affect decisions") {
  ForeignRowWorld world;
  world.SetGuarantee("crews", std::numeric_limits<std::int32_t>::max());
  constexpr int kMax = std::numeric_limits<std::int32_t>::max();
  for (int i = 0; i < 20; ++i) {
    auto foreign = world.ForeignRegistration("large" + std::to_string(i));
    foreign.endpoint.port = static_cast<std::uint16_t>(30'000 + i);
    foreign.capacity = {kMax, kMax, kMax};
    world.Reregister(foreign);
  }
  auto urgent = OwnerWorld::MakeJob("urgent", 8, 1);
  urgent.priority = 0;
  world.Submit(urgent);
  world.Submit(OwnerWorld::MakeJob("a", 8, 1));
  world.RunFor(8'000);
  CHECK(world.StateOf("urgent") == JobState::kCompleted);
  CHECK(world.StateOf("a") == JobState::kCompleted);
}

/// Guards against tasks that end, or a lease that runs out, since the entry of
/// their worker was overwritten.
TEST_CASE("tasks run on while the entry of their worker is unreadable") {
  ForeignRowWorld world;
  world.workers().run_time = [](const jobs::TaskName&) {
    return Duration(30'000);
  };
  const auto job = OwnerWorld::MakeJob("a", 1, 1);
  const jobs::TaskName task{job.name, 0, 0, 0};
  world.Submit(job);
  world.RunFor(500);
  REQUIRE(world.workers().IsRunning(task));
  const auto registration = world.RegistrationOf(OwnerWorld::WorkerNameAt(0));
  for (int i = 0; i < 10; ++i) {
    // The feed passes an unreadable entry on as a removal.
    world.Deregister(registration.name);
    world.RunFor(1'200);
    if (i < 9) world.Reregister(registration);
    world.RunFor(100);
  }
  world.Submit(OwnerWorld::MakeJob("b", 1, 1));
  world.RunFor(8'000);
  CHECK(world.workers().IsRunning(task));
  CHECK(world.StateOf("b") == JobState::kQueued);
  world.Reregister(registration);
  world.RunFor(500);
  CHECK(world.StateOf("b") == JobState::kRunning);
  world.RunFor(40'000);
  CHECK(world.StateOf("a") == JobState::kCompleted);
  CHECK(world.workers().starts(task) == 1);
}

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

/// Guards against tasks that wait for leases which no former owner can have
/// granted.
TEST_CASE("former leases of any length in a row delay restarts no longer") {
  for (const auto* value : {"9223372036854775807", "86400000", "x"}) {
    INFO(value);
    OwnerWorld world(1, 2);
    world.RunFor(1'500);
    world.workers().run_time = [](const jobs::TaskName&) {
      return Duration(5'000);
    };
    world.Submit(OwnerWorld::MakeJob("a", 1, 1));
    world.RunFor(500);
    const jobs::TaskName task{base::JobName("a"), 0, 0, 0};
    const auto worker = world.workers().FindWorkerRunning(task);
    REQUIRE_FALSE(worker.str().empty());
    world.KillOwner(world.OwnerName());
    world.workers().Crash(worker);
    world.Deregister(worker);
    world.store().Put(std::string(kOwnerTable), OwnerWorld::kService,
                      std::string(kFormerKey), value);
    world.StartOwner("vm1");
    world.RunFor(30'000);
    CHECK(world.workers().starts(task) == 2);
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
