#ifndef LAPISHATCH_DISPATCH_DISPATCH_H_
#define LAPISHATCH_DISPATCH_DISPATCH_H_

/// Umbrella header of the dispatch package: who owns a service, and how its
/// owner places, starts, stops and records the tasks of jobs.

#include "dispatch/bounds.h"
#include "dispatch/evacuations.h"
#include "dispatch/fleet.h"
#include "dispatch/owner_fitness.h"
#include "dispatch/owner_lease.h"
#include "dispatch/placer.h"
#include "dispatch/schedulable_workers.h"
#include "dispatch/service_owner.h"
#include "dispatch/service_owners.h"
#include "dispatch/worker_client.h"
#include "dispatch/worker_incarnation.h"

#endif  // LAPISHATCH_DISPATCH_DISPATCH_H_
