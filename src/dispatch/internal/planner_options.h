#ifndef LAPISHATCH_DISPATCH_INTERNAL_PLANNER_OPTIONS_H_
#define LAPISHATCH_DISPATCH_INTERNAL_PLANNER_OPTIONS_H_

#include "base/base.h"

namespace lapishatch::dispatch::internal {

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

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_PLANNER_OPTIONS_H_
