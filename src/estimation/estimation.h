#ifndef LAPISHATCH_ESTIMATION_ESTIMATION_H_
#define LAPISHATCH_ESTIMATION_ESTIMATION_H_

/// Umbrella header of the estimation package: what the progress of running
/// tasks says about the speed of workers and the run time of tasks. It answers
/// the load in which submitters' estimates are wrong and workers differ in
/// speed. Has no clock and does no I/O.

#include "estimation/log_estimate.h"
#include "estimation/pace_meter.h"
#include "estimation/run_time_model.h"
#include "estimation/run_time_ratios.h"
#include "estimation/worker_speeds.h"

#endif  // LAPISHATCH_ESTIMATION_ESTIMATION_H_
