#ifndef LAPISHATCH_BASE_BASE_H_
#define LAPISHATCH_BASE_BASE_H_

/// Umbrella header of the base package: time, ids, enum names, random numbers,
/// events and metrics. Base depends on no other package; every other package
/// may depend on it.

#include "base/backoff.h"
#include "base/budget.h"
#include "base/clock.h"
#include "base/enum_names.h"
#include "base/event.h"
#include "base/event_loop.h"
#include "base/heap.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/log_gate.h"
#include "base/metrics.h"
#include "base/names.h"
#include "base/recent_events.h"

#endif  // LAPISHATCH_BASE_BASE_H_
