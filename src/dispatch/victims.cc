#include "dispatch/internal/victims.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "dispatch/internal/unit_work.h"

namespace lapishatch::dispatch::internal {
namespace {

/// Returns the cost of stopping a unit: the work since its last checkpoint, and
/// more if its job would then be late or it was restarted before.
double CostOf(const Unit& victim, base::TimePoint now) {
  const auto& run = *victim.step_run;
  auto out = LostWork(victim, now);
  const auto latest =
      run.job->accepted_at + run.job->latency_objective - run.critical_path;
  if (now > latest) out += EstimatedWork(run);
  constexpr double kRestartPenalty = 0.25;
  return out + kRestartPenalty * EstimatedWork(run) * (victim.last_run - 1);
}

/// Whether units of class `victim` may be preempted for `beneficiary`, if both
/// are urgent.
bool MayPreemptUrgent(GuaranteeClass beneficiary, GuaranteeClass victim) {
  return beneficiary < victim;
}

/// Additional cost of an urgent victim: urgent work is preempted for other
/// urgent work only as a last resort, and work within a guarantee after all
/// other work.
double UrgentCost(GuaranteeClass victim) {
  constexpr double kNotGuaranteed = 1e6;
  constexpr double kGuaranteed = 1e9;
  return victim == GuaranteeClass::kNone ? kNotGuaranteed : kGuaranteed;
}

}  // namespace

std::vector<Victim> FindVictims(const JobTracker& tracker,
                                const Guarantees& guarantees,
                                GuaranteeClass beneficiary,
                                const TaskPlannerOptions& options,
                                base::TimePoint now) {
  std::vector<Victim> out;
  out.reserve(tracker.active().size());
  for (auto* it : tracker.active()) {
    const auto& job = *it->step_run->job;
    if (it->phase == jobs::UnitPhase::kDone) continue;
    // Its worker may not have received the stop: others are freed sooner.
    const bool is_stuck = it->is_stopping &&
                          it->preempted_at >= it->started_at &&
                          now - it->preempted_at > options.max_preemption_time;
    if (is_stuck) continue;
    const bool is_urgent = job.job->priority == kUrgentPriority;
    const auto victim = guarantees.ClassOf(job);
    if (is_urgent && !MayPreemptUrgent(beneficiary, victim)) continue;
    const double extra = is_urgent ? UrgentCost(victim) : 0;
    out.push_back({it, it->is_stopping ? 0 : extra + CostOf(*it, now)});
  }
  std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) {
    const auto key = [](const Victim& it) {
      const std::string_view name = it.unit->step_run->job->job->name.str();
      return std::tuple(it.cost, name, it.unit->step_run->number,
                        it.unit->first_index);
    };
    return key(a) < key(b);
  });
  return out;
}

bool WastesTooMuch(const ReclaimPlan& plan, const Unit& unit,
                   GuaranteeClass beneficiary,
                   const TaskPlannerOptions& options, base::TimePoint now) {
  if (beneficiary != GuaranteeClass::kNone) return false;
  double lost_work = 0;
  for (const auto* it : plan.victims) lost_work += LostWork(*it, now);
  return lost_work > options.max_waste_factor * EstimatedWork(*unit.step_run);
}

}  // namespace lapishatch::dispatch::internal
