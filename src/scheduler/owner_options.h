#ifndef LAPISHATCH_SCHEDULER_OWNER_OPTIONS_H_
#define LAPISHATCH_SCHEDULER_OWNER_OPTIONS_H_

#include "base/base.h"
#include "http/http.h"
#include "lifecycle/lifecycle.h"
#include "placement/placement.h"

namespace lapishatch::scheduler {

/// Settings of one cell's owner. docs/SCHEDULER.md gives the reasons for the
/// defaults.
struct OwnerOptions {
  base::CellName cell;
  base::DomainName domain;
  /// This life of this process.
  base::Incarnation incarnation;
  /// Where other candidates ask this process about the cell.
  http::Endpoint endpoint;

  lifecycle::LeaseTiming lease;
  lifecycle::GangTimeouts gang;
  placement::PlannerOptions planner;

  /// A reservation lapses after this unless started: longer than a gang may
  /// take to reserve and to record.
  base::Duration reservation{8'000};
  /// Lease of a started task until every member of its gang is confirmed.
  base::Duration start_lease{6'000};
  /// Lease of a confirmed task: longer than a failover.
  base::Duration running_lease{60'000};
  /// Lease of a confirmed task while the table is out, when no other process
  /// could take the cell.
  base::Duration outage_lease{1'800'000};

  /// How long a worker may hold back a report without news.
  base::Duration poll_wait{20'000};
  /// Pause between reports, so that changes close together come in one.
  base::Duration poll_spacing{100};
  /// Pause after a failed report, and between reports while the end of a task
  /// waits to be recorded.
  base::Duration poll_retry{1'000};
  /// A worker not reached for this long counts as lost: its gangs stop.
  base::Duration lost_after{15'000};
  /// How long a new owner waits for its workers' first reports before it
  /// places anything.
  base::Duration recovery_window{1'000};

  /// Status writes are gathered for this long into one transaction.
  base::Duration group_window{20};
  /// Most jobs in one transaction.
  std::size_t group_size = 32;
  /// Pause after a failed write before it is tried again: first and longest.
  base::Duration write_retry_first{200};
  base::Duration write_retry_limit{2'000};

  /// A worker that is over its cores has this long to come down after its
  /// tasks were throttled, before work is moved away.
  base::Duration throttle_grace{10'000};
  /// A task that fails within this time of its start speaks against its
  /// worker.
  base::Duration early_failure{10'000};
  /// Attempts of an idempotent job whose tasks fail or whose workers are lost.
  int max_attempts = 5;

  std::uint64_t seed = 1;
};

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_OWNER_OPTIONS_H_
