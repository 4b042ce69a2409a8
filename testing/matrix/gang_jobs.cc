#include "matrix/internal/gang_jobs.h"

namespace lapishatch::matrix::internal {

std::vector<JobPlan> PlannedJobs() {
  return {
      {"coverage", "plateau", base::WorkClass::kQuiet, 2, 8, true, true, 40'000,
       0},
      {"rescore", "plateau", base::WorkClass::kQuiet, 2, 8, true, true, 60'000,
       100},
      {"alignment", "bertolini", base::WorkClass::kUrgent, 2, 8, false, false,
       20'000, 15'000},
      {"study", "plateau", base::WorkClass::kNormal, 1, 8, true, false, 90'000,
       20'000},
      {"dispatch", "bertolini", base::WorkClass::kNormal, 2, 4, false, false,
       50'000, 100'000},
      // Together they would take all four workers.
      {"survey-a", "plateau", base::WorkClass::kNormal, 2, 8, true, false,
       10'000, 250'000},
      {"survey-b", "plateau", base::WorkClass::kNormal, 2, 8, true, false,
       10'000, 250'000},
  };
}

scheduler::AcceptedJob JobOf(const JobPlan& plan) {
  scheduler::AcceptedJob out;
  out.name = base::JobName(plan.name);
  auto& spec = out.spec;
  spec.organisation = base::OrganisationName(plan.organisation);
  spec.work_class = plan.work_class;
  spec.tasks = plan.tasks;
  spec.needs = {plan.accelerators, plan.accelerators, 1024};
  spec.adjacency = placement::Adjacency::kRack;
  spec.idempotent = plan.idempotent;
  spec.checkpoint = plan.checkpoint;
  spec.declared_runtime = base::Duration(plan.run_ms);
  spec.payload = "{\"run_ms\":" + std::to_string(plan.run_ms) + "}";
  return out;
}

}  // namespace lapishatch::matrix::internal
