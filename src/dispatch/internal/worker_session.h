#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/worker_client.h"

namespace lapishatch::dispatch::internal {

struct SessionOptions {
  /// A worker kills what it runs when so much time has passed since the last
  /// renewal was sent. Long enough for a takeover after a renewal that
  /// is as old as `wait`; short, since work on a worker that nobody reaches may
  /// start elsewhere only after it.
  base::Duration lease_duration{5'900};
  /// How long a worker may wait for a task to end before it answers.
  base::Duration poll_wait{800};
  /// Beyond the wait: one round trip and the worker's own delay.
  base::Duration answer_timeout{600};
  base::Duration retry_delay{250};
  /// Ends that cannot be recorded (the store is out) are not waited for longer:
  /// the lease is to be renewed.
  base::Duration max_record_wait{500};
  /// A worker's clock may be this share slow.
  double max_clock_drift = 0.02;
  /// Allowed for what the estimate of a worker's clock cannot know.
  base::Duration clock_margin{300};
};

/// The conversation with one life of a worker: one call at a time that renews
/// its lease and waits for tasks to end. Keeps what is known of its clock.
class WorkerSession {
 public:
  struct Events {
    /// News of the worker, as of after `sent`.
    std::function<void(WorkerReport news, base::TimePoint sent)> on_report;
    /// The worker has seen a higher epoch.
    std::function<void()> on_superseded;
    /// This life of the worker is over.
    std::function<void()> on_other_incarnation;
    /// Asked before each call: whether this owner may still renew leases.
    std::function<bool()> may_renew;
    /// Asked for each renewal: how long the lease may be.
    std::function<base::Duration()> max_lease;
  };

  WorkerSession(base::EventLoop& loop, WorkerClient& client,
                WorkerRegistration registration, Epoch epoch,
                SessionOptions options, Events events);
  ~WorkerSession();
  WorkerSession(const WorkerSession&) = delete;
  WorkerSession& operator=(const WorkerSession&) = delete;

  void Start();

  const WorkerRegistration& registration() const;
  void SetRegistration(WorkerRegistration registration);

  WorkerAddress address() const;

  /// Whether the worker has answered since the session began.
  bool has_answered() const;

  /// Whether it has answered lately, and no order to it has failed since.
  bool IsReachable() const;

  /// When it answered last.
  base::TimePoint LastAnswerTime() const;

  /// When the answer that is awaited was due first; the maximum while none is.
  base::TimePoint AnswerDueTime() const;

  /// An order to it had no answer: it counts as not reached until it answers.
  void MarkUnreachable();

  /// An estimate of the worker's clock that is late by a round trip at most.
  /// Only when it is heard.
  WorkerTime EstimatedWorkerTime() const;

  /// An order that lets the worker's lease reach until `expires` was sent.
  void NoteLeaseExpiry(WorkerTime expires);

  /// Whether everything on it is certain to have been killed by the worker
  /// itself, as its lease has run out. Only when it is heard.
  bool HasLeaseExpired() const;

  /// Highest number of an end that was told.
  std::uint64_t last_received_end() const;

  /// Ends up to `number` stand in the store.
  void OnEndsRecorded(std::uint64_t end);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
