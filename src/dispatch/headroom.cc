#include "dispatch/internal/headroom.h"

#include <algorithm>
#include <cmath>

#include "dispatch/internal/unit_work.h"

namespace lapishatch::dispatch::internal {

void Headroom::Update(const JobTracker& tracker,
                      const SchedulableWorkers& workers, base::TimePoint now) {
  std::int64_t urgent = 0;
  for (const auto* it : tracker.active()) {
    if (it->step_run->job->job->priority != kUrgentPriority) continue;
    urgent +=
        it->step_run->step->needs.accelerators * it->step_run->TasksPerUnit();
  }
  const auto elapsed = std::max(now - peak_updated_at_, base::Duration(0));
  const double decayed_peak =
      urgent_peak_ *
      std::exp(-SecondsOf(elapsed) / SecondsOf(options_.peak_decay_time));
  urgent_peak_ = std::max(decayed_peak, static_cast<double>(urgent));
  peak_updated_at_ = now;
  const auto all = workers.total_accelerators();
  free_accelerators_ = workers.free_accelerators();
  const auto limit = options_.max_headroom_share * static_cast<double>(all);
  const auto wanted = urgent_peak_ - static_cast<double>(urgent);
  accelerators_ = static_cast<std::int64_t>(std::min(limit, wanted));
  is_half_free_ = 2 * free_accelerators_ > all;
}

void Headroom::CountStart(const Unit& unit) {
  const auto& run = *unit.step_run;
  free_accelerators_ -= run.step->needs.accelerators * run.TasksPerUnit();
}

bool Headroom::MustLeaveFree(const StepRun& run, base::TimePoint now) const {
  const auto& job = *run.job;
  if (job.job->priority == kUrgentPriority) return false;
  const auto latest =
      job.accepted_at + job.latency_objective - run.critical_path;
  if (now + options_.min_slack_for_headroom > latest) return false;
  const auto needed = run.step->needs.accelerators * run.TasksPerUnit();
  return needed > 0 && free_accelerators_ - needed < accelerators_;
}

}  // namespace lapishatch::dispatch::internal
