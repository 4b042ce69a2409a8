#ifndef LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_

#include <limits>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/reclaim.h"
#include "dispatch/placer.h"
#include "jobs/queue_table.h"

namespace lapishatch::dispatch::internal {

/// Whether a job can meet its deadline.
enum class DeadlineStatus : std::uint8_t {
  kInTime,
  kLate,
  /// So late that its result is no longer of value.
  kExpired,
};

/// State of the workers that are reserved for a unit.
enum class ReservationState : std::uint8_t {
  kFree,
  kOccupied,
  /// A worker has gone or is not schedulable: another placement is needed.
  kInvalid,
};

struct TaskPlannerOptions {
  /// Multiple of the step's run time estimate after which a unit accepts other
  /// racks than the preferred one: waiting longer costs more than running
  /// slower.
  double rack_wait_factor = 2.0;
  /// The corresponding time for urgent work within its organisation's
  /// guarantee, which must start in time on any rack.
  base::Duration guaranteed_rack_wait{900};
  /// Upper bound on the time to free the resources of a preempted unit: the
  /// worker's stop and the poll that reports its end.
  base::Duration max_preemption_time{1'000};
  /// While over half of the accelerators are free, a unit that has waited this
  /// long for its rack preempts non-urgent units there, or starts on another
  /// rack. Otherwise a steady stream of small tasks on the workers of every
  /// rack would block a gang of whole workers indefinitely.
  base::Duration rack_wait_limit{1'500};
  /// Fraction of the estimated remaining time that must fit before the
  /// deadline; below 1 tolerates overestimates.
  double required_time_share = 0.7;
  /// Multiple of its latency objective after which a job has no value for its
  /// caller. It then runs only when nothing else needs the resources.
  int expiry_factor = 3;
  /// Time constant of the exponential decay of the peak number of accelerators
  /// in use by urgent work. The part of the peak that is not in use is kept
  /// free as headroom.
  base::Duration peak_decay_time{8'000};
  /// Maximum headroom, as a share of all accelerators.
  double max_headroom_share = 0.35;
  /// Non-urgent work leaves the headroom free while it has at least this much
  /// time to spare.
  base::Duration min_slack_for_headroom{2'000};
  /// How long a positive result of FitsWhenEmpty, which is costly to compute,
  /// is reused for a step.
  base::Duration fit_cache_time{500};
  /// Maximum work lost by preemption for an urgent unit, as a multiple of its
  /// own work.
  double max_waste_factor = 3.0;
  /// Pause between two searches for units to preempt for the same unit. Each
  /// search visits all workers and the tasks on them.
  base::Duration reclaim_retry_interval{100};
  /// How long a suspect task waits for a worker that has no other suspect task
  /// and no recent crash.
  base::Duration max_suspect_wait{2'000};
  /// How long a unit that lost workers waits for one at an address that has not
  /// crashed, if it fits there.
  base::Duration max_loss_wait{10'000};
  /// Share of the starts of a round that is reserved for urgent units, so that
  /// they need not wait behind others.
  double urgent_start_share = 0.25;
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
      : tracker_(tracker), fleet_(fleet), options_(options) {}

  /// Sets the number of accelerators that each organisation is guaranteed.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

  /// Accelerators that the urgent jobs of an organisation needed in the last
  /// call of Decide, and those that it is guaranteed.
  struct GuaranteeUse {
    std::int64_t needed = 0;
    std::int64_t guaranteed = 0;
  };
  GuaranteeUse GuaranteeUseOf(const base::OrganisationName& organisation) const;

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
  std::vector<DroppedReservation> DropUnguaranteedReservations();
  void RestoreReservations(const std::vector<DroppedReservation>& dropped,
                           const Placement& taken);
  std::optional<ReclaimPlan> FindReclaim(const Unit& unit, bool is_guaranteed,
                                         ReclaimScope scope,
                                         base::TimePoint now);
  bool TryReclaim(Unit& unit, bool is_guaranteed, base::TimePoint now,
                  PlannerDecisions& out);
  bool CouldFit(StepRun& run, base::TimePoint now) const;
  /// Whether the job is urgent and within its organisation's guarantee.
  bool IsGuaranteed(const JobEntry& job) const {
    return guaranteed_jobs_.contains(&job);
  }
  void UpdateGuaranteedJobs();
  std::vector<Victim> FindVictims(bool is_guaranteed,
                                  base::TimePoint now) const;
  ReclaimCandidates& Candidates(bool is_guaranteed, base::TimePoint now);
  bool WastesTooMuch(const ReclaimPlan& plan, const Unit& unit,
                     bool is_guaranteed, base::TimePoint now) const;
  std::vector<StepRun*> SortedReadySteps(base::TimePoint now) const;
  void UpdateHeadroom(base::TimePoint now);
  void CountStart(const Unit& unit, bool was_free);
  bool MustLeaveHeadroom(const StepRun& run, base::TimePoint now) const;
  double CostOf(const Unit& victim, base::TimePoint now) const;
  DeadlineStatus DeadlineStatusOf(const StepRun& run,
                                  base::TimePoint now) const;

  JobTracker& tracker_;
  Fleet& fleet_;
  const TaskPlannerOptions options_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
  /// Decaying peak of the accelerators in use by urgent work.
  double urgent_peak_ = 0;
  base::TimePoint peak_updated_at_{};
  /// State of the current call of Decide.
  std::int64_t headroom_ = 0;
  std::int64_t free_accelerators_ = 0;
  bool is_half_free_ = false;
  int starts_left_ = 0;
  int non_urgent_starts_left_ = 0;
  std::optional<SchedulableWorkers> workers_;
  /// Units that may be preempted for units within a guarantee, and for others.
  struct CandidateSets {
    std::optional<ReclaimCandidates> guaranteed;
    std::optional<ReclaimCandidates> not_guaranteed;

    void Clear() {
      guaranteed.reset();
      not_guaranteed.reset();
    }
  };
  CandidateSets candidate_sets_;
  /// Accelerators that the urgent jobs of each organisation use or wait for.
  std::map<base::OrganisationName, std::int64_t> urgent_needs_;
  std::unordered_set<const JobEntry*> guaranteed_jobs_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
