#ifndef LAPISHATCH_STANDINS_PLATFORM_PLATFORM_H_
#define LAPISHATCH_STANDINS_PLATFORM_PLATFORM_H_

/// Umbrella header of the stand-in platform: table, objects and VM list in
/// memory, over HTTP, with faults.

#include "platform/platform_faults.h"
#include "platform/platform_server.h"
#include "platform/row_store.h"
#include "platform/token_bucket.h"

#endif  // LAPISHATCH_STANDINS_PLATFORM_PLATFORM_H_
