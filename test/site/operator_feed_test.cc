#include "platform/operator_feed.h"

#include <catch2/catch.hpp>

#include "entry_world.h"

namespace lapishatch::platform {
namespace {

using fakes::StoreFault;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// A process that has applied version 1, with route 1 and key 1.
struct ServingWorld : EntryWorld {
  ServingWorld() {
    Put({1, {1}, {1}});
    feed.Start();
    RunFor(500);
    REQUIRE(Ask(1, 1) == kOk);
  }
};

TEST_CASE("requests are checked against the configuration in force") {
  ServingWorld world;
  CHECK(world.Ask(2, 1) == kNotFound);
  CHECK(world.Ask(1, 2) == kUnauthorized);
  world.Put({2, {2}, {2}});
  world.RunFor(100);
  CHECK(world.Ask(2, 2) == kOk);
  CHECK(world.Ask(1, 2) == kNotFound);
  CHECK(world.Ask(2, 1) == kUnauthorized);
}

TEST_CASE("a process without a configuration refuses requests as retryable") {
  EntryWorld world;
  world.feed.Start();
  world.RunFor(3'000);
  CHECK(world.Ask(1, 1) == kUnavailable);
}

}  // namespace
}  // namespace lapishatch::platform
