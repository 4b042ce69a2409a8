#ifndef LAPISHATCH_TESTING_MATRIX_STEP_H_
#define LAPISHATCH_TESTING_MATRIX_STEP_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lapishatch::matrix {

/// The protocols whose steps make the rows.
enum class Protocol : std::uint8_t { kRequest, kGang, kConfiguration };

/// The rows of the matrix: each is a message that a process sends, except the
/// planned stop, which is asked of it.
enum class Step : std::uint8_t {
  // A request.
  kClaim,
  kDispatch,
  kRecord,
  kReleaseClaim,
  // A cell and its gangs.
  kTakeCell,
  kRenewCell,
  kReleaseCell,
  kReserve,
  kIntent,
  kStart,
  kConfirm,
  kCheckpoint,
  kStop,
  kStatus,
  // A configuration.
  kAccept,
  kSpread,
};

/// The protocol a step belongs to.
Protocol ProtocolOf(Step step);

/// All steps of a protocol, in their order.
std::vector<Step> StepsOf(Protocol protocol);

}  // namespace lapishatch::matrix

namespace lapishatch::base {
template <>
struct EnumNames<matrix::Protocol> {
  static constexpr std::array<std::string_view, 3> kNames = {"request", "gang",
                                                             "configuration"};
};
template <>
struct EnumNames<matrix::Step> {
  static constexpr std::array<std::string_view, 16> kNames = {
      "claim",     "dispatch",   "record",       "release-claim",
      "take-cell", "renew-cell", "release-cell", "reserve",
      "intent",    "start",      "confirm",      "checkpoint",
      "stop",      "status",     "accept",       "spread"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_TESTING_MATRIX_STEP_H_
