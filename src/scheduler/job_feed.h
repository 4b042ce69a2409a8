#ifndef LAPISHATCH_SCHEDULER_JOB_FEED_H_
#define LAPISHATCH_SCHEDULER_JOB_FEED_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "http/http.h"
#include "placement/placement.h"

namespace lapishatch::scheduler {

/// A job that an entry has accepted for this cell.
struct AcceptedJob {
  base::JobName name;
  config::JobSpec spec;
  /// When it was accepted, on this process's monotonic clock; only for the
  /// order of the queue.
  base::TimePoint submitted;
};

/// A worker of the cell, from the platform's list and the operators' drains.
struct CellWorker {
  base::WorkerName name;
  http::Endpoint endpoint;
  base::RackName rack;
  /// Leaving or drained: nothing new is placed there.
  bool leaving = false;

  friend bool operator==(const CellWorker&, const CellWorker&) = default;
};

/// The configuration in force, as far as this cell is concerned.
struct CellConfiguration {
  std::vector<placement::Guarantee> guarantees;
  std::vector<placement::OrganisationShare> shares;
};

/// Everything at once; the first event of every subscription. At least as new
/// as the table was when Follow was called, so that a job with an intent is
/// missing only when it was cancelled.
struct FeedSnapshot {
  std::vector<AcceptedJob> jobs;
  std::vector<CellWorker> workers;
  CellConfiguration configuration;
};

/// One more job. Told again for a job that is known: ignored.
struct JobAccepted {
  AcceptedJob job;
};

/// An operator has cancelled or deleted the job.
struct JobCancelled {
  base::JobName job;
};

/// All workers of the cell from now on.
struct WorkersChanged {
  std::vector<CellWorker> workers;
};

struct ConfigurationChanged {
  CellConfiguration configuration;
};

using FeedEvent = std::variant<FeedSnapshot, JobAccepted, JobCancelled,
                               WorkersChanged, ConfigurationChanged>;

/// Names a subscription.
using FeedId = std::uint64_t;

/// Where an owner learns what it has to do: accepted jobs, cancellations,
/// workers and configuration of one cell.
class JobFeed {
 public:
  virtual ~JobFeed() = default;

  /// Calls `changed` with a FeedSnapshot once it can be had, then with every
  /// change, in order, on any thread; never from within Follow itself.
  virtual FeedId Follow(const base::CellName& cell,
                        std::function<void(FeedEvent)> changed) = 0;

  /// No call of the subscription begins after this returns.
  virtual void Unfollow(FeedId id) = 0;
};

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_JOB_FEED_H_
