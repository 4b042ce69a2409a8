#ifndef LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_
#define LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/http.h"

namespace lapishatch::backends {

/// Load that a runner reports in each response.
struct RunnerLoad {
  int slots = 0;
  int busy_slots = 0;
  /// Requests queued in the runner for a slot.
  int waiting = 0;
  bool leaving = false;
};

/// A request to one runner.
struct RunnerRequest {
  base::RequestId id;
  base::ServiceName service;
  base::OrganisationName organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  /// Time left until the caller's deadline.
  base::Duration deadline{0};
  std::string content_type;
  std::string body;
};

/// The runner ran the work. Holds its complete response, byte for byte.
struct RunnerResponse {
  int status = 200;
  std::string content_type;
  std::string body;
  RunnerLoad load;
};

/// The runner reported that it did not run the work: it has no slot, is
/// leaving, or does not serve the service.
struct RunnerRefused {
  std::string reason;
  RunnerLoad load;
};

/// No byte of the request can have reached the runner.
struct RunnerNotReached {
  std::string detail;
};

/// The request may have run: the response is lost, late, truncated or belongs
/// to another request.
struct RunnerResponseLost {
  bool timed_out = false;
  std::string detail;
};

using RunnerOutcome = std::variant<RunnerResponse, RunnerRefused,
                                   RunnerNotReached, RunnerResponseLost>;

using PingResult = std::variant<RunnerLoad, RunnerNotReached>;

/// Client of runners. Every call leads to exactly one callback.
class RunnerClient {
 public:
  virtual ~RunnerClient() = default;

  /// Calls `done` no later than the request's deadline.
  virtual void Send(const http::Endpoint& runner, RunnerRequest request,
                    std::function<void(RunnerOutcome)> done) = 0;

  /// Requests the runner's load over a new or idle connection.
  virtual void Ping(const http::Endpoint& runner, base::Duration timeout,
                    std::function<void(PingResult)> done) = 0;
};

/// Creates a client of runners over HTTP (protocol: docs/OUTSIDE.md). `client`
/// must outlive it.
std::unique_ptr<RunnerClient> MakeHttpRunnerClient(http::Client& client);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_
