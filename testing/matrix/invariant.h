#ifndef LAPISHATCH_TESTING_MATRIX_INVARIANT_H_
#define LAPISHATCH_TESTING_MATRIX_INVARIANT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/base.h"

namespace lapishatch::matrix {

/// What must always hold, as the users' brief lists it, and that nothing is
/// left hanging.
enum class Invariant : std::uint8_t {
  kGuaranteeReclaimed,
  kNoPartialGang,
  kWholeAnswer,
  kTrueRefusal,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kPlannedStopCutsNothing,
  kConfigurationInForce,
  kNothingHangs,
};

/// One time that an invariant did not hold.
struct Violation {
  Invariant invariant = Invariant::kNothingHangs;
  std::string detail;
};

}  // namespace lapishatch::matrix

namespace lapishatch::base {
template <>
struct EnumNames<matrix::Invariant> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "guarantee-reclaimed",
      "no-partial-gang",
      "whole-answer",
      "true-refusal",
      "at-most-once",
      "leaving-gets-no-work",
      "planned-stop-cuts-nothing",
      "configuration-in-force",
      "nothing-hangs"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_TESTING_MATRIX_INVARIANT_H_
