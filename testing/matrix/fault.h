#ifndef LAPISHATCH_TESTING_MATRIX_FAULT_H_
#define LAPISHATCH_TESTING_MATRIX_FAULT_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace lapishatch::matrix {

/// The columns of the matrix: what happens at a step.
enum class Fault : std::uint8_t {
  /// The process dies before the step's message leaves it.
  kDiesBefore,
  /// The message is carried out; the process dies before the answer comes.
  kDiesAfter,
  /// The message is carried out; the process is paused past its lease.
  kPaused,
  /// The one it talks to dies before it acts, and comes back empty later.
  kPeerDies,
  kMessageLost,
  kAnswerLost,
  kMessageDoubled,
  /// The message arrives after the sender has given up.
  kMessageLate,
  /// The table refuses everything for a while, this step included.
  kTableDown,
  /// The table answers late for a while.
  kTableSlow,
  /// The process cannot reach the table for a while; its own failure domain it
  /// can.
  kDomainCut,
  /// The one it talks to says nothing for a while, then goes on as it was.
  kSilent,
  /// Another operator changes or cancels the same thing at this moment.
  kOperatorsRace,
};

}  // namespace lapishatch::matrix

namespace lapishatch::base {
template <>
struct EnumNames<matrix::Fault> {
  static constexpr std::array<std::string_view, 13> kNames = {
      "dies-before", "dies-after", "paused",        "peer-dies",  "lost",
      "answer-lost", "doubled",    "late",          "table-down", "table-slow",
      "domain-cut",  "silent",     "operators-race"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_TESTING_MATRIX_FAULT_H_
