#ifndef LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_

#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/reclaim.h"
#include "dispatch/placer.h"
#include "jobs/queue_table.h"

namespace lapishatch::dispatch::internal {

/// How a job stands towards its deadline.
enum class DeadlineStatus : std::uint8_t {
  kInTime,
  kLate,
  /// Past its deadline: worth nothing any more.
  kExpired,
};

/// Of places for which victims are being stopped.
enum class ReservationState : std::uint8_t {
  kFree,
  kOccupied,
  /// A worker of them is gone or closed: other places are to be found.
  kInvalid,
};

struct TaskPlannerOptions {
  /// After so much waiting, as a share of the step's estimate, a place off its
  /// wanted rack will do: waiting longer costs more than the slower place.
  double rack_wait_factor = 2.0;
  /// The same for urgent work within its organisation's guarantee, which must
  /// begin in time wherever it is.
  base::Duration guaranteed_rack_wait{900};
  /// Upper bound on freeing the place of a preempted unit: the worker's stop
  /// and the poll that lists its end.
  base::Duration max_preemption_time{1'000};
  /// While over half of the accelerators are free, a unit that waits so long
  /// for its rack takes it from what is not urgent there, or is started
  /// elsewhere: small tasks scattered over the workers of every rack would keep
  /// a gang of whole workers out for as long as they come.
  base::Duration rack_wait_limit{1'500};
  /// Fraction of the estimated remaining time that must fit before the
  /// deadline; below 1 tolerates overestimates.
  double required_time_share = 0.7;
  /// A job that ends after this many objectives is worth nothing to its caller
  /// and runs when nothing else wants the resources.
  int expiry_factor = 3;
  /// Time constant with which the peak of accelerators in use by urgent work
  /// fades; what is left of the peak is its headroom.
  base::Duration peak_decay_time{8'000};
  /// Most headroom, as a share of all accelerators.
  double max_headroom_share = 0.35;
  /// Other work leaves the headroom free while it has so much time to spare.
  base::Duration min_slack_for_headroom{2'000};
  /// How long it is remembered that a step would fit on an empty fleet, which
  /// is costly to find out.
  base::Duration fit_cache_time{500};
  /// Most work thrown away for an urgent unit, as a multiple of its own.
  double max_waste_factor = 3.0;
  /// Pause between two searches for units to preempt for the same unit: each
  /// costs a pass over all workers and what runs there.
  base::Duration reclaim_retry_interval{100};
  /// How long a suspect task waits for a worker that has no other suspect task
  /// and no recent crash.
  base::Duration max_suspect_wait{2'000};
  /// Share of the starts that only urgent units may use, so that they need not
  /// wait behind others.
  double urgent_start_share = 0.25;
};

/// A victim, and the unit that gets its place.
struct Preemption {
  Unit* unit = nullptr;
  const Unit* beneficiary = nullptr;
  /// `by` is within its organisation's guarantee.
  bool is_guaranteed = false;
  /// Work lost since the last checkpoint, in core-seconds.
  double lost_core_seconds = 0;
};

/// What one call of the planner decides.
struct PlannerDecisions {
  /// Units whose starts are to be recorded and sent.
  std::vector<Unit*> starts;
  /// Units that are now to be stopped.
  std::vector<Preemption> preemptions;
  /// Whether some units were not looked at as enough starts are under way.
  bool reached_start_limit = false;
};

/// Decides which units start where and which are stopped for whom. Changes the
/// tracker (Plan, Stop, SetReservation) and sends nothing. Deterministic: the
/// same tracker, fleet and time give the same decisions.
class TaskPlanner {
 public:
  TaskPlanner(JobTracker& tracker, Fleet& fleet, TaskPlannerOptions options)
      : tracker_(tracker), fleet_(fleet), options_(options) {}

  /// How many accelerators each organisation is guaranteed.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

  /// Plans what can start now: units until `max_starts` tasks are reached or
  /// just passed, since a gang starts whole.
  PlannerDecisions Decide(base::TimePoint now,
                          int max_starts = std::numeric_limits<int>::max());

 private:
  void StartReserved(base::TimePoint now, PlannerDecisions& out);
  ReservationState StateOf(const std::vector<base::WorkerName>& places,
                           const jobs::Resources& needs);
  void StartReady(StepRun& run, base::TimePoint now, PlannerDecisions& out);
  std::optional<Placement> FindPreferredPlacement(const Unit& unit,
                                                  PlacementRequest request,
                                                  bool is_starved);
  bool FitsOffRack(const Unit& unit, PlacementRequest request, bool is_starved);
  bool TryReclaim(Unit& unit, bool is_guaranteed, base::TimePoint now,
                  PlannerDecisions& out);
  bool CouldFit(StepRun& run, base::TimePoint now) const;
  bool IsGuaranteed(const JobEntry& job) const;
  std::map<base::OrganisationName, std::int64_t> UrgentNeeds() const;
  std::vector<Victim> Victims(bool is_guaranteed, base::TimePoint now) const;
  ReclaimCandidates& Board(bool is_guaranteed, base::TimePoint now);
  bool WastesTooMuch(const ReclaimPlan& plan, const Unit& unit,
                     bool is_guaranteed, base::TimePoint now) const;
  std::vector<StepRun*> ReadyInOrder(base::TimePoint now) const;
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
  /// Accelerators that urgent work had in use, fading.
  double urgent_peak_ = 0;
  base::TimePoint peak_at_{};
  /// Of the present call.
  std::int64_t headroom_ = 0;
  std::int64_t free_ = 0;
  bool is_half_free_ = false;
  int starts_left_ = 0;
  int quiet_starts_left_ = 0;
  std::optional<SchedulableWorkers> workers_;
  /// What may be stopped for units that are guaranteed their place, and for
  /// others.
  struct Boards {
    std::optional<ReclaimCandidates> guaranteed;
    std::optional<ReclaimCandidates> not_guaranteed;

    void Clear() {
      guaranteed.reset();
      not_guaranteed.reset();
    }
  };
  Boards boards_;
  std::map<base::OrganisationName, std::int64_t> urgent_needs_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
