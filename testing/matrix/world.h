#ifndef LAPISHATCH_TESTING_MATRIX_WORLD_H_
#define LAPISHATCH_TESTING_MATRIX_WORLD_H_

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>
#include <vector>

#include "matrix/fault_plan.h"
#include "matrix/invariant.h"

namespace lapishatch::matrix {

/// A rule that is broken on purpose at an interface of the fakes, to show that
/// the checks can fail. kNone outside that proof.
enum class Break : std::uint8_t {
  kNone,
  /// The table does not check conditions.
  kTableIgnoresConditions,
  /// A lost answer of a runner is taken for "not reached".
  kLostIsNotReached,
  /// Answers of runners go to the wrong request.
  kAnswersCrossed,
  /// Workers do not check epochs and incarnations, and start what was not
  /// reserved.
  kWorkersIgnoreFences,
  /// Workers carry out orders for the last member of a gang never.
  kWorkersDropLastMember,
  /// Workers do not carry out stops.
  kWorkersIgnoreStops,
  /// The list of runners never shows that one leaves, nor does the runner.
  kLeavingIsHidden,
  /// A planned stop is carried out as a kill that stops what runs.
  kStopIsAKill,
  /// A process shows what it was told last, whatever its version.
  kMirrorGoesBack,
  /// Callers are never answered.
  kAnswersSwallowed,
};

/// What one run of a world showed.
struct WorldResult {
  /// All faults of the plan were injected.
  bool reached = false;
  std::vector<Violation> violations;
  /// Longest time that a part of a gang ran alone.
  base::Duration longest_part{0};
  /// Time from acceptance to the start of the urgent guaranteed gang; zero when
  /// it never ran whole.
  base::Duration urgent_start{0};
};

/// How a world is run.
struct WorldOptions {
  Break broken = Break::kNone;
  /// Where to write every step with its time; may be null.
  std::ostream* trace = nullptr;
};

/// Runs one cell of the matrix on the real machines against fakes, in virtual
/// time. The same plan gives the same result.
WorldResult RunRequestWorld(FaultPlan plan, WorldOptions options);
WorldResult RunGangWorld(FaultPlan plan, WorldOptions options);
WorldResult RunConfigurationWorld(FaultPlan plan, WorldOptions options);

/// Runs the world of `protocol`.
WorldResult RunWorld(Protocol protocol, const FaultPlan& plan,
                     WorldOptions options = {});

}  // namespace lapishatch::matrix

namespace lapishatch::base {
template <>
struct EnumNames<matrix::Break> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "none",
      "table-ignores-conditions",
      "lost-is-not-reached",
      "answers-crossed",
      "workers-ignore-fences",
      "workers-drop-last-member",
      "workers-ignore-stops",
      "leaving-is-hidden",
      "stop-is-a-kill",
      "mirror-goes-back",
      "answers-swallowed"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_TESTING_MATRIX_WORLD_H_
