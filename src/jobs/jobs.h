#ifndef LAPISHATCH_JOBS_JOBS_H_
#define LAPISHATCH_JOBS_JOBS_H_

/// Umbrella header of the jobs package: jobs with their steps and tasks, the
/// queues that accept them, their limits, their rows in the store, the index of
/// the services that accepted them, and the service that accepts and cancels
/// jobs and reads their state.

#include "jobs/configuration_view.h"
#include "jobs/job.h"
#include "jobs/job_index.h"
#include "jobs/job_limits.h"
#include "jobs/job_rows.h"
#include "jobs/job_service.h"
#include "jobs/progress.h"
#include "jobs/queue_table.h"

#endif  // LAPISHATCH_JOBS_JOBS_H_
