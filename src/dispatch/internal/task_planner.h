#ifndef LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/guarantees.h"
#include "dispatch/internal/headroom.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/planner_options.h"
#include "dispatch/internal/reclaim.h"
#include "dispatch/placer.h"

namespace lapishatch::dispatch::internal {

/// State of the workers that are reserved for a unit.
enum class ReservationState : std::uint8_t {
  kFree,
  kOccupied,
  /// A worker has gone or is not schedulable: another placement is needed.
  kInvalid,
};

/// A preempted unit, and the unit that gets its resources.
struct Preemption {
  Unit* unit = nullptr;
  const Unit* beneficiary = nullptr;
  /// Whether `beneficiary` is within its organisation's guarantee.
  bool is_guaranteed = false;
  /// Work lost since the last checkpoint, in core-seconds.
  double lost_core_seconds = 0;
};

/// The decisions of one scheduling round.
struct PlannerDecisions {
  /// Units whose starts must be recorded and sent.
  std::vector<Unit*> starts;
  /// Units that must be stopped now.
  std::vector<Preemption> preemptions;
  /// Waiting units that are not started until it is known whether they have
  /// crashed their workers.
  std::vector<Unit*> deferred;
  /// Whether some units were not considered because the limit on starts was
  /// reached.
  bool reached_start_limit = false;
};

/// Decides which units start on which workers, and which are preempted for
/// them. Modifies the job tracker (Plan, Stop, SetReservation) and sends
/// nothing. Deterministic: the same jobs, fleet and time give the same
/// decisions.
class TaskPlanner {
 public:
  TaskPlanner(JobTracker& tracker, Fleet& fleet, TaskPlannerOptions options)
      : tracker_(tracker),
        fleet_(fleet),
        options_(options),
        headroom_(options_) {}
  TaskPlanner(const TaskPlanner&) = delete;
  TaskPlanner& operator=(const TaskPlanner&) = delete;

  /// Sets the number of accelerators that each organisation is guaranteed.
  void SetGuarantees(
      std::map<base::OrganisationName, std::int64_t> accelerators) {
    guarantees_.Set(std::move(accelerators));
  }

  /// The guarantees and their use in the last call of Decide.
  const Guarantees& guarantees() const { return guarantees_; }

  /// Plans the units that can start now, until the number of tasks reaches
  /// `max_starts`. The last unit may exceed it, since a gang starts as a whole,
  /// and so may guaranteed units, which must start in time.
  PlannerDecisions Decide(base::TimePoint now,
                          int max_starts = std::numeric_limits<int>::max());

 private:
  void StartReserved(const std::vector<StepRun*>& steps, base::TimePoint now,
                     PlannerDecisions& out);
  ReservationState GetReservationState(
      const std::vector<base::WorkerName>& places,
      const jobs::Resources& needs);
  bool IsPreemptionOverdue(const Unit& unit, base::TimePoint now) const;
  void StartReady(StepRun& run, base::TimePoint now, PlannerDecisions& out);
  std::optional<Placement> FindPreferredPlacement(const Unit& unit,
                                                  PlacementRequest request,
                                                  bool is_starved);
  bool MayReturnToLosses(const Unit& unit, PlacementRequest request,
                         base::TimePoint now) const;
  bool FitsOffRack(const Unit& unit, PlacementRequest request, bool is_starved);
  struct DroppedReservation {
    Unit* unit = nullptr;
    Placement workers;
  };
  std::vector<DroppedReservation> DropReservationsBelow(
      GuaranteeClass beneficiary);
  void RestoreReservations(const std::vector<DroppedReservation>& dropped,
                           const Placement& taken);
  std::optional<ReclaimPlan> FindReclaim(const Unit& unit, ReclaimScope scope,
                                         base::TimePoint now);
  bool TryReclaim(Unit& unit, base::TimePoint now, PlannerDecisions& out);
  bool CouldFit(StepRun& run, base::TimePoint now) const;
  GuaranteeClass ClassOf(const Unit& unit) const {
    return guarantees_.ClassOf(*unit.step_run->job);
  }
  void ClearCandidates();
  ReclaimCandidates& Candidates(GuaranteeClass beneficiary,
                                base::TimePoint now);
  void CountStart(const Unit& unit, bool was_free);

  JobTracker& tracker_;
  Fleet& fleet_;
  const TaskPlannerOptions options_;
  Guarantees guarantees_;
  Headroom headroom_;
  /// State of the current call of Decide.
  int starts_left_ = 0;
  int non_urgent_starts_left_ = 0;
  std::optional<SchedulableWorkers> workers_;
  /// Units that may be preempted, by the class of the unit that needs room.
  std::array<std::optional<ReclaimCandidates>,
             static_cast<std::size_t>(GuaranteeClass::kNone) + 1>
      candidates_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
