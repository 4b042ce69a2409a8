#ifndef LAPISHATCH_SCHEDULER_SCHEDULER_H_
#define LAPISHATCH_SCHEDULER_SCHEDULER_H_

/// Umbrella header of the scheduler package: the owner of a cell, and the
/// interfaces through which it learns its work and asks other owners.

#include "scheduler/cell_owner.h"
#include "scheduler/group_word.h"
#include "scheduler/job_feed.h"
#include "scheduler/owner_options.h"
#include "scheduler/owner_probe.h"
#include "scheduler/rows.h"
#include "scheduler/wire_owner_probe.h"

#endif  // LAPISHATCH_SCHEDULER_SCHEDULER_H_
