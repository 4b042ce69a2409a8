#ifndef LAPISHATCH_JOBS_JOBS_H_
#define LAPISHATCH_JOBS_JOBS_H_

/// Umbrella header of the jobs package: jobs of steps and tasks, the queues
/// that take them, their rows in the store, and the service that accepts, shows
/// and cancels them.

#include "jobs/job.h"
#include "jobs/job_rows.h"
#include "jobs/job_service.h"
#include "jobs/progress.h"
#include "jobs/queue_table.h"

#endif  // LAPISHATCH_JOBS_JOBS_H_
