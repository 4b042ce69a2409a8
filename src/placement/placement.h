#ifndef LAPISHATCH_PLACEMENT_PLACEMENT_H_
#define LAPISHATCH_PLACEMENT_PLACEMENT_H_

/// Umbrella header of the placement package: assigns gangs to workers and
/// tracks guaranteed capacity. Free of I/O.

#include "placement/cell_snapshot.h"
#include "placement/fragmentation.h"
#include "placement/gang.h"
#include "placement/planner.h"
#include "placement/shape.h"
#include "placement/start_failure_tracker.h"
#include "placement/worker_quarantine.h"

#endif  // LAPISHATCH_PLACEMENT_PLACEMENT_H_
