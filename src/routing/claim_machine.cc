#include "routing/claim_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>
#include <utility>

namespace lapishatch::routing {
namespace {

namespace mpl = boost::mpl;
namespace msm = boost::msm;

template <ClaimEvent kEvent>
struct On {};

/// Gives these steps to the driver.
template <ClaimStep... kSteps>
struct Do {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.steps = {kSteps...};
  }
};

struct Definition : msm::front::state_machine_def<Definition> {
  /// Nothing of ours is in the table, or a first write is on its way.
  struct Claiming : msm::front::state<> {};
  /// Somebody holds the row; our write certainly had no effect.
  struct ReadingOther : msm::front::state<> {};
  /// Our write may have had effect.
  struct ReadingBack : msm::front::state<> {};
  /// Written again while an earlier write may still take effect.
  struct Reclaiming : msm::front::state<> {};
  /// The claim stands and nothing was sent.
  struct Waiting : msm::front::state<> {};
  /// A runner may be running it.
  struct Dispatched : msm::front::state<> {};
  /// It ran and its outcome is on its way to the table.
  struct Recording : msm::front::state<> {};
  struct Ended : msm::front::state<> {};

  using initial_state = Claiming;
  using E = ClaimEvent;
  using S = ClaimStep;

  template <typename From, E kEvent, typename To, S... kSteps>
  using Row = msm::front::Row<From, On<kEvent>, To, Do<kSteps...>>;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    Row<Claiming, E::kClaimWritten, Waiting, S::kJoinQueue>,
    Row<Claiming, E::kClaimConflict, ReadingOther, S::kReadClaim>,
    Row<Claiming, E::kClaimNotWritten, Ended, S::kRefuseNotRun>,
    Row<Claiming, E::kClaimUnknown, ReadingBack, S::kReadClaim>,
    Row<Claiming, E::kGivenUp, Ended, S::kRefuseNotRun, S::kRelease>,

    Row<ReadingOther, E::kRowIsOurs, Waiting, S::kJoinQueue>,
    Row<ReadingOther, E::kRowIsFree, Claiming, S::kWriteClaim>,
    Row<ReadingOther, E::kRowInProgress, Ended, S::kRefuseInProgress>,
    Row<ReadingOther, E::kRowDone, Ended, S::kReplay>,
    Row<ReadingOther, E::kRowUnknown, Ended, S::kRefuseUnknown>,
    Row<ReadingOther, E::kRowOtherContent, Ended, S::kRefuseOtherContent>,
    Row<ReadingOther, E::kRowUnreadable, Ended, S::kRefuseUnreadable>,
    Row<ReadingOther, E::kGivenUp, Ended, S::kRefuseUnreadable>,

    Row<ReadingBack, E::kRowIsOurs, Waiting, S::kJoinQueue>,
    Row<ReadingBack, E::kRowIsFree, Reclaiming, S::kWriteClaim>,
    Row<ReadingBack, E::kRowInProgress, Ended, S::kRefuseInProgress>,
    Row<ReadingBack, E::kRowDone, Ended, S::kReplay>,
    Row<ReadingBack, E::kRowUnknown, Ended, S::kRefuseUnknown>,
    Row<ReadingBack, E::kRowOtherContent, Ended, S::kRefuseOtherContent>,
    Row<ReadingBack, E::kRowUnreadable, ReadingBack, S::kReadClaimLater>,
    Row<ReadingBack, E::kGivenUp, Ended, S::kRefuseNotRun, S::kRelease>,

    Row<Reclaiming, E::kClaimWritten, Waiting, S::kJoinQueue>,
    Row<Reclaiming, E::kClaimConflict, ReadingBack, S::kReadClaim>,
    Row<Reclaiming, E::kClaimUnknown, ReadingBack, S::kReadClaim>,
    Row<Reclaiming, E::kClaimNotWritten, Ended, S::kRefuseNotRun, S::kRelease>,
    Row<Reclaiming, E::kGivenUp, Ended, S::kRefuseNotRun, S::kRelease>,

    Row<Waiting, E::kSlotGiven, Dispatched, S::kDispatch>,
    Row<Waiting, E::kGivenUp, Ended, S::kRefuseNotRun, S::kRelease>,

    Row<Dispatched, E::kRunnerAnswered, Recording, S::kRecordOutcome>,
    Row<Dispatched, E::kRunnerDidNotRun, Waiting, S::kJoinQueue>,
    Row<Dispatched, E::kRunnerLost, Ended, S::kRefuseUnknown, S::kRecordUnknown>,
    Row<Dispatched, E::kGivenUp, Ended, S::kRefuseUnknown, S::kRecordUnknown>,

    Row<Recording, E::kOutcomeRecorded, Ended, S::kAnswer>,
    Row<Recording, E::kGivenUp, Ended, S::kAnswer>
  > {};
  // clang-format on

  template <typename Event, typename Machine>
  void no_transition(const Event&, Machine&, int) {}

  std::vector<ClaimStep> steps;
};

using Machine = msm::back::state_machine<Definition>;

/// Position of Ended in the machine's states.
bool HasEnded(const Machine& machine) {
  using States = msm::back::get_state_id<Machine::stt, Definition::Ended>;
  return machine.current_state()[0] == States::value;
}

template <ClaimEvent kEvent>
void Process(Machine& machine) {
  machine.process_event(On<kEvent>());
}

using Processor = void (*)(Machine&);

template <std::size_t... kIndexes>
constexpr auto MakeProcessors(std::index_sequence<kIndexes...>) {
  return std::array<Processor, sizeof...(kIndexes)>{
      &Process<static_cast<ClaimEvent>(kIndexes)>...};
}

/// How to process each event, by its number.
constexpr auto kProcessors =
    MakeProcessors(std::make_index_sequence<base::kEnumSize<ClaimEvent>>());

}  // namespace

struct ClaimMachine::Impl {
  Machine machine;
};

ClaimMachine::ClaimMachine() : impl_(std::make_unique<Impl>()) {}

ClaimMachine::~ClaimMachine() = default;

std::vector<ClaimStep> ClaimMachine::Start() {
  impl_->machine.start();
  return {ClaimStep::kWriteClaim};
}

std::vector<ClaimStep> ClaimMachine::On(ClaimEvent event) {
  impl_->machine.steps.clear();
  kProcessors[static_cast<std::size_t>(event)](impl_->machine);
  return std::move(impl_->machine.steps);
}

bool ClaimMachine::ended() const { return HasEnded(impl_->machine); }

}  // namespace lapishatch::routing
