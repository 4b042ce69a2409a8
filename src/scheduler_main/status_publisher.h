#ifndef LAPISHATCH_SCHEDULER_MAIN_STATUS_PUBLISHER_H_
#define LAPISHATCH_SCHEDULER_MAIN_STATUS_PUBLISHER_H_

#include <deque>
#include <map>
#include <memory>

#include "config/config.h"
#include "scheduler/scheduler.h"
#include "store/store.h"

namespace lapishatch::scheduler_main {

/// What a publisher works with. All must outlive it.
struct PublisherPorts {
  base::EventLoop& loop;
  store::Table& table;
  /// Both on the same loop.
  config::Mirror& mirror;
  config::ChangeWriter& writer;
};

struct PublisherOptions {
  /// Jobs whose status is being written to the log at once.
  std::size_t in_flight = 256;
  /// Pause after a status could not be written to the log.
  base::Duration retry{500};
  std::string changed_by;
};

/// Tells everybody, by the jobs' change log, what owners have recorded in the
/// jobs' status rows. The rows are the truth: a write to the log demands the
/// row's version, and after a failure the row is read again and told as it is
/// by then, so that the log never goes back to an older status.
class StatusPublisher {
 public:
  StatusPublisher(PublisherPorts ports, PublisherOptions options);
  ~StatusPublisher();
  StatusPublisher(const StatusPublisher&) = delete;
  StatusPublisher& operator=(const StatusPublisher&) = delete;

  /// A job's status row as it was written or read. Safe from any thread.
  void Offer(base::JobName job, config::JobStatus status,
             store::RowVersion version);

  /// Jobs whose status is not yet in the log. On the loop only.
  std::size_t waiting() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_STATUS_PUBLISHER_H_
