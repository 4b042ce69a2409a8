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

// What the machine sees: conclusions from the book of members, and requests.
struct Begun {};
struct AdoptedWhole {};
struct AllReserved {};
struct Recorded {};
struct AllStarted {};
struct AllFinished {};
struct AllCheckpointed {};
struct AllGone {};
/// The gang cannot run whole any more; the cause stands in the book.
struct Broken {};
struct Evicted {};
struct StepTimeout {};

/// What is known of one member.
struct Member {
  MemberState state = MemberState::kReserveSent;
  bool may_have_run = false;
  bool checkpoint_answered = false;
  std::string checkpoint;
};

/// Everything the machine's actions work on.
struct GangBook {
  std::vector<Member> members;
  bool can_checkpoint = false;
  GangTimeouts times;
  base::TimePoint now;
  std::optional<base::TimePoint> wake_at;
  GangPhase phase = GangPhase::kReserving;
  GangOutcome outcome = GangOutcome::kAborted;
  std::string reason;
  int failed_member = -1;
  /// Whether the cause of the end is settled: the first one counts.
  bool cause_known = false;
  std::vector<GangCommand> out;

  void Blame(GangOutcome kind, std::string why, int task) {
    if (cause_known) return;
    cause_known = true;
    outcome = kind;
    reason = std::move(why);
    failed_member = task;
  }
};

bool Ended(const Member& member) {
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
bool EveryMember(const GangBook& book, Test test) {
  return std::all_of(book.members.begin(), book.members.end(), test);
}

/// The checkpoints of all members, or none when one is missing.
std::vector<std::string> WholeCheckpoint(const GangBook& book) {
  std::vector<std::string> out;
  for (const auto& member : book.members) {
    if (member.checkpoint.empty()) return {};
    out.push_back(member.checkpoint);
  }
  return out;
}

GangEnded EndOf(const GangBook& book) {
  GangEnded ended;
  ended.outcome = book.outcome;
  ended.reason = book.reason;
  ended.failed_member = book.failed_member;
  ended.may_have_run =
      std::any_of(book.members.begin(), book.members.end(),
                  [](const Member& it) { return it.may_have_run; });
  ended.checkpoints = WholeCheckpoint(book);
  if (!EveryMember(book, HasFinished)) return ended;
  ended.outcome = GangOutcome::kFinished;
  ended.reason.clear();
  return ended;
}

/// Adds one command that carries nothing.
template <typename Command>
struct Emit {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.book->out.push_back(Command{});
  }
};

struct EmitStart {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    for (auto& member : fsm.book->members) {
      member.state = MemberState::kStartSent;
      member.may_have_run = true;
    }
    fsm.book->out.push_back(StartMembers{});
  }
};

struct EmitCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    for (auto& member : fsm.book->members) member.checkpoint_answered = false;
    fsm.book->out.push_back(CheckpointMembers{});
  }
};

struct BlameTimeout {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& book = *fsm.book;
    int failed_member = -1;
    for (std::size_t i = 0; i < book.members.size() && failed_member < 0; ++i) {
      const auto state = book.members[i].state;
      const bool silent = state == MemberState::kReserveSent ||
                          state == MemberState::kStartSent;
      if (silent) failed_member = static_cast<int>(i);
    }
    book.Blame(
        GangOutcome::kAborted,
        "no answer in time while " + std::string(base::NameOf(book.phase)),
        failed_member);
    book.out.push_back(StopMembers{});
  }
};

/// The grace of an eviction is over: stop without a whole checkpoint.
struct StopLate {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.book->out.push_back(StopMembers{});
  }
};

struct CanCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event&, Fsm& fsm, From&, To&) {
    return fsm.book->can_checkpoint;
  }
};

struct CannotCheckpoint {
  template <typename Event, typename Fsm, typename From, typename To>
  bool operator()(const Event&, Fsm& fsm, From&, To&) {
    return !fsm.book->can_checkpoint;
  }
};

/// A state that notes its phase and the time by which it must be left.
template <GangPhase kPhase>
struct Step : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    auto& book = *fsm.book;
    book.phase = kPhase;
    book.wake_at.reset();
    const auto limit = LimitOf(book.times);
    if (limit) book.wake_at = book.now + *limit;
  }

  static std::optional<base::Duration> LimitOf(const GangTimeouts& times) {
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

struct Over : Step<GangPhase::kEnded> {
  template <typename Event, typename Fsm>
  void on_entry(const Event& event, Fsm& fsm) {
    Step<GangPhase::kEnded>::on_entry(event, fsm);
    fsm.book->out.push_back(EndOf(*fsm.book));
  }
};

struct GangDef : msm::front::state_machine_def<GangDef> {
  struct Idle : msm::front::state<> {};
  using Reserving = Step<GangPhase::kReserving>;
  using Recording = Step<GangPhase::kRecording>;
  using Starting = Step<GangPhase::kStarting>;
  using Running = Step<GangPhase::kRunning>;
  using Checkpointing = Step<GangPhase::kCheckpointing>;
  using Stopping = Step<GangPhase::kStopping>;
  using initial_state = Idle;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    Row<Idle,          Begun,           Reserving,     Emit<ReserveMembers>, none>,
    Row<Idle,          AdoptedWhole,    Running,       none,                 none>,
    Row<Idle,          Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     AllReserved,     Recording,     Emit<RecordIntent>,   none>,
    Row<Reserving,     Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Reserving,     StepTimeout,     Stopping,      BlameTimeout,         none>,
    Row<Recording,     Recorded,        Starting,      EmitStart,            none>,
    Row<Recording,     Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Recording,     Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Recording,     StepTimeout,     Stopping,      BlameTimeout,         none>,
    Row<Starting,      AllStarted,      Running,       Emit<ConfirmMembers>, none>,
    Row<Starting,      Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Starting,      Evicted,         Stopping,      Emit<StopMembers>,    none>,
    Row<Starting,      StepTimeout,     Stopping,      BlameTimeout,         none>,
    Row<Running,       AllFinished,     Over,          none,                 none>,
    Row<Running,       Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Running,       Evicted,         Checkpointing, EmitCheckpoint,       CanCheckpoint>,
    Row<Running,       Evicted,         Stopping,      Emit<StopMembers>,    CannotCheckpoint>,
    Row<Checkpointing, AllFinished,     Over,          none,                 none>,
    Row<Checkpointing, AllCheckpointed, Stopping,      Emit<StopMembers>,    none>,
    Row<Checkpointing, Broken,          Stopping,      Emit<StopMembers>,    none>,
    Row<Checkpointing, StepTimeout,     Stopping,      StopLate,             none>,
    Row<Stopping,      AllGone,         Over,          none,                 none>
  > {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event&, Fsm&, int) {}

  GangBook* book = nullptr;
};

using Machine = msm::back::state_machine<GangDef>;

}  // namespace

struct GangStateMachine::Impl {
  Impl(int tasks, bool can_checkpoint, GangTimeouts times) {
    book.members.resize(static_cast<std::size_t>(tasks));
    book.can_checkpoint = can_checkpoint;
    book.times = times;
    machine.book = &book;
    machine.start();
  }

  template <typename Event>
  void Feed(const Event& event) {
    machine.process_event(event);
  }

  Member& MemberOf(int task) {
    return book.members.at(static_cast<std::size_t>(task));
  }

  // Each Note writes one event into the book and feeds what follows from it.

  void Note(const MemberReserved& event) {
    auto& member = MemberOf(event.task);
    if (member.state != MemberState::kReserveSent) return;
    member.state = MemberState::kReserved;
    if (EveryMember(book, HasReserved)) Feed(AllReserved{});
  }

  void Note(const MemberRefused& event) {
    auto& member = MemberOf(event.task);
    if (HasStarted(member) || Ended(member)) return;
    member.state = MemberState::kGone;
    member.may_have_run = false;
    book.Blame(GangOutcome::kAborted, event.reason, event.task);
    Feed(Broken{});
  }

  void Note(const MemberStarted& event) {
    auto& member = MemberOf(event.task);
    if (member.state != MemberState::kStartSent) return;
    member.state = MemberState::kRunning;
    if (EveryMember(book, HasStarted)) Feed(AllStarted{});
  }

  void Note(const MemberFinished& event) {
    auto& member = MemberOf(event.task);
    member.state = MemberState::kFinished;
    member.may_have_run = true;
    if (EveryMember(book, HasStarted)) Feed(AllStarted{});
    if (EveryMember(book, HasFinished)) Feed(AllFinished{});
  }

  void Note(const MemberFailed& event) {
    auto& member = MemberOf(event.task);
    member.state = MemberState::kGone;
    book.Blame(GangOutcome::kFailed, event.reason, event.task);
    Feed(Broken{});
  }

  void Note(const MemberGone& event) {
    auto& member = MemberOf(event.task);
    if (Ended(member)) return;
    const bool sure = event.never_started && !HasStarted(member);
    if (sure) member.may_have_run = false;
    member.state = MemberState::kGone;
    book.Blame(GangOutcome::kAborted, "a member stopped by itself", event.task);
    Feed(Broken{});
  }

  void Note(const MemberLost& event) {
    auto& member = MemberOf(event.task);
    if (Ended(member)) return;
    member.state = MemberState::kLost;
    book.Blame(GangOutcome::kAborted, event.reason, event.task);
    Feed(Broken{});
  }

  void Note(const MemberCheckpointed& event) {
    auto& member = MemberOf(event.task);
    member.checkpoint = event.object;
    member.checkpoint_answered = true;
    if (EveryMember(book, HasCheckpointed)) Feed(AllCheckpointed{});
  }

  void Note(const CheckpointRefused& event) {
    MemberOf(event.task).checkpoint_answered = true;
    if (EveryMember(book, HasCheckpointed)) Feed(AllCheckpointed{});
  }

  void Note(const IntentRecorded&) { Feed(Recorded{}); }

  void Note(const IntentNotRecorded& event) {
    if (book.phase != GangPhase::kRecording) return;
    book.Blame(GangOutcome::kAborted, event.reason, -1);
    Feed(Broken{});
  }

  void Note(const EvictRequested& event) {
    if (book.phase == GangPhase::kEnded) return;
    book.Blame(GangOutcome::kEvicted, event.reason, -1);
    Feed(Evicted{});
  }

  void Note(const CancelRequested& event) {
    if (book.phase == GangPhase::kEnded) return;
    book.cause_known = false;
    book.Blame(GangOutcome::kCancelled, event.reason, -1);
    Feed(Broken{});
  }

  void Note(const GangTimerFired&) {
    if (!book.wake_at || book.now < *book.wake_at) return;
    book.wake_at.reset();
    Feed(StepTimeout{});
  }

  std::vector<GangCommand> Settle() {
    if (book.phase == GangPhase::kStopping && EveryMember(book, Ended)) {
      Feed(AllGone{});
    }
    return std::exchange(book.out, {});
  }

  GangBook book;
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
  impl_->book.now = now;
  impl_->Feed(Begun{});
  return impl_->Settle();
}

std::vector<GangCommand> GangStateMachine::Adopt(
    std::vector<MemberState> members, base::TimePoint now) {
  auto& book = impl_->book;
  book.now = now;
  bool whole = true;
  for (std::size_t i = 0; i < book.members.size(); ++i) {
    auto& member = book.members[i];
    member.state = members.at(i);
    const bool never_ran = member.state == MemberState::kReserved ||
                           member.state == MemberState::kGone;
    member.may_have_run = !never_ran;
    if (HasStarted(member)) continue;
    whole = false;
    book.Blame(GangOutcome::kAborted, "a member did not run when found",
               static_cast<int>(i));
  }
  if (whole) {
    impl_->Feed(AdoptedWhole{});
  } else {
    impl_->Feed(Broken{});
  }
  if (EveryMember(book, HasFinished)) impl_->Feed(AllFinished{});
  return impl_->Settle();
}

std::vector<GangCommand> GangStateMachine::Handle(const GangEvent& event,
                                                  base::TimePoint now) {
  impl_->book.now = now;
  std::visit([this](const auto& it) { impl_->Note(it); }, event);
  return impl_->Settle();
}

std::optional<base::TimePoint> GangStateMachine::wake_at() const {
  return impl_->book.wake_at;
}

GangPhase GangStateMachine::phase() const { return impl_->book.phase; }

MemberState GangStateMachine::member(int task) const {
  return impl_->MemberOf(task).state;
}

}  // namespace lapishatch::lifecycle
