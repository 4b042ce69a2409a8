#ifndef LAPISHATCH_STANDINS_RUNNER_RUNNER_H_
#define LAPISHATCH_STANDINS_RUNNER_RUNNER_H_

/// Umbrella header of the stand-in runner: its rules as a pure model, and HTTP
/// around it.

#include "runner/run_log.h"
#include "runner/runner_model.h"
#include "runner/runner_server.h"

#endif  // LAPISHATCH_STANDINS_RUNNER_RUNNER_H_
