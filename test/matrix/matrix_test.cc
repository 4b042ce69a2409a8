#include "matrix/matrix.h"

#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::matrix {
namespace {

constexpr unsigned kThreads = 4;

std::size_t ViolationsOf(const SweepSummary& summary, Invariant invariant) {
  return summary.violations[static_cast<std::size_t>(invariant)];
}

/// Runs a sweep, prints its table and demands that nothing was violated and
/// that most planned faults were really injected.
void CheckSweep(Protocol protocol, bool pairs, double least_reached) {
  const auto summary = Sweep(protocol, pairs, kThreads);
  const auto text = TextOf(summary);
  WARN(text);
  CHECK(summary.total_violations() == 0);
  CHECK(static_cast<double>(summary.reached) >=
        least_reached * static_cast<double>(summary.cells));
}

TEST_CASE("requests: every fault at every step, singly and in pairs") {
  CheckSweep(Protocol::kRequest, false, 0.75);
  CheckSweep(Protocol::kRequest, true, 0.4);
}

TEST_CASE("gangs: every fault at every step, singly and in pairs") {
  CheckSweep(Protocol::kGang, false, 1.0);
  CheckSweep(Protocol::kGang, true, 0.9);
}

TEST_CASE("configuration: every fault at every step, singly and in pairs") {
  CheckSweep(Protocol::kConfiguration, false, 1.0);
  CheckSweep(Protocol::kConfiguration, true, 0.95);
}

/// A rule broken on purpose, and the invariant that must notice.
struct Seam {
  Break broken;
  Protocol protocol;
  Invariant invariant;
};

TEST_CASE("each check notices the break of its rule") {
  const Seam seams[] = {
      {Break::kTableIgnoresConditions, Protocol::kRequest,
       Invariant::kAtMostOnce},
      {Break::kTableIgnoresConditions, Protocol::kGang,
       Invariant::kNoPartialGang},
      {Break::kLostIsNotReached, Protocol::kRequest, Invariant::kAtMostOnce},
      {Break::kLostIsNotReached, Protocol::kRequest, Invariant::kTrueRefusal},
      {Break::kAnswersCrossed, Protocol::kRequest, Invariant::kWholeAnswer},
      {Break::kWorkersDropLastMember, Protocol::kGang,
       Invariant::kNoPartialGang},
      {Break::kWorkersIgnoreStops, Protocol::kGang,
       Invariant::kGuaranteeReclaimed},
      {Break::kLeavingIsHidden, Protocol::kGang, Invariant::kLeavingGetsNoWork},
      {Break::kStopIsAKill, Protocol::kGang,
       Invariant::kPlannedStopCutsNothing},
      {Break::kMirrorGoesBack, Protocol::kConfiguration,
       Invariant::kConfigurationInForce},
      {Break::kTableIgnoresConditions, Protocol::kConfiguration,
       Invariant::kConfigurationInForce},
      {Break::kAnswersSwallowed, Protocol::kRequest, Invariant::kNothingHangs},
  };
  for (const auto& seam : seams) {
    const auto summary = Sweep(seam.protocol, false, kThreads, seam.broken);
    INFO(base::NameOf(seam.broken) << " on " << base::NameOf(seam.protocol));
    CHECK(ViolationsOf(summary, seam.invariant) > 0);
  }
}

/// Cells that were violated once; the commit that mended each says how.
TEST_CASE("cells that were found violated stay mended") {
  const std::string plans[] = {
      // An end was acknowledged before it was recorded, and a non-idempotent
      // job ran again.
      "release-cell:table-down+intent:domain-cut",
      // A job cancelled while its owner recovered never came to its end.
      "checkpoint:domain-cut",
      "take-cell:paused+renew-cell:paused",
      // A job that ran unrecorded was reported as never run.
      "reserve:domain-cut+start:operators-race",
      // A planned stop cut a gang that could not be recorded.
      "stop:table-slow+checkpoint:table-down",
      // A gang ran again while a part of it still ran on a silent worker.
      "checkpoint:late+stop:silent",
  };
  for (const auto& text : plans) {
    const auto plan = ParsePlan(text);
    REQUIRE(plan);
    const auto result = RunWorld(Protocol::kGang, *plan);
    INFO(text);
    CHECK(result.violations.empty());
  }
}

TEST_CASE("a plan is read back from its text") {
  const auto plan = ParsePlan("claim:lost+record:dies-after");
  REQUIRE(plan);
  CHECK(TextOf(*plan) == "claim:lost+record:dies-after");
  CHECK_FALSE(ParsePlan("claim:vanishes"));
}

}  // namespace
}  // namespace lapishatch::matrix
