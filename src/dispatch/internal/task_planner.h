#ifndef LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "dispatch/fleet.h"
#include "dispatch/internal/job_book.h"
#include "jobs/queue_table.h"

namespace lapishatch::dispatch::internal {

struct TaskPlannerOptions {
  /// After so much waiting, as a share of the step's estimate, a place off its
  /// wanted rack will do: it costs about twice the estimate in run time.
  double slow_place_after = 1.0;
  /// The same for urgent work that is owed its place, which must begin within
  /// 2.9 s of its acceptance.
  base::Duration owed_slow_after{900};
};

/// Decides which units start where and which are stopped for whom. Changes the
/// book (Plan, Stop, SetClaim) and sends nothing. Deterministic: the same book,
/// fleet and time give the same decisions.
class TaskPlanner {
 public:
  TaskPlanner(JobBook& book, Fleet& fleet, TaskPlannerOptions options)
      : book_(book), fleet_(fleet), options_(options) {}

  /// How many accelerators each organisation is guaranteed.
  void SetGuarantees(std::map<base::OrganisationName, std::int64_t> guarantees);

  /// Plans what can start now. Returns the units whose starts are to be
  /// recorded and sent.
  std::vector<Unit*> Decide(base::TimePoint now);

 private:
  void StartClaimed(base::TimePoint now, std::vector<Unit*>& out);
  void StartReady(StepRun& run, base::TimePoint now, std::vector<Unit*>& out);
  bool TryReclaim(Unit& unit, base::TimePoint now);
  bool IsOwed(const JobEntry& job) const;
  std::map<base::OrganisationName, std::int64_t> UrgentNeeds() const;
  std::vector<Unit*> VictimsFor(const Unit& unit) const;

  JobBook& book_;
  Fleet& fleet_;
  const TaskPlannerOptions options_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
  /// Of the present call.
  std::map<base::OrganisationName, std::int64_t> urgent_needs_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_TASK_PLANNER_H_
