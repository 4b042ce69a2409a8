#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/worker_port.h"

namespace lapishatch::dispatch::internal {

struct SessionOptions {
  /// A worker kills what it runs when so much time has passed since the last
  /// renewal was sent. Long enough for a takeover after a renewal that
  /// is as old as `wait`; short, since work on a worker that nobody reaches may
  /// start elsewhere only after it.
  base::Duration lease{5'900};
  /// How long a worker may wait for a task to end before it answers.
  base::Duration wait{800};
  /// Beyond the wait: one round trip and the worker's own delay.
  base::Duration answer_timeout{600};
  base::Duration retry{250};
  /// Ends that cannot be recorded (the store is out) are not waited for longer:
  /// the lease is to be renewed.
  base::Duration record_patience{500};
  /// A worker's clock may be this share slow.
  double clock_drift = 0.02;
  /// Allowed for what the estimate of a worker's clock cannot know.
  base::Duration clock_slack{300};
};

/// The conversation with one life of a worker: one call at a time that renews
/// its lease and waits for tasks to end. Keeps what is known of its clock.
class WorkerSession {
 public:
  struct Events {
    /// News of the worker, as of after `sent`.
    std::function<void(WorkerNews news, base::TimePoint sent)> on_news;
    /// The worker has seen a higher epoch.
    std::function<void()> on_superseded;
    /// This life of the worker is over.
    std::function<void()> on_other_life;
    /// Asked before each call: whether this owner may still renew leases.
    std::function<bool()> may_renew;
    /// Asked for each renewal: how long the lease may be.
    std::function<base::Duration()> longest_lease;
  };

  WorkerSession(base::EventLoop& loop, WorkerPort& port, WorkerEntry entry,
                Epoch epoch, SessionOptions options, Events events);
  ~WorkerSession();
  WorkerSession(const WorkerSession&) = delete;
  WorkerSession& operator=(const WorkerSession&) = delete;

  void Start();

  const WorkerEntry& entry() const;
  void SetEntry(WorkerEntry entry);

  WorkerAddress address() const;

  /// Whether the worker has answered since the session began.
  bool is_heard() const;

  /// Whether it has answered lately, and no order to it has failed since.
  bool IsReached() const;

  /// When it answered last.
  base::TimePoint LastAnswer() const;

  /// When the answer that is awaited was due first; the maximum while none is.
  base::TimePoint AnswerDue() const;

  /// An order to it had no answer: it counts as not reached until it answers.
  void MarkUnreached();

  /// An estimate of the worker's clock that is late by a round trip at most.
  /// Only when it is heard.
  WorkerClock Clock() const;

  /// An order that lets the worker's lease reach until `expires` was sent.
  void NoteExpiry(WorkerClock expires);

  /// Whether everything on it is certain to have been killed by the worker
  /// itself, as its lease has run out. Only when it is heard.
  bool HasLapsed() const;

  /// Highest number of an end that was told.
  std::uint64_t ends_received() const;

  /// Ends up to `number` stand in the store.
  void EndsRecorded(std::uint64_t number);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
