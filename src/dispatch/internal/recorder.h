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
  /// Between two transactions: a part takes 150 a second, shared with what
  /// entries accept, and each is priced.
  base::Duration min_write_interval{15};
  base::Duration initial_backoff{50};
  base::Duration max_backoff{400};
};

/// Writes the progress of the dirty jobs of one part, those that are due in one
/// transaction and one transaction at a time, each on condition that the part's
/// fence row and the jobs' progress rows are unchanged. So nothing of a former
/// owner, and no late copy of an earlier transaction, can overwrite what came
/// after.
class Recorder {
 public:
  /// `fence` is the version of the part's fence row; `on_lost` is called when
  /// the row shows another owner.
  Recorder(base::EventLoop& loop, store::RowStore& store, std::string partition,
           int partition_index, store::RowVersion fence_version,
           JobTracker& book, RecorderOptions options,
           std::function<void(const std::string&)> on_lost);
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// Writes what is dirty when it is due. Called after each change of the book.
  void ScheduleWrite();

  /// Calls `done` once what is known now of `jobs`, all of this part, stands in
  /// the store; soon when it does already.
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
