#ifndef LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
#define LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/base.h"
#include "dispatch/worker_client.h"

namespace lapishatch::dispatch::internal {

struct SessionOptions {
  /// A worker kills its tasks this long after the last renewal was sent. Long
  /// enough for a takeover after a renewal as old as `poll_wait`, and short
  /// because the tasks of an unreachable worker may start elsewhere only after
  /// it.
  base::Duration lease_duration{5'900};
  /// How long a worker may wait for a task to end before it answers a poll.
  base::Duration poll_wait{800};
  /// Time beyond `poll_wait` for one round trip and the worker's own delay.
  base::Duration answer_timeout{600};
  base::Duration retry_delay{250};
  /// Longest wait for received ends to be recorded before the next poll. During
  /// an outage of the store they cannot be recorded, but the lease must be
  /// renewed.
  base::Duration max_record_wait{500};
  /// How long a worker may list no new ends although it has some, before its
  /// lease is left to expire.
  base::Duration max_ends_stall{5'900};
  /// A worker's clock may run slow by up to this share.
  double max_clock_drift = 0.02;
  /// Margin for errors of the estimate of a worker's clock.
  base::Duration clock_margin{300};
};

/// An incarnation of a worker when another one was found in its place.
struct EndedIncarnation {
  /// Whether its lease ran then, so that it ended with its tasks.
  bool was_lease_held = false;
  /// Whether it closed its connection, and so listed all earlier ends.
  bool has_closed = false;
  base::TimePoint last_answer_at{};
};

/// Polls a worker, with one poll in flight at a time. A poll renews the
/// worker's lease and waits for tasks to end. The session also estimates the
/// worker's clock. If a report comes from another incarnation than the last
/// one, the session begins anew: what it knew of clock, lease and ends is of
/// the earlier one.
///
/// A report may list only the first of the ends that are due. The session
/// acknowledges what is recorded and polls on until a report lists the last
/// one. A worker whose lists do not advance counts as unreachable.
class WorkerSession {
 public:
  struct Events {
    /// The worker's report, created after `sent`.
    std::function<void(WorkerReport report, base::TimePoint sent)> on_report;
    /// The worker has seen a higher epoch.
    std::function<void()> on_superseded;
    /// This incarnation of the worker has ended.
    std::function<void()> on_other_incarnation;
    /// The worker lists its ends in a way that cannot be followed, so that its
    /// lease is not renewed any more. Called once until it can be followed.
    std::function<void(std::string_view detail)> on_ends_unusable;
    /// Queried before each poll: whether this owner may still renew leases.
    std::function<bool()> may_renew;
    /// Queried for each renewal: the longest permitted lease.
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

  /// Start time in the worker's last report; empty if it has not answered or
  /// does not say.
  WorkerStartTime confirmed_start() const;

  WorkerAddress address() const;

  /// Whether the worker has answered since the session began.
  bool has_answered() const;

  /// Whether it has answered recently, and no order to it has failed since.
  bool IsReachable() const;

  /// Time of its last answer.
  base::TimePoint LastAnswerTime() const;

  /// When the outstanding answer was first due; the maximum while none is
  /// outstanding.
  base::TimePoint AnswerDueTime() const;

  /// How the first poll since the last answer failed, for logs; empty if none
  /// has.
  const std::string& first_failure() const;

  /// Called when an order had no answer: the worker counts as unreachable until
  /// it answers.
  void MarkUnreachable();

  /// An estimate of the worker's clock, at most one round trip behind it.
  /// Requires has_answered().
  WorkerTime EstimatedWorkerTime() const;

  /// Whether an answer with this time certainly comes from another incarnation
  /// than the last report: the clock of each begins anew. False if the worker
  /// does not give its start time.
  bool IsFromOtherIncarnation(std::optional<WorkerTime> worker_time) const;

  /// Called when an order was sent that extends the worker's lease to
  /// `expires`.
  void NoteLeaseExpiry(WorkerTime expires);

  /// Whether the worker's lease has certainly expired, so that the worker has
  /// killed all its tasks. Requires has_answered().
  bool HasLeaseExpired() const;

  /// Called when the worker has confirmed an order that extends its lease to
  /// `expires`.
  void ConfirmLease(WorkerTime expires);

  /// Whether the worker's lease certainly runs, so that a worker that lives has
  /// not killed its tasks.
  bool IsLeaseHeld() const;

  /// The incarnation before the one that answers now.
  const EndedIncarnation& ended_incarnation() const;

  /// Polls at once. The answer to an outstanding poll is ignored; the next one
  /// repeats what it held.
  void PollNow();

  /// Highest sequence number of the received ends.
  std::uint64_t last_received_end() const;

  /// Called when the ends up to sequence number `end` are in the store.
  void OnEndsRecorded(std::uint64_t end);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_WORKER_SESSION_H_
