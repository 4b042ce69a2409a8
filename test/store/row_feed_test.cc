#include "store/row_feed.h"

#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"

namespace lapishatch::store {
namespace {

/// A feed that keeps a copy of the table.
struct FeedWorld {
  FeedWorld() {
    feed.Start();
    RunFor(100);
  }

  void RunFor(int ms) { time.RunFor(base::Duration(ms)); }

  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  std::map<std::string, std::string> copy;
  RowVersion as_of = kAbsent;
  RowFeed feed{time,
               store.For("vm"),
               "t",
               {},
               {[this](const StoredRow& row) {
                  if (row.is_deleted) {
                    copy.erase(row.address.key);
                  } else {
                    copy[row.address.key] = row.value;
                  }
                },
                [this](RowVersion version) { as_of = version; }}};
};

TEST_CASE("a row feed passes changes and deletions") {
  FeedWorld world;
  world.store.Put("t", "", "a", "1");
  world.store.Put("t", "", "b", "1");
  world.RunFor(100);
  world.store.Put("t", "", "a", "2");
  world.store.Remove("t", "", "b");
  world.RunFor(100);
  CHECK(world.copy == std::map<std::string, std::string>{{"a", "2"}});
  CHECK(world.as_of == world.store.version());
}

TEST_CASE("rows that disappeared with the history are passed as deleted") {
  FeedWorld world;
  world.store.Put("t", "", "a", "1");
  world.store.Put("t", "", "b", "1");
  world.RunFor(100);
  world.store.SetFault("vm", fakes::StoreFault::kBusy);
  world.RunFor(1'500);
  world.store.Remove("t", "", "a");
  world.store.DropHistory();
  world.store.SetFault("vm", fakes::StoreFault::kNone);
  world.RunFor(1'500);
  CHECK(world.copy == std::map<std::string, std::string>{{"b", "1"}});
}

}  // namespace
}  // namespace lapishatch::store
