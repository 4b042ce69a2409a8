#ifndef LAPISHATCH_BACKENDS_BACKENDS_H_
#define LAPISHATCH_BACKENDS_BACKENDS_H_

/// Umbrella header of the backends package: interfaces to runners and workers,
/// and their HTTP implementations.

#include "backends/codec_error.h"
#include "backends/runner_client.h"
#include "backends/runner_codec.h"
#include "backends/runner_health.h"
#include "backends/runner_monitor.h"
#include "backends/worker_client.h"
#include "backends/worker_codec.h"

#endif  // LAPISHATCH_BACKENDS_BACKENDS_H_
