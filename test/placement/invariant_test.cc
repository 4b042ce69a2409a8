#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "cell_builder.h"
#include "planner_simulation.h"

namespace lapishatch::placement {
namespace {

/// Tests without hardware loss use only the first kinds of step.
constexpr int kKindsWithoutLoss = 6;
constexpr int kAllKinds = 10;

rc::Gen<Step> ArbitraryStep(int kinds) {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::map(rc::gen::inRange(0, 3 * kinds),
                                             [kinds](int n) {
                                               // A third of the steps are
                                               // additional submissions.
                                               const int kind = n / 2;
                                               return static_cast<StepKind>(
                                                   kind < kinds ? kind : 0);
                                             })),
      rc::gen::set(&Step::a, rc::gen::inRange(0, 24)),
      rc::gen::set(&Step::b, rc::gen::inRange(0, 48)),
      rc::gen::set(&Step::c, rc::gen::inRange(0, 27)));
}

std::string RunSteps(int per_rack, int accelerators,
                     const std::vector<Step>& steps) {
  PlannerSimulation simulation(per_rack, accelerators);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto problem = simulation.Apply(steps[i]);
    if (!problem.empty()) {
      return "step " + std::to_string(i) + ": " + problem;
    }
  }
  return {};
}

void CheckRandomSteps(const char* name, int kinds) {
  const bool holds = rc::check(name, [kinds] {
    const auto per_rack = *rc::gen::element(1, 2, 3);
    const auto accelerators = *rc::gen::element(2, 4, 8);
    const auto steps =
        *rc::gen::container<std::vector<Step>>(ArbitraryStep(kinds));
    const auto problem = RunSteps(per_rack, accelerators, steps);
    if (!problem.empty()) RC_FAIL(problem);
  });
  CHECK(holds);
}

TEST_CASE("guarantees keep their places while no hardware is lost") {
  CheckRandomSteps("steps without hardware loss", kKindsWithoutLoss);
}

TEST_CASE("a shortfall after hardware loss occurs only if blocks do not fit") {
  CheckRandomSteps("steps of all kinds", kAllKinds);
}

// Regression tests: shrunk step sequences that violated the invariant.

TEST_CASE("a block for one rack is not moved onto a gang across racks") {
  for (const int per_rack : {1, 2, 3}) {
    CHECK(RunSteps(per_rack, 4,
                   {{StepKind::kSubmit, 0, 14, 4},
                    {StepKind::kSubmit, 0, 22, 4},
                    {StepKind::kSubmit, 0, 14, 16},
                    {StepKind::kConfigure, 6, 0, 0},
                    {StepKind::kSubmit, 4, 13, 8}}) == kNoProblem);
  }
}

TEST_CASE(
    "adopted work without a guarantee that can't be evicted moves blocks") {
  CHECK(RunSteps(2, 4,
                 {{StepKind::kConfigure, 0, 0, 0},
                  {StepKind::kSubmit, 1, 0, 0},
                  {StepKind::kConfigure, 1, 0, 0},
                  {StepKind::kSubmit, 0, 0, 18},
                  {StepKind::kNewOwner, 0, 0, 0}}) == kNoProblem);
}

TEST_CASE("adopted work uses the free part of a block in use") {
  CHECK(RunSteps(3, 8,
                 {{StepKind::kConfigure, 5, 0, 0},
                  {StepKind::kSubmit, 0, 0, 0},
                  {StepKind::kConfigure, 0, 0, 0},
                  {StepKind::kSubmit, 1, 0, 18},
                  {StepKind::kNewOwner, 0, 0, 0}}) == kNoProblem);
}

TEST_CASE("a block that was retired and replaced is not guaranteed again") {
  CHECK(RunSteps(1, 8,
                 {{StepKind::kForce, 5, 0, 0},
                  {StepKind::kSubmit, 16, 0, 18},
                  {StepKind::kSetHealth, 0, 1, 0},
                  {StepKind::kForce, 21, 0, 0}}) == kNoProblem);
}

TEST_CASE("blocks displaced by adopted work are placed again") {
  CHECK(RunSteps(2, 8,
                 {{StepKind::kConfigure, 0, 0, 0},
                  {StepKind::kSubmit, 1, 26, 14},
                  {StepKind::kSubmit, 10, 0, 0},
                  {StepKind::kConfigure, 5, 0, 0},
                  {StepKind::kSubmit, 0, 5, 8},
                  {StepKind::kSubmit, 0, 0, 0},
                  {StepKind::kSubmit, 4, 0, 0},
                  {StepKind::kNewOwner, 0, 0, 0}}) == kNoProblem);
}

}  // namespace
}  // namespace lapishatch::placement
