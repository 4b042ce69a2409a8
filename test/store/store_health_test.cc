#include "store/store_health.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace lapishatch::store
