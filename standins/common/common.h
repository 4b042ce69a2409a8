#ifndef LAPISHATCH_STANDINS_COMMON_COMMON_H_
#define LAPISHATCH_STANDINS_COMMON_COMMON_H_

/// Umbrella header of what the stand-ins share: the frame of their programs and
/// the requests of their fault port.

#include "common/backend_fleet.h"
#include "common/backend_server.h"
#include "common/fault_request.h"
#include "common/gathered_stats.h"
#include "common/standin_program.h"

#endif  // LAPISHATCH_STANDINS_COMMON_COMMON_H_
