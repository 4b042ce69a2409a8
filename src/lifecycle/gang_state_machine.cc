#include "lifecycle/gang_state_machine.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace lapishatch::lifecycle {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

// Internal events of the state machine, derived from the members' states and
// from requests.
struct Started {};
struct AdoptedComplete {};
struct AllReserved {};
struct Recorded {};
struct AllStarted {};
struct AllFinished {};
struct AllCheckpointed {};
struct AllGone {};
/// The gang cannot run with all of its members; the context holds the cause.
struct Aborted {};
struct Evicted {};
struct StateTimeout {};

/// Last known state of one member.
struct Member {
  MemberState state = MemberState::kReserveSent;
  bool may_have_run = false;
  bool checkpoint_answered = false;
  std::string checkpoint;
};

/// Data that the state machine's actions use.
struct GangContext {
  std::vector<Member> members;
  bool can_checkpoint = false;
  GangTimeouts times;
  base::TimePoint now;
  std::optional<base::TimePoint> wake_at;
  GangPhase phase = GangPhase::kReserving;
  GangOutcome outcome = GangOutcome::kAborted;
  std::string reason;
  int failed_member = -1;
  /// Whether the cause of the end is set; the first cause is kept.
  bool cause_known = false;
  std::vector<GangCommand> out;

  void SetCause(GangOutcome cause, std::string description, int task) {
    if (cause_known) return;
    cause_known = true;
    outcome = cause;
    reason = std::move(description);
    failed_member = task;
  }
};

bool HasEnded(const Member& member) {
  return member.state == MemberState::kFinished ||
         member.state == MemberState::kGone ||
         member.state == MemberState::kLost;
}

bool HasStarted(const Member& member) {
  return member.state == MemberState::kRunning ||
         member.state == MemberState::kFinished;
}

bool HasReserved(const Member& member) {
  return member.state == MemberState::kReserved;
}

bool HasFinished(const Member& member) {
  return member.state == MemberState::kFinished;
}

bool HasCheckpointed(const Member& member) {
  return member.checkpoint_answered || HasFinished(member);
}

template <typename Test>
bool EveryMember(const GangContext& context, Test test) {
  return std::all_of(context.members.begin(), context.members.end(), test);
}

/// The checkpoints of all members; empty if any is missing.
std::vector<std::string> CompleteCheckpoint(const GangContext& context) {
  std::vector<std::string> out;
  for (const auto& member : context.members) {
    if (member.checkpoint.empty()) return {};
    out.push_back(member.checkpoint);
  }
  return out;
}

GangEnded MakeGangEnded(const GangContext& context) {
  GangEnded ended;
  ended.outcome = context.outcome;
  ended.reason = context.reason;
  ended.failed_member = context.failed_member;
  ended.may_have_run =
      std::any_of(context.members.begin(), context.members.end(),
                  [](const Member& it) { return it.may_have_run; });
  ended.checkpoints = CompleteCheckpoint(context);
  if (!EveryMember(context, HasFinished)) return ended;
  ended.outcome = GangOutcome::kFinished;
  ended.reason.clear();
  return ended;
}

/// Emits one command that has no data.
template <typename Command>
struct Emit {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.context->out.push_back(Command{});
  }
};

struct EmitStart {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    for (auto& member : fsm.context->members) {
      member.state = MemberState::kStartSent;
      member.may_have_run = true;
    }
    fsm.context->out.push_back(StartMembers{});
  }
};

struct EmitCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    for (auto& member : fsm.context->members) {
      member.checkpoint_answered = false;
    }
    fsm.context->out.push_back(CheckpointMembers{});
  }
};

struct AbortOnTimeout {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    int failed_member = -1;
    for (std::size_t i = 0; i < context.members.size() && failed_member < 0;
         ++i) {
      const auto state = context.members[i].state;
      const bool unanswered = state == MemberState::kReserveSent ||
                              state == MemberState::kStartSent;
      if (unanswered) failed_member = static_cast<int>(i);
    }
    context.SetCause(
        GangOutcome::kAborted,
        "no answer in time while " + std::string(base::NameOf(context.phase)),
        failed_member);
    context.out.push_back(StopMembers{});
  }
};

/// Stops the gang without a complete checkpoint after an eviction's grace
/// period.
struct StopAfterGrace {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.context->out.push_back(StopMembers{});
  }
};

struct CanCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event&, Fsm& fsm, From&, To&) {
    return fsm.context->can_checkpoint;
  }
};

struct CannotCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event&, Fsm& fsm, From&, To&) {
    return !fsm.context->can_checkpoint;
  }
};

/// A state that records its phase and its deadline.
template <GangPhase kPhase>
struct TimedState : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    auto& context = *fsm.context;
    context.phase = kPhase;
    context.wake_at.reset();
    const auto timeout = TimeoutOf(context.times);
    if (timeout) context.wake_at = context.now + *timeout;
  }

  static std::optional<base::Duration> TimeoutOf(const GangTimeouts& times) {
    switch (kPhase) {
      case GangPhase::kReserving:
        return times.reserve_timeout;
      case GangPhase::kRecording:
        return times.record_timeout;
      case GangPhase::kStarting:
        return times.start_timeout;
      case GangPhase::kCheckpointing:
        return times.checkpoint_timeout;
      case GangPhase::kRunning:
      case GangPhase::kStopping:
      case GangPhase::kEnded:
        return std::nullopt;
    }
    return std::nullopt;
  }
};

struct EndedState : TimedState<GangPhase::kEnded> {
  template <typename Event, typename Fsm>
  void on_entry(const Event& event, Fsm& fsm) {
    TimedState<GangPhase::kEnded>::on_entry(event, fsm);
    fsm.context->out.push_back(MakeGangEnded(*fsm.context));
  }
};

struct GangDef : msm::front::state_machine_def<GangDef> {
  struct Idle : msm::front::state<> {};
  using Reserving = TimedState<GangPhase::kReserving>;
  using Recording = TimedState<GangPhase::kRecording>;
  using Starting = TimedState<GangPhase::kStarting>;
  using Running = TimedState<GangPhase::kRunning>;
  using Checkpointing = TimedState<GangPhase::kCheckpointing>;
  using Stopping = TimedState<GangPhase::kStopping>;
  using initial_state = Idle;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    Row<Idle,          Started,           Reserving,     Emit<ReserveMembers>, none>,
    Row<Idle,          AdoptedComplete,    Running,       none,                 none>,
    Row<Idle,          Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     AllReserved,     Recording,     Emit<RecordIntent>,   none>,
    Row<Reserving,     Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     StateTimeout,     Stopping,      AbortOnTimeout,         none>,
    Row<Recording,     Recorded,        Starting,      EmitStart,            none>,
    Row<Recording,     Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Recording,     Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Recording,     StateTimeout,     Stopping,      AbortOnTimeout,         none>,
    Row<Starting,      AllStarted,      Running,       Emit<ConfirmMembers>, none>,
    Row<Starting,      Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Starting,      Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Starting,      StateTimeout,     Stopping,      AbortOnTimeout,         none>,
    Row<Running,       AllFinished,     EndedState,          none,                 none>,
    Row<Running,       Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Running,       Evicted,         Checkpointing, EmitCheckpoint,       CanCheckpoint>,
    Row<Running,       Evicted,         Stopping,      Emit<StopMembers>,    CannotCheckpoint>,
    Row<Checkpointing, AllFinished,     EndedState,          none,                 none>,
    Row<Checkpointing, AllCheckpointed, Stopping,      Emit<StopMembers>,    none>,
    Row<Checkpointing, Aborted,          Stopping,      Emit<StopMembers>,    none>,
    Row<Checkpointing, StateTimeout,     Stopping,      StopAfterGrace,             none>,
    Row<Stopping,      AllGone,         EndedState,          none,                 none>
  > {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event&, Fsm&, int) {}

  GangContext* context = nullptr;
};

using Machine = msm::back::state_machine<GangDef>;

}  // namespace

struct GangStateMachine::Impl {
  Impl(int tasks, bool can_checkpoint, GangTimeouts times) {
    context.members.resize(static_cast<std::size_t>(tasks));
    context.can_checkpoint = can_checkpoint;
    context.times = times;
    machine.context = &context;
    machine.start();
  }

  template <typename Event>
  void Process(const Event& event) {
    machine.process_event(event);
  }

  Member& MemberOf(int task) {
    return context.members.at(static_cast<std::size_t>(task));
  }

  // Each Apply records one event in the context and processes the resulting
  // internal events.

  void Apply(const MemberReserved& event) {
    auto& member = MemberOf(event.task);
    if (member.state != MemberState::kReserveSent) return;
    member.state = MemberState::kReserved;
    if (EveryMember(context, HasReserved)) Process(AllReserved{});
  }

  void Apply(const MemberRefused& event) {
    auto& member = MemberOf(event.task);
    if (HasStarted(member) || HasEnded(member)) return;
    member.state = MemberState::kGone;
    member.may_have_run = false;
    context.SetCause(GangOutcome::kAborted, event.reason, event.task);
    Process(Aborted{});
  }

  void Apply(const MemberStarted& event) {
    auto& member = MemberOf(event.task);
    if (member.state != MemberState::kStartSent) return;
    member.state = MemberState::kRunning;
    if (EveryMember(context, HasStarted)) Process(AllStarted{});
  }

  void Apply(const MemberFinished& event) {
    auto& member = MemberOf(event.task);
    member.state = MemberState::kFinished;
    member.may_have_run = true;
    if (EveryMember(context, HasStarted)) Process(AllStarted{});
    if (EveryMember(context, HasFinished)) Process(AllFinished{});
  }

  void Apply(const MemberFailed& event) {
    auto& member = MemberOf(event.task);
    member.state = MemberState::kGone;
    context.SetCause(GangOutcome::kFailed, event.reason, event.task);
    Process(Aborted{});
  }

  void Apply(const MemberGone& event) {
    auto& member = MemberOf(event.task);
    if (HasEnded(member)) return;
    const bool surely_not_started = event.never_started && !HasStarted(member);
    if (surely_not_started) member.may_have_run = false;
    member.state = MemberState::kGone;
    context.SetCause(GangOutcome::kAborted, "a member stopped by itself",
                     event.task);
    Process(Aborted{});
  }

  void Apply(const MemberLost& event) {
    auto& member = MemberOf(event.task);
    if (HasEnded(member)) return;
    member.state = MemberState::kLost;
    context.SetCause(GangOutcome::kAborted, event.reason, event.task);
    Process(Aborted{});
  }

  void Apply(const MemberCheckpointed& event) {
    auto& member = MemberOf(event.task);
    member.checkpoint = event.object;
    member.checkpoint_answered = true;
    if (EveryMember(context, HasCheckpointed)) Process(AllCheckpointed{});
  }

  void Apply(const CheckpointRefused& event) {
    MemberOf(event.task).checkpoint_answered = true;
    if (EveryMember(context, HasCheckpointed)) Process(AllCheckpointed{});
  }

  void Apply(const IntentRecorded&) { Process(Recorded{}); }

  void Apply(const IntentNotRecorded& event) {
    if (context.phase != GangPhase::kRecording) return;
    context.SetCause(GangOutcome::kAborted, event.reason, -1);
    Process(Aborted{});
  }

  void Apply(const EvictRequested& event) {
    if (context.phase == GangPhase::kEnded) return;
    context.SetCause(GangOutcome::kEvicted, event.reason, -1);
    Process(Evicted{});
  }

  void Apply(const CancelRequested& event) {
    if (context.phase == GangPhase::kEnded) return;
    context.cause_known = false;
    context.SetCause(GangOutcome::kCancelled, event.reason, -1);
    Process(Aborted{});
  }

  void Apply(const GangTimerFired&) {
    if (!context.wake_at || context.now < *context.wake_at) return;
    context.wake_at.reset();
    Process(StateTimeout{});
  }

  std::vector<GangCommand> TakeCommands() {
    if (context.phase == GangPhase::kStopping &&
        EveryMember(context, HasEnded)) {
      Process(AllGone{});
    }
    return std::exchange(context.out, {});
  }

  GangContext context;
  Machine machine;
};

GangStateMachine::GangStateMachine(int tasks, bool can_checkpoint,
                                   GangTimeouts times)
    : impl_(std::make_unique<Impl>(tasks, can_checkpoint, times)) {}
GangStateMachine::~GangStateMachine() = default;
GangStateMachine::GangStateMachine(GangStateMachine&&) noexcept = default;
GangStateMachine& GangStateMachine::operator=(GangStateMachine&&) noexcept =
    default;

std::vector<GangCommand> GangStateMachine::Begin(base::TimePoint now) {
  impl_->context.now = now;
  impl_->Process(Started{});
  return impl_->TakeCommands();
}

std::vector<GangCommand> GangStateMachine::Adopt(
    std::vector<MemberState> members, base::TimePoint now) {
  auto& context = impl_->context;
  context.now = now;
  bool complete = true;
  for (std::size_t i = 0; i < context.members.size(); ++i) {
    auto& member = context.members[i];
    member.state = members.at(i);
    const bool never_ran = member.state == MemberState::kReserved ||
                           member.state == MemberState::kGone;
    member.may_have_run = !never_ran;
    if (HasStarted(member)) continue;
    complete = false;
    context.SetCause(GangOutcome::kAborted, "a member did not run when found",
                     static_cast<int>(i));
  }
  if (complete) {
    impl_->Process(AdoptedComplete{});
  } else {
    impl_->Process(Aborted{});
  }
  if (EveryMember(context, HasFinished)) impl_->Process(AllFinished{});
  return impl_->TakeCommands();
}

std::vector<GangCommand> GangStateMachine::Handle(const GangEvent& event,
                                                  base::TimePoint now) {
  impl_->context.now = now;
  std::visit([this](const auto& it) { impl_->Apply(it); }, event);
  return impl_->TakeCommands();
}

std::optional<base::TimePoint> GangStateMachine::wake_at() const {
  return impl_->context.wake_at;
}

GangPhase GangStateMachine::phase() const { return impl_->context.phase; }

MemberState GangStateMachine::member(int task) const {
  return impl_->MemberOf(task).state;
}

}  // namespace lapishatch::lifecycle
