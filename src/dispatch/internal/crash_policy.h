#ifndef LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_
#define LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_

#include <vector>

#include "base/base.h"
#include "dispatch/internal/unit.h"
#include "jobs/progress.h"

namespace lapishatch::dispatch::internal {

/// Limits on restarting tasks whose workers are lost while running them.
struct CrashPolicyOptions {
  /// Suspicion at which a task is given up.
  int max_suspicion = 3;
  /// Number of losses at which a task is given up, whatever their cause.
  int max_losses = 4;
  /// Number of losses from which every unsuccessful run counts as another one.
  int strict_counting_after = 3;
  /// A run of a service step that worked for at least this long clears the
  /// losses of earlier runs.
  base::Duration loss_reset_run_time{30'000};
  /// A crash is attributed to a common cause if at least this many other
  /// workers of the rack are down,
  int min_rack_failures = 2;
  /// or at least this number and share of the fleet,
  int min_fleet_failures = 2;
  double min_fleet_failure_share = 0.1;
  /// or at least this number and share of the workers without suspect tasks.
  int min_suspect_free_failures = 2;
  double min_suspect_free_failure_share = 0.25;
};

/// A worker that is down or crashed recently, and ran no suspect task.
struct DownWorker {
  base::RackName rack;
  std::vector<jobs::TaskName> tasks;
};

/// The workers of a fleet that are down, and the size of the fleet.
struct DownWorkers {
  std::vector<DownWorker> workers;
  /// Number of workers in the fleet, up or down.
  int fleet_size = 0;
  /// Number of workers, up or down, that have no suspect task.
  int without_suspects = 0;
};

/// Whether the crash of a worker of `rack` under `task` is part of a larger
/// failure, such as a power outage of a rack or failure domain. Other workers
/// that ran `task` are not counted, since it may have crashed them too.
bool HasCommonCause(const DownWorkers& down, const base::RackName& rack,
                    const jobs::TaskName& task,
                    const CrashPolicyOptions& options);

/// Returns the suspicion that the loss of a worker adds to a task on it: none
/// unless the worker crashed without another explanation, and more if no task
/// of another unit could have caused the crash.
int SuspicionOf(WorkerLossReason reason, bool is_explained, bool is_alone);

/// Adds a loss with `suspicion` to the losses of task `member`.
void AddLoss(std::vector<jobs::TaskLosses>& losses, int member, int suspicion);

/// Returns the losses of task `member`, with zero counts if there are none.
jobs::TaskLosses LossesOf(const std::vector<jobs::TaskLosses>& losses,
                          int member);

/// Whether any of the tasks is suspected of having crashed a worker.
bool IsSuspect(const std::vector<jobs::TaskLosses>& losses);

/// Whether any of the tasks has reached a limit and must not be restarted.
bool IsGivenUp(const std::vector<jobs::TaskLosses>& losses,
               const CrashPolicyOptions& options);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_
