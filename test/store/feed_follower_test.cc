#include "store/feed_follower.h"

#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"

namespace lapishatch::store {
namespace {

using fakes::FakeRowStore;
using fakes::StoreFault;

/// A follower that keeps a copy of the table.
struct World {
  explicit World(FollowerOptions options = {})
      : follower(time, store.For("vm"), "t", {"p"}, options,
                 {[this](const std::vector<StoredRow>& rows, RowVersion) {
                    ++reads;
                    copy.clear();
                    Apply(rows);
                  },
                  [this](const std::vector<StoredRow>& rows, RowVersion) {
                    if (!rows.empty()) ++news;
                    Apply(rows);
                  },
                  [this](const std::string&) { ++failures; }}) {}

  void Apply(const std::vector<StoredRow>& rows) {
    for (const auto& it : rows) {
      if (it.is_deleted) {
        copy.erase(it.address.key);
      } else {
        copy[it.address.key] = it.value;
      }
    }
  }

  void RunFor(int ms) { time.RunFor(base::Duration(ms)); }

  fakes::VirtualTime time;
  FakeRowStore store{time};
  std::map<std::string, std::string> copy;
  int reads = 0;
  int news = 0;
  int failures = 0;
  FeedFollower follower;
};

TEST_CASE("a follower has what was there and what comes, of its part alone") {
  World world;
  world.store.Put("t", "p", "a", "1");
  world.follower.Start();
  world.RunFor(100);
  world.store.Put("t", "p", "b", "2");
  world.store.Put("t", "other", "c", "3");
  world.store.Put("u", "p", "d", "4");
  world.RunFor(100);
  CHECK(world.copy ==
        std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
  CHECK(world.reads == 1);
}

TEST_CASE("a table of several pages is read whole") {
  World world;
  constexpr int kRows = 1'203;
  for (int i = 0; i < kRows; ++i) {
    world.store.Put("t", "p", std::to_string(10'000 + i), "x");
  }
  world.follower.Start();
  world.RunFor(200);
  CHECK(world.copy.size() == kRows);
}

TEST_CASE("after an outage a follower goes on, also when its history is gone") {
  World world;
  world.follower.Start();
  world.RunFor(100);
  world.store.SetFault("vm", StoreFault::kSilent);
  world.store.Put("t", "p", "a", "1");
  world.RunFor(4'000);
  CHECK(world.failures > 0);
  world.store.DropHistory();
  world.store.SetFault("vm", StoreFault::kNone);
  world.RunFor(3'000);
  CHECK(world.copy.size() == 1);
  CHECK(world.reads == 2);
}

TEST_CASE("a follower keeps up with more news than one answer holds") {
  FollowerOptions options;
  options.spacing = base::Duration(300);
  World world(options);
  world.follower.Start();
  world.RunFor(100);
  // 2,000 changes a second, as of 3,000 workers that report every 1.5 s.
  constexpr int kRows = 3'000;
  constexpr int kRounds = 4;
  for (int round = 1; round <= kRounds; ++round) {
    for (int i = 0; i < kRows; ++i) {
      world.store.Put("t", "p", std::to_string(i), std::to_string(round));
      if (i % 2 == 1) world.RunFor(1);
    }
  }
  // What was written last is heard within the spacing and a few answers.
  world.RunFor(400);
  CHECK(world.copy[std::to_string(kRows - 1)] == std::to_string(kRounds));
}

TEST_CASE("news that may wait are gathered") {
  FollowerOptions options;
  options.spacing = base::Duration(300);
  World world(options);
  world.follower.Start();
  world.RunFor(100);
  constexpr int kChanges = 60;
  for (int i = 0; i < kChanges; ++i) {
    world.store.Put("t", "p", "a", std::to_string(i));
    world.RunFor(50);
  }
  world.RunFor(1'000);
  CHECK(world.copy["a"] == std::to_string(kChanges - 1));
  CHECK(world.news <= 12);
}

TEST_CASE("a lagging store is not read in a tight loop") {
  World world;
  world.store.Put("t", "p", "a", "1");
  world.follower.Start();
  world.RunFor(2'000);
  world.store.SetFault("vm", StoreFault::kBusy);
  world.RunFor(100);
  world.store.Put("t", "p", "a", "2");
  world.RunFor(100);
  world.store.DropHistory();
  world.store.read_lag = base::Duration(5'000);
  world.store.SetFault("vm", StoreFault::kNone);
  const int before = world.store.reads();
  world.RunFor(4'000);
  CHECK(world.store.reads() - before <= 100);
  world.RunFor(2'000);
  CHECK(world.copy["a"] == "2");
}

TEST_CASE("a reload from a lagging store does not stop the feed") {
  World world;
  world.store.Put("t", "p", "a", "1");
  world.follower.Start();
  world.RunFor(2'000);
  world.store.read_lag = base::Duration(5'000);
  world.store.Put("t", "p", "a", "2");
  world.RunFor(100);
  world.follower.Reload();
  world.RunFor(100);
  world.store.Put("t", "p", "a", "3");
  world.RunFor(1'000);
  CHECK(world.copy["a"] == "3");
}

}  // namespace
}  // namespace lapishatch::store
