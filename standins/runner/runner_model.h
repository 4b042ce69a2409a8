#ifndef LAPISHATCH_STANDINS_RUNNER_RUNNER_MODEL_H_
#define LAPISHATCH_STANDINS_RUNNER_RUNNER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "base/base.h"

namespace lapishatch::standins {

struct RunnerModelOptions {
  std::string name;
  base::ServiceName service;
  int slots = 8;
  /// Requests that may wait for a slot; further ones are refused.
  int max_waiting = 56;
  base::Duration service_time{20};
};

/// What a request's body asks of the stand-in, if it is a JSON object:
/// {"service_ms":20,"status":200,"answer_bytes":100}.
struct RequestBehaviour {
  base::Duration service_time{0};
  int status = 200;
  /// Nothing: the answer repeats the request's body.
  std::optional<std::size_t> answer_bytes;
};

/// Reads a body; whatever is missing or of the wrong type takes the default.
RequestBehaviour BehaviourOfBody(const std::string& body,
                                 base::Duration default_service_time);

/// Names a request inside its runner.
using WorkId = std::uint64_t;

/// The slots of one runner and the requests that wait for one, first come first
/// served. Pure: requests and the time in, ended work out.
class RunnerModel {
 public:
  explicit RunnerModel(RunnerModelOptions options)
      : options_(std::move(options)) {}

  /// Takes a request that runs for `service_time`, now or when a slot is free.
  /// Nothing when it is refused: no room to wait, or leaving.
  std::optional<WorkId> Accept(base::Duration service_time,
                               base::TimePoint now);

  /// Work that has got a slot since the last call, in order.
  std::vector<WorkId> TakeStarted() { return std::exchange(started_, {}); }

  /// Work whose slot is free again, in the order in which it ended.
  std::vector<WorkId> Advance(base::TimePoint now);

  /// When Advance has something to do next, if ever.
  std::optional<base::TimePoint> NextChange() const;

  /// Forgets all work, as a crash does.
  void Clear();

  void SetLeaving(bool leaving) { leaving_ = leaving; }

  backends::RunnerLoad load() const;
  const RunnerModelOptions& options() const { return options_; }

 private:
  struct Waiting {
    WorkId id = 0;
    base::Duration service_time{0};
  };

  void Run(const Waiting& work, base::TimePoint now);

  RunnerModelOptions options_;
  bool leaving_ = false;
  WorkId last_id_ = 0;
  std::multimap<base::TimePoint, WorkId> running_;
  std::deque<Waiting> waiting_;
  std::vector<WorkId> started_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_RUNNER_RUNNER_MODEL_H_
