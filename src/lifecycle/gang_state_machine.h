#ifndef LAPISHATCH_LIFECYCLE_GANG_STATE_MACHINE_H_
#define LAPISHATCH_LIFECYCLE_GANG_STATE_MACHINE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"

namespace lapishatch::lifecycle {

/// How long each step of a gang may take before the whole gang stops.
struct GangTimeouts {
  base::Duration reserve_timeout{3'000};
  base::Duration record_timeout{4'000};
  base::Duration start_timeout{4'000};
  /// Grace of an eviction.
  base::Duration checkpoint_timeout{3'500};
};

enum class GangPhase : std::uint8_t {
  kReserving,
  kRecording,
  kStarting,
  kRunning,
  kCheckpointing,
  kStopping,
  kEnded,
};

/// Why a gang ended.
enum class GangOutcome : std::uint8_t {
  /// Every member finished.
  kFinished,
  /// A member failed.
  kFailed,
  /// A member was refused, lost, or did not answer in time.
  kAborted,
  kEvicted,
  kCancelled,
};

/// What is known of one member.
enum class MemberState : std::uint8_t {
  kReserveSent,
  kReserved,
  kStartSent,
  kRunning,
  kFinished,
  /// Its worker holds nothing of it any more.
  kGone,
  /// Its worker restarted or is not reached: what became of it is not known.
  kLost,
};

// What happens to a gang.

struct MemberReserved {
  int task = 0;
};
/// The worker did not carry out a reservation or start.
struct MemberRefused {
  int task = 0;
  std::string reason;
};
struct MemberStarted {
  int task = 0;
};
struct MemberFinished {
  int task = 0;
};
struct MemberFailed {
  int task = 0;
  std::string reason;
};
/// The worker holds nothing of the member: stopped, or never there.
struct MemberGone {
  int task = 0;
  /// The worker's own word that it never began.
  bool never_started = false;
};
struct MemberLost {
  int task = 0;
  std::string reason;
};
struct MemberCheckpointed {
  int task = 0;
  std::string object;
};
struct CheckpointRefused {
  int task = 0;
};
struct IntentRecorded {};
/// The intent is certainly not in force, or could not be written in time.
struct IntentNotRecorded {
  std::string reason;
};
struct EvictRequested {
  std::string reason;
};
struct CancelRequested {
  std::string reason;
};
struct GangTimerFired {};

using GangEvent =
    std::variant<MemberReserved, MemberRefused, MemberStarted, MemberFinished,
                 MemberFailed, MemberGone, MemberLost, MemberCheckpointed,
                 CheckpointRefused, IntentRecorded, IntentNotRecorded,
                 EvictRequested, CancelRequested, GangTimerFired>;

// What is to be done for a gang.

struct ReserveMembers {};
struct RecordIntent {};
struct StartMembers {};
/// Every member runs: give them the running lease.
struct ConfirmMembers {};
struct CheckpointMembers {};
/// Stop or release every member that may hold anything.
struct StopMembers {};
struct GangEnded {
  GangOutcome outcome = GangOutcome::kAborted;
  std::string reason;
  /// Some member may have begun its work.
  bool may_have_run = false;
  /// The member that broke the gang, or -1.
  int failed_member = -1;
  /// One complete checkpoint per member, or none.
  std::vector<std::string> checkpoints;
};

using GangCommand =
    std::variant<ReserveMembers, RecordIntent, StartMembers, ConfirmMembers,
                 CheckpointMembers, StopMembers, GangEnded>;

/// One attempt to run one gang: all of its members, or none. Pure.
class GangStateMachine {
 public:
  GangStateMachine(int tasks, bool can_checkpoint, GangTimeouts times);
  ~GangStateMachine();
  GangStateMachine(GangStateMachine&&) noexcept;
  GangStateMachine& operator=(GangStateMachine&&) noexcept;

  /// A new attempt.
  std::vector<GangCommand> Begin(base::TimePoint now);

  /// An attempt of an earlier owner, with what its workers say of each member
  /// (kRunning for one whose worker is not reached yet: it may run). Goes on
  /// when every member runs or has finished; otherwise the whole gang stops.
  std::vector<GangCommand> Adopt(std::vector<MemberState> members,
                                 base::TimePoint now);

  std::vector<GangCommand> Handle(const GangEvent& event, base::TimePoint now);

  /// When a GangTimerFired is due, if ever.
  std::optional<base::TimePoint> wake_at() const;

  GangPhase phase() const;
  MemberState member(int task) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::lifecycle

namespace lapishatch::base {
template <>
struct EnumNames<lifecycle::GangPhase> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "reserving",     "recording", "starting", "running",
      "checkpointing", "stopping",  "over"};
};
template <>
struct EnumNames<lifecycle::GangOutcome> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "finished", "failed", "broken", "evicted", "cancelled"};
};
template <>
struct EnumNames<lifecycle::MemberState> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "asked", "reserved", "start-sent", "running", "finished", "gone", "lost"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_LIFECYCLE_GANG_STATE_MACHINE_H_
