#ifndef LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
#define LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/unit.h"
#include "dispatch/placer.h"
#include "dispatch/schedulable_workers.h"

namespace lapishatch::dispatch::internal {

/// A unit that may be preempted, and the cost of that in core-seconds.
struct Victim {
  Unit* unit = nullptr;
  double cost = 0;
};

/// A placement for a unit, and the units to preempt for it.
struct ReclaimPlan {
  Placement placement;
  std::vector<Unit*> victims;
  double cost = 0;
};

/// The workers that a search may use.
enum class ReclaimScope : std::uint8_t {
  /// No risky ones: the new unit may well fail there.
  kSafeWorkers,
  kAllWorkers,
};

/// The units that may be preempted on each schedulable worker. Built once for
/// all searches of a scheduling round, since rebuilding it for each unit and
/// rack would visit all workers and running units each time. A unit that is
/// already being stopped adds no cost.
class ReclaimCandidates {
 public:
  /// `victims` must be sorted by cost. `workers` must outlive this object.
  ReclaimCandidates(const SchedulableWorkers& workers,
                    const std::vector<Victim>& victims);

  /// Returns a low-cost placement for one unit of `run` on all workers or on
  /// one rack, or nothing if it cannot fit. Chooses greedily, task by task, the
  /// worker with the lowest preemption cost, and on a worker the cheapest units
  /// first. Never preempts units of the same job. Visits every worker for each
  /// task.
  std::optional<ReclaimPlan> FindAnywhere(const StepRun& run,
                                          ReclaimScope scope) const;
  std::optional<ReclaimPlan> FindOnRack(const StepRun& run,
                                        const base::RackName& rack,
                                        ReclaimScope scope) const;

  /// Returns the cheapest such placement on a single rack.
  std::optional<ReclaimPlan> FindOnOneRack(const StepRun& run,
                                           ReclaimScope scope) const;

  /// Updates the index after the victims of `plan` were marked as stopping.
  void MarkStopped(const ReclaimPlan& plan);

 private:
  /// A unit on one worker, and the resources that are freed there by stopping
  /// it.
  struct Stop {
    Unit* unit = nullptr;
    double cost = 0;
    jobs::Resources freed;
  };
  using Stops = std::vector<Stop>;
  class Search;

  const Stops& StopsOn(const base::WorkerName& worker) const;

  const SchedulableWorkers& workers_;
  /// Sorted by cost, cheapest first.
  std::unordered_map<base::WorkerName, Stops> stops_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
