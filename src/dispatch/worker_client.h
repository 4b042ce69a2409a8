#ifndef LAPISHATCH_DISPATCH_WORKER_CLIENT_H_
#define LAPISHATCH_DISPATCH_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "http/message.h"
#include "jobs/job.h"

namespace lapishatch::dispatch {

/// Orders of a higher epoch make a worker refuse those of a lower one for good.
/// It is the version of the owner's row when the owner took it, so epochs rise
/// over all owners of all services.
using Epoch = std::uint64_t;

/// Milliseconds on one worker's own steady clock, which may be 2% slow.
using WorkerTime = std::int64_t;

/// A worker as it registered itself. Its name is one life of it: after a crash
/// it has another one.
struct WorkerRegistration {
  base::WorkerName name;
  base::ServiceName service;
  http::Endpoint endpoint;
  base::DomainName domain;
  base::RackName rack;
  std::vector<std::string> labels;
  jobs::Resources capacity;
  /// About to leave: what runs there may go on for a while, nothing new starts.
  bool is_draining = false;
  /// While draining: it stays at least so much longer.
  std::optional<base::Duration> remaining_time;

  friend bool operator==(const WorkerRegistration&,
                         const WorkerRegistration&) = default;
};

/// The life of a worker that an order is meant for.
struct WorkerAddress {
  base::WorkerName name;
  http::Endpoint endpoint;
};

struct StartOrder {
  jobs::TaskName task;
  /// Numbers the task's starts from 1; a worker refuses one that is not higher
  /// than any it has ended or stopped.
  int run = 0;
  std::string spec;
  /// When the worker is to refuse the order as late. Its lease reaches at least
  /// until then.
  WorkerTime expires_at = 0;
  Epoch epoch = 0;
  /// What to go on from; empty for the beginning.
  std::string checkpoint;
};

enum class RefusalReason : std::uint8_t {
  /// The worker has seen a higher epoch.
  kStaleEpoch,
  /// A run as high as this one has ended or was stopped there.
  kStaleRun,
  /// `expires` has passed.
  kExpired,
  kInsufficientCapacity,
  kInvalid,
  /// The worker takes nothing now.
  kUnhealthy,
};

/// The run is there, from this order or an earlier copy of it.
struct Started {};

/// Nothing runs because of this order.
struct Refused {
  RefusalReason reason = RefusalReason::kInvalid;
};

/// Another life is at this address: the one that was meant is over.
struct OtherIncarnation {};

/// No byte of the order was sent.
struct NotSent {
  std::string detail;
};

/// The order may have been carried out, or will be within seconds.
struct NoAnswer {
  std::string detail;
};

using StartResult =
    std::variant<Started, Refused, OtherIncarnation, NotSent, NoAnswer>;

struct StopOrder {
  jobs::TaskName task;
  int run = 0;
  Epoch epoch = 0;
};

/// From now on a run up to this one is refused there; one that runs ends soon
/// and is then listed as ended.
struct Stopped {};

using StopResult =
    std::variant<Stopped, Refused, OtherIncarnation, NotSent, NoAnswer>;

/// Extends the lease of everything on the worker and asks what runs there.
struct PollOrder {
  Epoch epoch = 0;
  /// Ends up to this number are recorded and may be forgotten.
  std::uint64_t last_recorded_end = 0;
  /// When everything on the worker is killed unless told otherwise; never
  /// shortens.
  std::optional<WorkerTime> lease_expires_at;
  /// The worker answers sooner only when a task ends.
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
  /// By its own fault or the worker's.
  kFailed,
  kStopped,
  /// The worker's lease ran out.
  kLeaseExpired,
  /// Another task of the gang ended.
  kGangBroken,
  /// The rest of the gang did not come in time.
  kGangIncomplete,
};

struct EndedTask {
  /// Counts the ends of this life of the worker from 1.
  std::uint64_t sequence_number = 0;
  jobs::TaskName task;
  int run = 0;
  TaskOutcome outcome = TaskOutcome::kFailed;
  std::string checkpoint;
};

struct WorkerReport {
  WorkerTime worker_time = 0;
  std::vector<RunningTask> running;
  /// Those after `last_recorded_end`, in order; perhaps not all at once.
  std::vector<EndedTask> ended;
};

using PollResult =
    std::variant<WorkerReport, Refused, OtherIncarnation, NotSent, NoAnswer>;

/// Speaks to workers. Every call ends in exactly one callback, on the caller's
/// event loop.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  virtual void Start(const WorkerAddress& worker, StartOrder order,
                     base::Duration timeout,
                     std::function<void(StartResult)> done) = 0;

  virtual void Stop(const WorkerAddress& worker, StopOrder order,
                    base::Duration timeout,
                    std::function<void(StopResult)> done) = 0;

  /// `timeout` holds the order's wait.
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
