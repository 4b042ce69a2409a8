#ifndef LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
#define LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_

#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/unit.h"
#include "dispatch/placer.h"

namespace lapishatch::dispatch::internal {

/// A unit that may be stopped, and what that costs in core-seconds.
struct Victim {
  Unit* unit = nullptr;
  double cost = 0;
};

/// Places for a unit, and what is to be stopped for them.
struct ReclaimPlan {
  Places places;
  std::vector<Unit*> victims;
  double cost = 0;
};

/// The racks of the open workers.
std::set<base::RackName> RacksOf(const Fleet& fleet);

/// The cheapest places for one unit of `run`, on `rack` or anywhere: task by
/// task where the least has to be stopped, the cheapest of `victims` (sorted by
/// cost) on a worker first. Nothing where it does not fit even so. Costs one
/// pass over the workers a task and one over the victims.
std::optional<ReclaimPlan> FindReclaim(
    const Fleet& fleet, const StepRun& run, const std::vector<Victim>& victims,
    const std::optional<base::RackName>& rack);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_RECLAIM_H_
