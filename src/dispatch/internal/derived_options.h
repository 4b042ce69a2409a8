#ifndef LAPISHATCH_DISPATCH_INTERNAL_DERIVED_OPTIONS_H_
#define LAPISHATCH_DISPATCH_INTERNAL_DERIVED_OPTIONS_H_

#include "dispatch/bounds.h"
#include "dispatch/internal/task_planner.h"
#include "dispatch/internal/worker_drain.h"
#include "dispatch/internal/worker_session.h"

namespace lapishatch::dispatch::internal {

SessionOptions SessionOptionsFor(const Bounds& bounds);

TaskPlannerOptions PlannerOptionsFor(const Bounds& bounds);

DrainOptions DrainOptionsFor(const Bounds& bounds);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_DERIVED_OPTIONS_H_
