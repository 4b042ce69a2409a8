#include "store/store_health.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"

namespace lapishatch::store {
namespace {

using fakes::FakeRowStore;
using fakes::StoreFault;

struct World {
  fakes::VirtualTime time;
  FakeRowStore store{time};
  MonitoredStore monitored{time, store.For("vm"), {}};

  void RunFor(int ms) { time.RunFor(base::Duration(ms)); }
};

TEST_CASE("a store that answers its probes is not out") {
  World world;
  world.monitored.Start();
  world.RunFor(10'000);
  CHECK_FALSE(world.monitored.IsOut());
}

TEST_CASE("a silent store is out within two seconds and back within one") {
  World world;
  world.monitored.Start();
  world.RunFor(3'000);
  world.store.SetFault("vm", StoreFault::kSilent);
  world.RunFor(2'000);
  CHECK(world.monitored.IsOut());
  world.store.SetFault("vm", StoreFault::kNone);
  world.RunFor(1'000);
  CHECK_FALSE(world.monitored.IsOut());
}

TEST_CASE("a store that refuses is out within a second") {
  World world;
  world.monitored.Start();
  world.RunFor(3'000);
  world.store.SetFault("vm", StoreFault::kBusy);
  world.RunFor(1'000);
  CHECK(world.monitored.IsOut());
}

TEST_CASE("a slow store is not out") {
  World world;
  world.store.delay = base::Duration(350);
  world.monitored.Start();
  world.RunFor(10'000);
  CHECK_FALSE(world.monitored.IsOut());
}

/// Milliseconds until a transaction has its answer, and what it was.
std::pair<std::int64_t, bool> Commit(World& world) {
  const auto sent = world.time.Now();
  std::optional<std::pair<std::int64_t, bool>> out;
  world.monitored.Commit({"part", {}, {{"table", "key", "value"}}, {}},
                         [&](const RowsResult& result) {
                           out = std::pair(
                               (world.time.Now() - sent).count(),
                               std::holds_alternative<RowsCommitted>(result));
                         });
  world.RunFor(3'000);
  REQUIRE(out);
  return *out;
}

TEST_CASE("a transaction of a store seen to be slow is not given up") {
  World world;
  world.monitored.Start();
  world.RunFor(3'000);
  CHECK(Commit(world).second);
  // 94 times as slow as usual. The first transaction is waited for longer once
  // a probe that was sent meanwhile has shown it.
  world.store.delay = base::Duration(188);
  world.store.commit_time = base::Duration(752);
  CHECK(Commit(world) == std::pair<std::int64_t, bool>(1'128, true));
  CHECK(Commit(world) == std::pair<std::int64_t, bool>(1'128, true));
}

TEST_CASE("a lost answer of a fast store is given up after a second") {
  World world;
  world.monitored.Start();
  world.RunFor(3'000);
  world.store.SetFaultForTransactions(StoreFault::kAnswersLost);
  CHECK(Commit(world) == std::pair<std::int64_t, bool>(1'000, false));
}

}  // namespace
}  // namespace lapishatch::store
