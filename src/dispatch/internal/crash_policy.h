#ifndef LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_
#define LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/unit.h"
#include "jobs/progress.h"

namespace lapishatch::dispatch::internal {

/// Limits on restarting tasks whose workers are lost while running them.
struct CrashPolicyOptions {
  /// Suspicion at which a task is given up. A crash adds at most two, so this
  /// takes at least two crashes.
  int max_suspicion = 3;
  /// Number of crashes at which a task is given up, whatever the suspicion.
  int max_crashes = 4;
  /// Number of possible crashes from which restarts are limited.
  int limited_after = 3;
  /// Limit on unsuccessful restarts from then on.
  int max_retries = 2;
  /// Crashes that are enough to give up a task that has reached a limit.
  int min_crashes = 2;
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

/// What is known of the end of a worker under a task.
enum class LossEvidence : std::uint8_t {
  /// Nothing to count: the start was not sent, or the worker had announced that
  /// it leaves.
  kNone,
  /// The worker crashed while it ran the task.
  kCrash,
  /// The worker has ended, but may not have run the task at that time.
  kUnproved,
  /// The worker fell silent and may live.
  kSilent,
};

/// Whether a task may be started again.
enum class RestartVerdict : std::uint8_t {
  kAllowed,
  /// Not before it is known whether workers that fell silent have crashed.
  kDeferred,
  /// Never: the task has crashed its workers.
  kGiveUp,
};

/// Adds a crash with `suspicion` to the losses of task `member`.
void AddCrash(std::vector<jobs::TaskLosses>& losses, int member, int suspicion);

/// Adds the end of a worker that may not have run task `member`.
void AddUnprovedCrash(std::vector<jobs::TaskLosses>& losses, int member);

/// Adds a worker that fell silent under task `member`.
void AddSilentWorker(std::vector<jobs::TaskLosses>& losses, int member,
                     jobs::SilentWorker worker);

/// Counts a run of task `member` that ended without success although its worker
/// survived. From the third possible crash on such runs are limited too.
void CountUnsuccessfulRun(std::vector<jobs::TaskLosses>& losses, int member);

/// Returns what is known by now of a worker that had fallen silent: kNone if it
/// has survived, kCrash or kUnproved if it has ended, nothing otherwise.
using SilenceEvidence =
    std::function<std::optional<LossEvidence>(const jobs::SilentWorker&)>;

/// Decides about the silent workers of `losses` by `evidence`. Returns whether
/// anything has changed.
bool ResolveSilentWorkers(std::vector<jobs::TaskLosses>& losses,
                          const SilenceEvidence& evidence);

/// Returns the losses of task `member`, with zero counts if there are none.
jobs::TaskLosses LossesOf(const std::vector<jobs::TaskLosses>& losses,
                          int member);

/// Whether any of the tasks is suspected of having crashed a worker.
bool IsSuspect(const std::vector<jobs::TaskLosses>& losses);

/// Whether a unit with these losses may be started again: the strictest verdict
/// on its tasks. Only crashes give a task up; losses that may have been crashes
/// limit its restarts until it is known whether they were.
RestartVerdict VerdictOn(const std::vector<jobs::TaskLosses>& losses,
                         const CrashPolicyOptions& options);

}  // namespace lapishatch::dispatch::internal

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::internal::LossEvidence> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "none", "crash", "unproved", "silent"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_INTERNAL_CRASH_POLICY_H_
