#ifndef LAPISHATCH_DISPATCH_INTERNAL_RECORDER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_RECORDER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/worker_client.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

struct RecorderOptions {
  /// Least time between two transactions. A partition accepts 150 a second,
  /// shared with the jobs that entries accept, and each transaction is billed.
  base::Duration min_write_interval{15};
  base::Duration initial_backoff{50};
  base::Duration max_backoff{400};
};

/// Writes the progress of the dirty jobs of one partition. Jobs that are due
/// share a transaction, and only one transaction is in flight. Each requires
/// that the partition's fence row and the jobs' progress rows are unchanged, so
/// that neither a former owner nor a delayed copy of an earlier transaction can
/// overwrite newer rows.
class Recorder {
 public:
  /// `fence_version` is the version of the partition's fence row; `on_lost` is
  /// called when the row shows another owner.
  Recorder(base::EventLoop& loop, store::RowStore& store, std::string partition,
           int partition_index, store::RowVersion fence_version,
           JobTracker& tracker, RecorderOptions options,
           std::function<void(const std::string&)> on_lost);
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// Schedules a write of the dirty jobs for when they are due. To be called
  /// after each change of the tracked jobs.
  void ScheduleWrite();

  /// Calls `done` once the present state of `jobs`, all of this partition, is
  /// in the store; if it already is, in a later turn of the event loop.
  void WhenRecorded(const std::vector<base::JobName>& jobs,
                    std::function<void()> done);

  /// Whether the job's row is neither dirty nor being written.
  bool IsRecorded(const base::JobName& job) const;

  store::RowVersion fence_version() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_RECORDER_H_
