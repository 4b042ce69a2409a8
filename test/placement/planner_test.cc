#include <catch2/catch.hpp>

#include "cell_builder.h"
#include "placement/placement.h"

namespace lapishatch::placement {
namespace {

using base::Duration;
using base::JobName;
using base::OrganisationName;
using base::TimePoint;

TEST_CASE("all tasks of a gang start together on free capacity") {
  Planner planner({});
  for (int i = 0; i < 4; ++i) planner.PutWorker(MakeWorker(i));
  const TimePoint now{Duration(1000)};
  REQUIRE(planner.Submit(MakeGang("a", "one", 2, 8), now).empty());
  const auto decisions = planner.Decide(now);
  REQUIRE(decisions.size() == 1);
  const auto& start = std::get<StartGang>(decisions[0]);
  CHECK(start.placement.tasks.size() == 2);
  CHECK(start.placement.borrowed);
  CHECK(planner.free_accelerators() == 16);
  CHECK(planner.CheckInvariant() == kNoProblem);
}

TEST_CASE("a guaranteed gang evicts the borrowed work in its block") {
  Planner planner({});
  for (int i = 0; i < 2; ++i) planner.PutWorker(MakeWorker(i));
  REQUIRE(planner.SetGuarantees(
              {{OrganisationName("owner"), {16, Adjacency::kRack}, 1}}) ==
          kNoProblem);
  TimePoint now{Duration(1000)};
  planner.Submit(MakeGang("borrowed", "other", 2, 8), now);
  REQUIRE(planner.Decide(now).size() == 1);
  planner.Submit(MakeGang("owned", "owner", 2, 8), now);
  auto decisions = planner.Decide(now);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<EvictGang>(decisions[0]).job == JobName("borrowed"));
  CHECK(planner.CheckInvariant() == kNoProblem);
  CHECK(planner.Decide(now).empty());
  planner.ReportEnded(JobName("borrowed"), now);
  decisions = planner.Decide(now);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<StartGang>(decisions[0]).job == JobName("owned"));
  CHECK_FALSE(std::get<StartGang>(decisions[0]).placement.borrowed);
  CHECK(planner.CheckInvariant() == kNoProblem);
}

TEST_CASE("guarantees that do not fit together are refused with a reason") {
  Planner planner({});
  for (int i = 0; i < 2; ++i) planner.PutWorker(MakeWorker(i));
  const auto reason = planner.SetGuarantees(
      {{OrganisationName("a"), {16, Adjacency::kRack}, 1},
       {OrganisationName("b"), {8, Adjacency::kWorker}, 1}});
  CHECK(reason.find("organisation b") != std::string::npos);
  CHECK(planner.Shortfalls().empty());
  CHECK(planner.CheckInvariant() == kNoProblem);
}

}  // namespace
}  // namespace lapishatch::placement
