#ifndef LAPISHATCH_DISPATCH_WORKER_CLIENT_H_
#define LAPISHATCH_DISPATCH_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "dispatch/worker_incarnation.h"
#include "http/message.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// Identifies one ownership of a service. Once a worker has accepted an order
/// of an epoch, it refuses every order of a lower one. The epoch is the version
/// of the owner's row when the owner acquired it, so it increases across all
/// owners of all services.
using Epoch = std::uint64_t;

/// Milliseconds on a worker's own steady clock, which may run up to 2% slow.
using WorkerTime = std::int64_t;

/// A worker as it registered itself. After a crash the worker registers under
/// another name, or under the same name with another start time.
struct WorkerRegistration {
  base::WorkerName name;
  WorkerStartTime started_at_ms;
  base::ServiceName service;
  http::Endpoint endpoint;
  base::DomainName domain;
  base::RackName rack;
  std::vector<std::string> labels;
  jobs::Resources capacity;
  /// The worker is about to leave: running tasks may continue for a while, and
  /// no new task starts.
  bool is_draining = false;
  /// Least time until a draining worker leaves, when it wrote this.
  std::optional<base::Duration> remaining_time;
  /// How long before it was read a draining worker may have written this.
  base::Duration max_age{0};

  friend bool operator==(const WorkerRegistration&,
                         const WorkerRegistration&) = default;
};

/// The incarnation of a worker that an order is addressed to.
struct WorkerAddress {
  base::WorkerName name;
  http::Endpoint endpoint;
};

struct StartOrder {
  jobs::TaskName task;
  /// Counts the starts of the task from 1. A worker refuses a run that is not
  /// higher than every run of the task that has ended or was stopped there.
  int run = 0;
  std::string spec;
  /// The worker refuses the order after this time. The order extends the
  /// worker's lease at least until then.
  WorkerTime expires_at = 0;
  Epoch epoch = 0;
  /// The checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
};

enum class RefusalReason : std::uint8_t {
  /// The worker has seen a higher epoch.
  kStaleEpoch,
  /// This run or a later one of the task has ended or was stopped there.
  kStaleRun,
  /// `expires_at` has passed.
  kExpired,
  kInsufficientCapacity,
  kInvalid,
  /// The worker accepts no orders at present.
  kUnhealthy,
};

/// The run exists on the worker, from this order or an earlier copy of it.
struct Started {
  std::optional<WorkerTime> worker_time;
};

/// The worker refused the order and did not carry it out.
struct Refused {
  RefusalReason reason = RefusalReason::kInvalid;
};

/// Another incarnation answers at this address: the addressed one has ended.
struct OtherIncarnation {};

/// No byte of the order was sent.
struct NotSent {
  std::string detail;
};

/// The order may have been carried out, or will be within seconds.
struct NoAnswer {
  std::string detail;
  /// The worker closed the connection while the order was under way, as the end
  /// of its process does.
  bool is_closed = false;
};

using StartResult =
    std::variant<Started, Refused, OtherIncarnation, NotSent, NoAnswer>;

struct StopOrder {
  jobs::TaskName task;
  int run = 0;
  Epoch epoch = 0;
};

/// The worker refuses runs of the task up to this one from now on. A running
/// one ends soon and is then listed as ended.
struct Stopped {};

using StopResult =
    std::variant<Stopped, Refused, OtherIncarnation, NotSent, NoAnswer>;

/// Renews the worker's lease, which covers every task there, and requests a
/// report of its tasks.
struct PollOrder {
  Epoch epoch = 0;
  /// Ends up to this sequence number are in the store; the worker may forget
  /// them.
  std::uint64_t last_recorded_end = 0;
  /// When the worker kills every task unless its lease is renewed. An earlier
  /// time than the present one has no effect; without a value the order does
  /// not renew the lease.
  std::optional<WorkerTime> lease_expires_at;
  /// The worker answers after this time, or earlier when a task ends.
  base::Duration max_wait{0};
};

struct RunningTask {
  jobs::TaskName task;
  int run = 0;
  /// The last checkpoint; empty for none.
  std::string checkpoint;
  int percent = 0;
};

enum class TaskOutcome : std::uint8_t {
  kDone,
  /// The task or the worker failed.
  kFailed,
  kStopped,
  /// The worker's lease expired.
  kLeaseExpired,
  /// Another task of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

struct EndedTask {
  /// Counts the ended tasks of this incarnation of the worker from 1.
  std::uint64_t sequence_number = 0;
  jobs::TaskName task;
  int run = 0;
  TaskOutcome outcome = TaskOutcome::kFailed;
  std::string checkpoint;
};

struct WorkerReport {
  WorkerStartTime started_at_ms;
  WorkerTime worker_time = 0;
  std::vector<RunningTask> running;
  /// The first ends after `last_recorded_end`, in order.
  std::vector<EndedTask> ended;
  /// Whether there may be further ends. If so, nothing follows from the absence
  /// of a task here and in `running`.
  bool may_have_more_ends = false;
};

using PollResult =
    std::variant<WorkerReport, Refused, OtherIncarnation, NotSent, NoAnswer>;

/// Sends orders to workers. Each call invokes its callback exactly once, on the
/// caller's event loop.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  virtual void Start(const WorkerAddress& worker, StartOrder order,
                     base::Duration timeout,
                     std::function<void(StartResult)> done) = 0;

  virtual void Stop(const WorkerAddress& worker, StopOrder order,
                    base::Duration timeout,
                    std::function<void(StopResult)> done) = 0;

  /// `timeout` includes the order's `max_wait`.
  virtual void Poll(const WorkerAddress& worker, PollOrder order,
                    base::Duration timeout,
                    std::function<void(PollResult)> done) = 0;
};

}  // namespace lapishatch::dispatch

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::RefusalReason> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "epoch", "old-run", "late", "no-room", "invalid", "unhealthy"};
};
template <>
struct EnumNames<dispatch::TaskOutcome> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_WORKER_CLIENT_H_
