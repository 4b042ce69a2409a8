#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "lifecycle/lifecycle.h"

namespace lapishatch::lifecycle {
namespace {

constexpr base::TimePoint kStart{base::Duration(1'000)};

template <typename Command>
const Command* Find(const std::vector<GangCommand>& commands) {
  for (const auto& it : commands) {
    if (const auto* found = std::get_if<Command>(&it)) return found;
  }
  return nullptr;
}

/// Returns the state machine of a gang of `tasks` members in the given phase.
GangStateMachine MachineInPhase(GangPhase phase, int tasks,
                                bool can_checkpoint = true) {
  GangStateMachine machine(tasks, can_checkpoint, GangTimeouts());
  machine.Begin(kStart);
  if (phase == GangPhase::kReserving) return machine;
  for (int i = 0; i < tasks; ++i) machine.Handle(MemberReserved{i}, kStart);
  if (phase == GangPhase::kRecording) return machine;
  machine.Handle(IntentRecorded{}, kStart);
  if (phase == GangPhase::kStarting) return machine;
  for (int i = 0; i < tasks; ++i) machine.Handle(MemberStarted{i}, kStart);
  if (phase == GangPhase::kRunning) return machine;
  machine.Handle(EvictRequested{"capacity reclaimed"}, kStart);
  return machine;
}

TEST_CASE(
    "a gang starts only when all members are reserved and the intent is "
    "recorded") {
  GangStateMachine machine(2, false, GangTimeouts());
  CHECK(Find<ReserveMembers>(machine.Begin(kStart)));
  CHECK(machine.Handle(MemberReserved{0}, kStart).empty());
  CHECK(Find<RecordIntent>(machine.Handle(MemberReserved{1}, kStart)));
  CHECK(Find<StartMembers>(machine.Handle(IntentRecorded{}, kStart)));
  CHECK(machine.Handle(MemberStarted{1}, kStart).empty());
  CHECK(Find<ConfirmMembers>(machine.Handle(MemberStarted{0}, kStart)));
  CHECK(machine.phase() == GangPhase::kRunning);
  machine.Handle(MemberFinished{0}, kStart);
  const auto last = machine.Handle(MemberFinished{1}, kStart);
  REQUIRE(Find<GangEnded>(last));
  CHECK(Find<GangEnded>(last)->outcome == GangOutcome::kFinished);
}

TEST_CASE(
    "a refused reservation releases all members and the job counts as not "
    "run") {
  auto machine = MachineInPhase(GangPhase::kReserving, 3);
  machine.Handle(MemberReserved{0}, kStart);
  CHECK(Find<StopMembers>(
      machine.Handle(MemberRefused{1, "accelerators in use"}, kStart)));
  machine.Handle(MemberGone{0}, kStart);
  const auto last = machine.Handle(MemberGone{2}, kStart);
  REQUIRE(Find<GangEnded>(last));
  CHECK(Find<GangEnded>(last)->outcome == GangOutcome::kAborted);
  CHECK_FALSE(Find<GangEnded>(last)->may_have_run);
  CHECK(Find<GangEnded>(last)->failed_member == 1);
}

TEST_CASE("a member lost in any phase stops the whole gang at once") {
  for (const auto phase :
       {GangPhase::kReserving, GangPhase::kRecording, GangPhase::kStarting,
        GangPhase::kRunning, GangPhase::kCheckpointing}) {
    CAPTURE(base::NameOf(phase));
    auto machine = MachineInPhase(phase, 3);
    REQUIRE(machine.phase() == phase);
    CHECK(Find<StopMembers>(
        machine.Handle(MemberLost{1, "worker unreachable"}, kStart)));
    CHECK_FALSE(Find<GangEnded>(machine.Handle(MemberGone{0}, kStart)));
    const auto last = machine.Handle(MemberGone{2}, kStart);
    REQUIRE(Find<GangEnded>(last));
    const bool started =
        phase != GangPhase::kReserving && phase != GangPhase::kRecording;
    CHECK(Find<GangEnded>(last)->may_have_run == started);
  }
}

TEST_CASE("a step without a response stops the gang at its timeout") {
  for (const auto phase : {GangPhase::kReserving, GangPhase::kRecording,
                           GangPhase::kStarting, GangPhase::kCheckpointing}) {
    CAPTURE(base::NameOf(phase));
    auto machine = MachineInPhase(phase, 2);
    REQUIRE(machine.wake_at());
    const auto due = *machine.wake_at();
    CHECK(machine.Handle(GangTimerFired{}, due - base::Duration(1)).empty());
    CHECK(Find<StopMembers>(machine.Handle(GangTimerFired{}, due)));
  }
}

TEST_CASE("an evicted gang has checkpoints only when every member has one") {
  auto machine = MachineInPhase(GangPhase::kCheckpointing, 2);
  machine.Handle(MemberCheckpointed{0, "a"}, kStart);
  CHECK(Find<StopMembers>(machine.Handle(CheckpointRefused{1}, kStart)));
  machine.Handle(MemberGone{0}, kStart);
  const auto last = machine.Handle(MemberGone{1}, kStart);
  REQUIRE(Find<GangEnded>(last));
  CHECK(Find<GangEnded>(last)->outcome == GangOutcome::kEvicted);
  CHECK(Find<GangEnded>(last)->checkpoints.empty());
}

TEST_CASE("a refusal after a confirmed start has no effect") {
  auto machine = MachineInPhase(GangPhase::kStarting, 2);
  machine.Handle(MemberStarted{0}, kStart);
  machine.Handle(MemberRefused{0, "reservation expired"}, kStart);
  CHECK(machine.member(0) == MemberState::kRunning);
}

TEST_CASE(
    "an adopted gang continues only if every member runs or has finished") {
  GangStateMachine complete(2, false, GangTimeouts());
  complete.Adopt({MemberState::kRunning, MemberState::kFinished}, kStart);
  CHECK(complete.phase() == GangPhase::kRunning);

  GangStateMachine partial(2, false, GangTimeouts());
  CHECK(Find<StopMembers>(
      partial.Adopt({MemberState::kRunning, MemberState::kReserved}, kStart)));

  GangStateMachine unstarted(2, false, GangTimeouts());
  const auto out =
      unstarted.Adopt({MemberState::kGone, MemberState::kGone}, kStart);
  REQUIRE(Find<GangEnded>(out));
  CHECK_FALSE(Find<GangEnded>(out)->may_have_run);
}

/// Returns the event with index `kind`; events of one member are for `task`.
GangEvent EventOfKind(int kind, int task) {
  switch (kind) {
    case 0:
      return MemberReserved{task};
    case 1:
      return MemberRefused{task, "accelerators in use"};
    case 2:
      return MemberStarted{task};
    case 3:
      return MemberFinished{task};
    case 4:
      return MemberFailed{task, "exit 1"};
    case 5:
      return MemberGone{task};
    case 6:
      return MemberLost{task, "worker unreachable"};
    case 7:
      return MemberCheckpointed{task, "object"};
    case 8:
      return IntentRecorded{};
    case 9:
      return IntentNotRecorded{"write conflict"};
    case 10:
      return EvictRequested{"capacity reclaimed"};
    case 11:
      return CancelRequested{"requested by operator"};
    default:
      return GangTimerFired{};
  }
}

TEST_CASE("a gang follows its protocol for events in any order") {
  const bool ok = rc::check("gang protocol", [] {
    const int tasks = *rc::gen::inRange(1, 4);
    GangStateMachine machine(tasks, *rc::gen::arbitrary<bool>(),
                             GangTimeouts());
    auto now = kStart;
    bool recorded = false;
    int starts = 0;
    int ends = 0;
    bool stopped = false;
    std::set<int> reserved;
    auto out = machine.Begin(now);
    for (int step = 0; step < 40; ++step) {
      for (const auto& command : out) {
        if (std::holds_alternative<StartMembers>(command)) {
          ++starts;
          // Members start only after the intent is recorded and all of them are
          // reserved, and never after a stop.
          RC_ASSERT(recorded);
          RC_ASSERT(static_cast<int>(reserved.size()) == tasks);
          RC_ASSERT(!stopped);
        }
        if (std::holds_alternative<StopMembers>(command)) stopped = true;
        if (const auto* end = std::get_if<GangEnded>(&command)) {
          ++ends;
          // A gang whose start was never sent cannot have run, unless workers
          // report that its members finished; it must be in its last phase.
          if (starts == 0 && end->outcome != GangOutcome::kFinished) {
            RC_ASSERT(machine.phase() == GangPhase::kEnded);
          }
        }
      }
      const int kind = *rc::gen::inRange(0, 13);
      const int task = *rc::gen::inRange(0, tasks);
      const auto event = EventOfKind(kind, task);
      if (std::holds_alternative<IntentRecorded>(event)) recorded = true;
      if (std::holds_alternative<MemberReserved>(event)) reserved.insert(task);
      now += base::Duration(*rc::gen::inRange(0, 5'000));
      out = machine.Handle(event, now);
    }
    RC_ASSERT(starts <= 1);
    RC_ASSERT(ends <= 1);
  });
  CHECK(ok);
}

}  // namespace
}  // namespace lapishatch::lifecycle
