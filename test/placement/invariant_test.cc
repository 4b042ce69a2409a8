#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "cell_builder.h"
#include "history.h"

namespace lapishatch::placement {
namespace {

/// Histories without lost hardware use only the first kinds of step.
constexpr int kHarmlessKinds = 6;
constexpr int kAllKinds = 10;

rc::Gen<Step> AnyStep(int kinds) {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::map(rc::gen::inRange(0, 3 * kinds),
                                             [kinds](int n) {
                                               // Submissions are as common as
                                               // all else.
                                               const int kind = n / 2;
                                               return static_cast<StepKind>(
                                                   kind < kinds ? kind : 0);
                                             })),
      rc::gen::set(&Step::a, rc::gen::inRange(0, 24)),
      rc::gen::set(&Step::b, rc::gen::inRange(0, 48)),
      rc::gen::set(&Step::c, rc::gen::inRange(0, 27)));
}

std::string Play(int per_rack, int accelerators,
                 const std::vector<Step>& steps) {
  History history(per_rack, accelerators);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto problem = history.Play(steps[i]);
    if (!problem.empty()) {
      return "step " + std::to_string(i) + ": " + problem;
    }
  }
  return {};
}

void CheckHistories(const char* name, int kinds) {
  const bool holds = rc::check(name, [kinds] {
    const auto per_rack = *rc::gen::element(1, 2, 3);
    const auto accelerators = *rc::gen::element(2, 4, 8);
    const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep(kinds));
    const auto problem = Play(per_rack, accelerators, steps);
    if (!problem.empty()) RC_FAIL(problem);
  });
  CHECK(holds);
}

TEST_CASE("without lost hardware every guarantee always has its place") {
  CheckHistories("harmless histories", kHarmlessKinds);
}

TEST_CASE("with lost hardware a guarantee is short only when it must be") {
  CheckHistories("all histories", kAllKinds);
}

// Regression tests: shrunk histories that violated the invariant.

TEST_CASE("a block for one rack does not follow a gang across racks") {
  for (const int per_rack : {1, 2, 3}) {
    CHECK(Play(per_rack, 4,
               {{StepKind::kSubmit, 0, 14, 4},
                {StepKind::kSubmit, 0, 22, 4},
                {StepKind::kSubmit, 0, 14, 16},
                {StepKind::kConfigure, 6, 0, 0},
                {StepKind::kSubmit, 4, 13, 8}}) == kNoProblem);
  }
}

TEST_CASE(
    "work that can't be evicted, found without a guarantee, moves blocks") {
  CHECK(Play(2, 4,
             {{StepKind::kConfigure, 0, 0, 0},
              {StepKind::kSubmit, 1, 0, 0},
              {StepKind::kConfigure, 1, 0, 0},
              {StepKind::kSubmit, 0, 0, 18},
              {StepKind::kNewOwner, 0, 0, 0}}) == kNoProblem);
}

TEST_CASE("found work takes the free part of a block in use") {
  CHECK(Play(3, 8,
             {{StepKind::kConfigure, 5, 0, 0},
              {StepKind::kSubmit, 0, 0, 0},
              {StepKind::kConfigure, 0, 0, 0},
              {StepKind::kSubmit, 1, 0, 18},
              {StepKind::kNewOwner, 0, 0, 0}}) == kNoProblem);
}

TEST_CASE("a block that was reissued is not guaranteed again") {
  CHECK(Play(1, 8,
             {{StepKind::kForce, 5, 0, 0},
              {StepKind::kSubmit, 16, 0, 18},
              {StepKind::kSetHealth, 0, 1, 0},
              {StepKind::kForce, 21, 0, 0}}) == kNoProblem);
}

TEST_CASE("blocks that gave way to found work are placed again") {
  CHECK(Play(2, 8,
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
