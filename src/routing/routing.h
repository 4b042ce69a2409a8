#ifndef LAPISHATCH_ROUTING_ROUTING_H_
#define LAPISHATCH_ROUTING_ROUTING_H_

/// Umbrella header of the routing package: the path of a request from its
/// admission to its truthful answer.

#include "routing/adaptive_window.h"
#include "routing/answer_times.h"
#include "routing/claim.h"
#include "routing/claim_keeper.h"
#include "routing/claim_machine.h"
#include "routing/claim_sweeper.h"
#include "routing/claimed_request.h"
#include "routing/directory.h"
#include "routing/request.h"
#include "routing/request_path.h"
#include "routing/request_queue.h"
#include "routing/retry_budget.h"
#include "routing/runner_pool.h"
#include "routing/service_dispatcher.h"

#endif  // LAPISHATCH_ROUTING_ROUTING_H_
