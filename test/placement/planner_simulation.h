#ifndef LAPISHATCH_TEST_PLACEMENT_PLANNER_SIMULATION_H_
#define LAPISHATCH_TEST_PLACEMENT_PLANNER_SIMULATION_H_

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace lapishatch::placement {

/// Kinds of simulated events.
enum class StepKind : std::uint8_t {
  kSubmit,
  kEnd,
  kCancel,
  kWait,
  kConfigure,
  kUsage,
  kSetHealth,
  kToggleWorker,
  kForce,
  kNewOwner,
};

/// One simulated event. The numbers select among the existing objects, so that
/// all values are valid and shrinking works.
struct Step {
  StepKind kind = StepKind::kSubmit;
  int a = 0;
  int b = 0;
  int c = 0;

  friend std::ostream& operator<<(std::ostream& out, const Step& it);
};

/// Applies steps to a planner as a scheduler would, and checks the invariant
/// after each.
class PlannerSimulation {
 public:
  /// Three racks of `per_rack` workers with `accelerators` each.
  PlannerSimulation(int per_rack, int accelerators);

  /// Applies a step. Returns a description of the violation, or an empty text.
  std::string Apply(const Step& step);

  const Planner& planner() const { return planner_; }

 private:
  struct Running {
    Gang gang;
    GangPlacement placement;
    base::TimePoint started;
    bool evicting = false;
  };

  void Submit(const Step& step);
  void End(const Step& step);
  void Cancel(const Step& step);
  void SetHealth(const Step& step);
  void ToggleWorker(const Step& step);
  void NewOwner();
  std::vector<Guarantee> MakeGuarantees(int variant) const;
  std::string ApplyDecisions(const std::vector<Decision>& decisions);
  std::string Check() const;

  int per_rack_;
  int accelerators_;
  Planner planner_;
  base::TimePoint now_{base::Duration(1'000'000)};
  int next_job_ = 0;
  /// Hardware was lost, or guarantees were forced: shortfalls are allowed.
  bool shortfalls_allowed_ = false;
  std::vector<Guarantee> guarantees_;
  std::map<base::JobName, Gang> queued_;
  std::map<base::JobName, Running> running_;
  std::map<int, WorkerHealth> health_;
  std::map<int, bool> removed_;
};

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_TEST_PLACEMENT_PLANNER_SIMULATION_H_
