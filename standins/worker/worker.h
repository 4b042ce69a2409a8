#ifndef LAPISHATCH_STANDINS_WORKER_WORKER_H_
#define LAPISHATCH_STANDINS_WORKER_WORKER_H_

/// Umbrella header of the stand-in worker: its rules as a pure model, and HTTP
/// around it.

#include "worker/memory_object_store.h"
#include "worker/worker_model.h"
#include "worker/worker_server.h"

#endif  // LAPISHATCH_STANDINS_WORKER_WORKER_H_
