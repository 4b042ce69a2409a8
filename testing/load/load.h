#ifndef LAPISHATCH_TESTING_LOAD_LOAD_H_
#define LAPISHATCH_TESTING_LOAD_LOAD_H_

/// Umbrella header of the load package: HTTP load and its measurement.

#include "load/balancer.h"
#include "load/latency_histogram.h"
#include "load/load_generator.h"

#endif  // LAPISHATCH_TESTING_LOAD_LOAD_H_
