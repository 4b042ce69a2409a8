#include "config/internal/writer_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <functional>

namespace lapishatch::config::internal {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;
using front::none;
using front::Row;

// Events.
struct SetsWait {};
struct HeadsRead {};
struct ReadingFailed {};
/// Nothing was judged acceptable, against heads read after the sets came.
struct NothingToWrite {};
struct HeadsNeeded {};
struct CommitDone {};
struct CommitConflict {};
struct CommitRefused {};
struct CommitUnknown {};
struct FoundWritten {};
struct FoundUnwritten {};
/// The heads have not moved: the transaction may yet arrive.
struct NotThereYet {};
struct PauseOver {};
struct PatienceOver {};

struct WriterMachineDef : front::state_machine_def<WriterMachineDef> {
  explicit WriterMachineDef(WriterActions& writer) : actions(writer) {}

  struct Idle : front::state<> {};
  struct Reading : front::state<> {};
  struct Writing : front::state<> {};
  struct Pausing : front::state<> {};
  struct Resolving : front::state<> {};
  using initial_state = Idle;

  struct TakeAndRead {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
      machine.actions.TakeWaiting();
      machine.actions.ReadHeads();
    }
  };
  struct TakeAndPrepare {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
      machine.actions.TakeWaiting();
      machine.actions.Prepare();
    }
  };

  /// Calls one of the writer's actions.
  template <void (WriterActions::*kAction)()>
  struct Do {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event&, Machine& machine, From&, To&) const {
      (machine.actions.*kAction)();
    }
  };

  struct KnowsHeads {
    template <typename Event, typename Machine, typename From, typename To>
    bool operator()(const Event&, Machine& machine, From&, To&) const {
      return machine.actions.knows_heads();
    }
  };
  struct MayBeWritten {
    template <typename Event, typename Machine, typename From, typename To>
    bool operator()(const Event&, Machine& machine, From&, To&) const {
      return machine.actions.may_be_written();
    }
  };

  using Prepare = Do<&WriterActions::Prepare>;
  using SendAgain = Do<&WriterActions::SendAgain>;
  using Pause = Do<&WriterActions::Pause>;
  using Resolve = Do<&WriterActions::Resolve>;
  using PauseResolving = Do<&WriterActions::PauseResolving>;
  using AnswerWritten = Do<&WriterActions::AnswerWritten>;
  using AnswerUnwritten = Do<&WriterActions::AnswerUnwritten>;
  using AnswerUnknown = Do<&WriterActions::AnswerUnknown>;

  // NOLINTBEGIN(readability-identifier-naming): the name is Boost.MSM's.
  // Of two rows for one state and event, the later one is tried first.
  struct transition_table
      : boost::mpl::vector<
            Row<Idle, SetsWait, Reading, TakeAndRead, none>,
            Row<Idle, SetsWait, Writing, TakeAndPrepare, KnowsHeads>,
            Row<Reading, HeadsRead, Writing, Prepare, none>,
            Row<Reading, ReadingFailed, Pausing, Pause, none>,
            Row<Writing, NothingToWrite, Idle, AnswerWritten, none>,
            Row<Writing, HeadsNeeded, Reading, TakeAndRead, none>,
            Row<Writing, CommitDone, Idle, AnswerWritten, none>,
            Row<Writing, CommitConflict, Pausing, Pause, none>,
            Row<Writing, CommitConflict, Resolving, Resolve, MayBeWritten>,
            Row<Writing, CommitRefused, Pausing, Pause, none>,
            Row<Writing, CommitRefused, Resolving, PauseResolving,
                MayBeWritten>,
            Row<Writing, CommitUnknown, Resolving, Resolve, none>,
            Row<Pausing, PauseOver, Reading, TakeAndRead, none>,
            Row<Pausing, PatienceOver, Idle, AnswerUnwritten, none>,
            Row<Resolving, FoundWritten, Idle, AnswerWritten, none>,
            Row<Resolving, FoundUnwritten, Pausing, Pause, none>,
            Row<Resolving, NotThereYet, Writing, SendAgain, none>,
            Row<Resolving, ReadingFailed, Resolving, PauseResolving, none>,
            Row<Resolving, PauseOver, Resolving, Resolve, none>,
            Row<Resolving, PatienceOver, Idle, AnswerUnknown, none>> {};
  // NOLINTEND(readability-identifier-naming)

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}

  WriterActions& actions;
};

using Backend = msm::back::state_machine<WriterMachineDef>;

void Take(Backend& backend, WriterEvent event) {
  switch (event) {
    case WriterEvent::kSetsWait:
      backend.process_event(SetsWait());
      return;
    case WriterEvent::kHeadsRead:
      backend.process_event(HeadsRead());
      return;
    case WriterEvent::kReadingFailed:
      backend.process_event(ReadingFailed());
      return;
    case WriterEvent::kNothingToWrite:
      backend.process_event(NothingToWrite());
      return;
    case WriterEvent::kHeadsNeeded:
      backend.process_event(HeadsNeeded());
      return;
    case WriterEvent::kCommitDone:
      backend.process_event(CommitDone());
      return;
    case WriterEvent::kCommitConflict:
      backend.process_event(CommitConflict());
      return;
    case WriterEvent::kCommitRefused:
      backend.process_event(CommitRefused());
      return;
    case WriterEvent::kCommitUnknown:
      backend.process_event(CommitUnknown());
      return;
    case WriterEvent::kFoundWritten:
      backend.process_event(FoundWritten());
      return;
    case WriterEvent::kFoundUnwritten:
      backend.process_event(FoundUnwritten());
      return;
    case WriterEvent::kNotThereYet:
      backend.process_event(NotThereYet());
      return;
    case WriterEvent::kPauseOver:
      backend.process_event(PauseOver());
      return;
    case WriterEvent::kPatienceOver:
      backend.process_event(PatienceOver());
      return;
  }
}

}  // namespace

class WriterMachine::Impl {
 public:
  explicit Impl(WriterActions& actions) : backend_(std::ref(actions)) {
    backend_.start();
  }

  void Process(WriterEvent event) { Take(backend_, event); }

 private:
  Backend backend_;
};

WriterMachine::WriterMachine(WriterActions& actions)
    : impl_(std::make_unique<Impl>(actions)) {}

WriterMachine::~WriterMachine() = default;

void WriterMachine::Process(WriterEvent event) { impl_->Process(event); }

}  // namespace lapishatch::config::internal
