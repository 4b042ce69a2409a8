#include "membership/group.h"

#include <catch2/catch.hpp>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;
using fakes::FakeGroup;

constexpr Duration kSecond{1'000};

TEST_CASE("processes that start with two seeds come to know each other") {
  FakeGroup group(1);
  group.AddMany(16, 3);
  CHECK(group.time().RunUntil([&] { return group.Agrees(); }, 10 * kSecond));
  group.time().RunFor(60 * kSecond);
  CHECK(group.Agrees());
  CHECK(group.Suspicions() == 0);
}

TEST_CASE("a version that one process publishes is spread to all") {
  FakeGroup group(2);
  group.AddMany(16, 3);
  REQUIRE(group.time().RunUntil([&] { return group.Agrees(); }, 10 * kSecond));
  group[5].node.spreader().Publish(fakes::kConfigurationLog, 1, {"one", "two"});
  CHECK(group.time().RunUntil([&] { return group.HaveAll(2); }, kSecond));
  CHECK(group[11].follower.entries() == std::vector<std::string>{"one", "two"});
  CHECK(group.Violations() == 0);
}

}  // namespace
}  // namespace lapishatch::membership
