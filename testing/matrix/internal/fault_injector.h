#ifndef LAPISHATCH_TESTING_MATRIX_INTERNAL_FAULT_INJECTOR_H_
#define LAPISHATCH_TESTING_MATRIX_INTERNAL_FAULT_INJECTOR_H_

#include <functional>
#include <optional>
#include <utility>

#include "fakes/fakes.h"
#include "matrix/fault_plan.h"

namespace lapishatch::matrix::internal {

/// Turns the faults of a plan into what the fakes do, the same way in every
/// world.
class FaultInjector {
 public:
  /// Longer than any lease and deadline of the requests, shorter than the run.
  static constexpr base::Duration kPause{25'000};
  static constexpr base::Duration kOutage{30'000};
  static constexpr base::Duration kSilence{20'000};

  /// What a world does to the process whose step it is.
  struct Hooks {
    std::function<void()> kill;
    std::function<void()> pause;
    std::function<void(bool cut)> cut_from_table;
    std::function<void()> race;
  };

  FaultInjector(fakes::VirtualTime& time, fakes::FakeTable& table,
                FaultPlan plan)
      : time_(time), table_(table), plan_(std::move(plan)) {}

  /// The fault to inject at this step, if any.
  std::optional<Fault> Reached(Step step) { return plan_.Reached(step); }

  bool done() const { return plan_.done(); }

  /// What a slow or well table does now.
  fakes::TableFault TableFaultNow() const {
    return time_.Now() < slow_until_ ? fakes::TableFault::kSlow
                                     : fakes::TableFault::kNone;
  }

  /// A fault at a step that is a commit: what becomes of the commit.
  fakes::TableFault OnTableStep(Fault fault, const Hooks& hooks) {
    switch (fault) {
      case Fault::kDiesBefore:
        hooks.kill();
        return fakes::TableFault::kRequestLost;
      case Fault::kDiesAfter:
        hooks.kill();
        return fakes::TableFault::kAnswerLost;
      case Fault::kMessageLost:
        return fakes::TableFault::kRequestLost;
      case Fault::kAnswerLost:
        return fakes::TableFault::kAnswerLost;
      case Fault::kMessageDoubled:
        return fakes::TableFault::kDoubled;
      case Fault::kMessageLate:
        return fakes::TableFault::kArrivesLate;
      case Fault::kTableDown:
        OnOtherStep(fault, hooks);
        return fakes::TableFault::kRefused;
      case Fault::kTableSlow:
        OnOtherStep(fault, hooks);
        return fakes::TableFault::kSlow;
      case Fault::kDomainCut:
        OnOtherStep(fault, hooks);
        return fakes::TableFault::kRequestLost;
      default:
        OnOtherStep(fault, hooks);
        return TableFaultNow();
    }
  }

  /// A fault that leaves the step's own message alone.
  void OnOtherStep(Fault fault, const Hooks& hooks) {
    switch (fault) {
      case Fault::kPaused:
        hooks.pause();
        return;
      case Fault::kTableDown:
        table_.SetDown(true);
        time_.After(kOutage, [this] { table_.SetDown(false); });
        return;
      case Fault::kTableSlow:
        slow_until_ = time_.Now() + kOutage;
        return;
      case Fault::kDomainCut:
        hooks.cut_from_table(true);
        time_.After(kOutage, [cut = hooks.cut_from_table] { cut(false); });
        return;
      case Fault::kOperatorsRace:
        time_.Post(hooks.race);
        return;
      default:
        return;
    }
  }

 private:
  fakes::VirtualTime& time_;
  fakes::FakeTable& table_;
  FaultPlan plan_;
  base::TimePoint slow_until_{};
};

}  // namespace lapishatch::matrix::internal

#endif  // LAPISHATCH_TESTING_MATRIX_INTERNAL_FAULT_INJECTOR_H_
