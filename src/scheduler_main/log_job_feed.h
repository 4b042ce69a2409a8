#ifndef LAPISHATCH_SCHEDULER_MAIN_LOG_JOB_FEED_H_
#define LAPISHATCH_SCHEDULER_MAIN_LOG_JOB_FEED_H_

#include <memory>
#include <vector>

#include "config/config.h"
#include "scheduler/scheduler.h"
#include "store/store.h"

namespace lapishatch::scheduler_main {

struct LogJobFeedOptions {
  /// The failure domain of this process.
  base::DomainName domain;
  /// All failure domains, the same in every process.
  std::vector<base::DomainName> domains;
  /// Pause before a reading of the log's heads that failed is tried again.
  base::Duration retry{500};
};

/// The jobs, workers and configuration of one failure domain, from the change
/// logs and the VM list. Follow and Unfollow from any thread, the rest on the
/// mirror's loop.
class LogJobFeed final : public scheduler::JobFeed {
 public:
  /// Listens to `mirror`, which runs on `loop`. Both must outlive it.
  LogJobFeed(base::EventLoop& loop, config::Mirror& mirror,
             LogJobFeedOptions options);
  ~LogJobFeed() override;

  scheduler::FeedId Follow(
      const base::CellName& cell,
      std::function<void(scheduler::FeedEvent)> changed) override;
  void Unfollow(scheduler::FeedId id) override;

  /// The VM list as last read.
  void SetVms(const std::vector<store::Vm>& vms);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_LOG_JOB_FEED_H_
