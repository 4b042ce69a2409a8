#ifndef LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
#define LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/unit.h"
#include "dispatch/placer.h"
#include "dispatch/schedulable_workers.h"

namespace lapishatch::dispatch::internal {

/// A unit that may be stopped, and what that costs in core-seconds.
struct Victim {
  Unit* unit = nullptr;
  double cost = 0;
};

/// Placement for a unit, and what is to be stopped for them.
struct ReclaimPlan {
  Placement placement;
  std::vector<Unit*> victims;
  double cost = 0;
};

/// What could be stopped on each open worker, for all searches of one round of
/// decisions: gathering it anew for each unit and each rack would cost a pass
/// over all workers and all that runs every time. A unit that is being stopped
/// costs nothing more.
class ReclaimCandidates {
 public:
  /// `victims` are sorted by cost. `open` must outlive this.
  ReclaimCandidates(const SchedulableWorkers& open,
                    const std::vector<Victim>& victims);

  /// The cheapest placement for one unit of `run` among all workers, or on one
  /// rack: task by task where the least has to be stopped, the cheapest on a
  /// worker first. Nothing where it does not fit even so. Units of its own job
  /// are never stopped for it. Costs one step a worker and task.
  std::optional<ReclaimPlan> FindAnywhere(const StepRun& run) const;
  std::optional<ReclaimPlan> FindOnRack(const StepRun& run,
                                        const base::RackName& rack) const;

  /// The same on whichever single rack is cheapest.
  std::optional<ReclaimPlan> FindOnOneRack(const StepRun& run) const;

  /// The plan's victims are being stopped from now on.
  void MarkStopped(const ReclaimPlan& plan);

 private:
  /// A unit on one worker, with what stopping it frees there.
  struct Stop {
    Unit* unit = nullptr;
    double cost = 0;
    jobs::Resources frees;
  };
  using Stops = std::vector<Stop>;
  class Search;

  const Stops& StopsOn(const base::WorkerName& worker) const;

  const SchedulableWorkers& open_;
  /// The cheapest first.
  std::unordered_map<base::WorkerName, Stops> stops_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
