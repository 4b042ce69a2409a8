#ifndef LAPISHATCH_LIFECYCLE_LIFECYCLE_H_
#define LAPISHATCH_LIFECYCLE_LIFECYCLE_H_

/// Umbrella header of the lifecycle package: the state machines of gangs and
/// cell leases, and the messages exchanged with workers. The state machines
/// perform no I/O: they take events and the time, and return commands.

#include "lifecycle/cell_lease.h"
#include "lifecycle/gang_state_machine.h"
#include "lifecycle/worker_protocol.h"

#endif  // LAPISHATCH_LIFECYCLE_LIFECYCLE_H_
