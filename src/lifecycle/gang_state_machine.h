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

/// Time limits of a gang's steps; the whole gang stops when one is exceeded.
struct GangTimeouts {
  base::Duration reserve_timeout{3'000};
  base::Duration record_timeout{4'000};
  base::Duration start_timeout{4'000};
  /// Grace period of an eviction, for checkpoints.
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

/// How a gang ended.
enum class GangOutcome : std::uint8_t {
  /// Every member finished.
  kFinished,
  /// A member failed.
  kFailed,
  /// A member was refused, lost, or did not respond in time.
  kAborted,
  kEvicted,
  kCancelled,
};

/// Last known state of one member.
enum class MemberState : std::uint8_t {
  kReserveSent,
  kReserved,
  kStartSent,
  kRunning,
  kFinished,
  /// Its worker holds no resources for it.
  kGone,
  /// Its worker restarted or cannot be reached, so its state is unknown.
  kLost,
};

// Events of a gang.

struct MemberReserved {
  int task = 0;
};
/// The worker did not execute a reservation or start.
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
/// The worker holds no resources for the member, which stopped or never existed
/// there.
struct MemberGone {
  int task = 0;
  /// Whether the worker reported that the member never started.
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
/// The intent is certainly not recorded, or was not recorded in time.
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

// Commands of a gang.

struct ReserveMembers {};
struct RecordIntent {};
struct StartMembers {};
/// Gives the members the lease of running tasks, once all of them run.
struct ConfirmMembers {};
struct CheckpointMembers {};
/// Stops or releases every member that may hold resources.
struct StopMembers {};
struct GangEnded {
  GangOutcome outcome = GangOutcome::kAborted;
  std::string reason;
  /// Whether any member may have started its work.
  bool may_have_run = false;
  /// Index of the member that caused the end, or -1.
  int failed_member = -1;
  /// One complete checkpoint per member; empty if any is missing.
  std::vector<std::string> checkpoints;
};

using GangCommand =
    std::variant<ReserveMembers, RecordIntent, StartMembers, ConfirmMembers,
                 CheckpointMembers, StopMembers, GangEnded>;

/// State machine for one attempt to run a gang, with all of its members or
/// none. It performs no I/O.
class GangStateMachine {
 public:
  GangStateMachine(int tasks, bool can_checkpoint, GangTimeouts times);
  ~GangStateMachine();
  GangStateMachine(GangStateMachine&&) noexcept;
  GangStateMachine& operator=(GangStateMachine&&) noexcept;

  /// Starts a new attempt.
  std::vector<GangCommand> Begin(base::TimePoint now);

  /// Takes over an attempt of a previous owner, with the state that the workers
  /// report for each member. A member whose worker has not been reached yet is
  /// kRunning, since it may run. The gang continues if every member runs or has
  /// finished; otherwise the whole gang stops.
  std::vector<GangCommand> Adopt(std::vector<MemberState> members,
                                 base::TimePoint now);

  std::vector<GangCommand> Handle(const GangEvent& event, base::TimePoint now);

  /// Time at which a GangTimerFired event is due, if any.
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
