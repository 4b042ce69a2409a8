#ifndef LAPISHATCH_ROUTING_CLAIM_MACHINE_H_
#define LAPISHATCH_ROUTING_CLAIM_MACHINE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lapishatch::routing {

/// What a non-idempotent request can learn.
enum class ClaimEvent : std::uint8_t {
  // Of writing the claim row.
  kClaimWritten,
  kClaimConflict,
  kClaimNotWritten,
  kClaimUnknown,
  // Of reading the row.
  kRowIsOurs,
  kRowIsFree,
  kRowInProgress,
  kRowDone,
  kRowUnknown,
  kRowOtherContent,
  kRowUnreadable,
  // Of the run.
  kSlotGiven,
  kRunnerAnswered,
  kRunnerDidNotRun,
  kRunnerLost,
  kOutcomeRecorded,
  /// The caller's time is over, or the queue gave the request up.
  kGivenUp,
};

/// What its driver then does.
enum class ClaimStep : std::uint8_t {
  kWriteClaim,
  kReadClaim,
  kReadClaimLater,
  kJoinQueue,
  kDispatch,
  kRecordOutcome,
  kRecordUnknown,
  /// Make certain that the claim does not stand, in the background.
  kRelease,
  kAnswer,
  kReplay,
  kRefuseNotRun,
  kRefuseInProgress,
  kRefuseUnknown,
  kRefuseOtherContent,
  /// The key is held by somebody and its row cannot be read.
  kRefuseUnreadable,
};

/// The states of one non-idempotent request and what each event does in them.
/// Pure: no I/O, no clock. Its rule is that kDispatch follows only a claim that
/// certainly stands, and follows another kDispatch only after the runner's own
/// word, or proof that no byte reached it.
class ClaimMachine {
 public:
  ClaimMachine();
  ~ClaimMachine();
  ClaimMachine(const ClaimMachine&) = delete;
  ClaimMachine& operator=(const ClaimMachine&) = delete;

  /// Begins; the first step is to write the claim.
  std::vector<ClaimStep> Start();

  /// Takes one event. One that has no meaning in the present state, such as a
  /// late answer, changes nothing and gives no step.
  std::vector<ClaimStep> On(ClaimEvent event);

  /// Whether the caller has been given its outcome.
  bool ended() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::routing

namespace lapishatch::base {
template <>
struct EnumNames<routing::ClaimEvent> {
  static constexpr std::array<std::string_view, 17> kNames = {
      "claim-written",     "claim-conflict",
      "claim-not-written", "claim-unknown",
      "row-is-ours",       "row-is-free",
      "row-in-progress",   "row-done",
      "row-unknown",       "row-other",
      "row-unreadable",    "slot-given",
      "runner-answered",   "runner-did-not-run",
      "runner-lost",       "recorded",
      "given-up"};
};
template <>
struct EnumNames<routing::ClaimStep> {
  static constexpr std::array<std::string_view, 15> kNames = {
      "write-claim",    "read-claim",     "read-claim-later",
      "join-queue",     "dispatch",       "record-outcome",
      "record-unknown", "release",        "answer",
      "replay",         "refuse-not-run", "refuse-in-progress",
      "refuse-unknown", "refuse-other",   "refuse-unreadable"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_ROUTING_CLAIM_MACHINE_H_
