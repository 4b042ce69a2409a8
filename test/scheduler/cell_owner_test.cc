#include <catch2/catch.hpp>

#include "owner_rig.h"

namespace lapishatch::scheduler {
namespace {

using config::JobPhase;

constexpr base::Duration kSecond{1'000};
constexpr base::Duration kMinute{60'000};

TEST_CASE("an owner takes a cell, runs a gang and records its end") {
  OwnerRig rig(4);
  const auto process = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 5));

  rig.feed.Accept(rig.Job("plan", 3, 8));
  REQUIRE(rig.RunUntilPhase("plan", JobPhase::kRunning, kSecond * 5));
  CHECK(rig.RunningTasksOf("plan") == 3);
  CHECK(rig.IntentOf("plan")->members.size() == 3);

  REQUIRE(rig.RunUntilPhase("plan", JobPhase::kFinished, kMinute * 2));
  CHECK_FALSE(rig.IntentOf("plan").has_value());
  CHECK(rig.StartsOf("plan") == 3);
}

}  // namespace
}  // namespace lapishatch::scheduler
