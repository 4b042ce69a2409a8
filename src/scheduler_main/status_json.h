#ifndef LAPISHATCH_SCHEDULER_MAIN_STATUS_JSON_H_
#define LAPISHATCH_SCHEDULER_MAIN_STATUS_JSON_H_

#include <boost/json.hpp>

#include "config/config.h"
#include "scheduler/scheduler.h"

namespace lapishatch::scheduler_main {

/// A cell's status as other processes get it.
wire::CellStatus ToWire(const base::CellName& cell,
                        const scheduler::OwnerStatus& status);

/// A cell as /v1/status and CellStatusQuery show it.
boost::json::object ToJson(const base::CellName& cell,
                           const scheduler::OwnerStatus& status);

/// A job as explained to people.
boost::json::object ToJson(const base::JobName& job,
                           const placement::Explanation& explanation);

/// A log's versions accepted and in force.
boost::json::object ToJson(const config::MirrorStatus& status);

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_STATUS_JSON_H_
