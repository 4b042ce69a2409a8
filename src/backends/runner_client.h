#ifndef LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_
#define LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/http.h"

namespace lapishatch::backends {

/// What a runner says of itself in each answer.
struct RunnerLoad {
  int slots = 0;
  int busy_slots = 0;
  /// Requests that wait inside the runner for a slot.
  int waiting = 0;
  bool leaving = false;
};

/// A request on its way to one runner.
struct RunnerRequest {
  base::RequestId id;
  base::ServiceName service;
  base::OrganisationName organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  /// Time the caller still has.
  base::Duration deadline{0};
  std::string content_type;
  std::string body;
};

/// The runner ran the work; this is its whole answer, byte for byte.
struct RunnerResponse {
  int status = 200;
  std::string content_type;
  std::string body;
  RunnerLoad load;
};

/// The runner's own word that it did not run the work (no slot, leaving, not
/// its service).
struct RunnerRefused {
  std::string reason;
  RunnerLoad load;
};

/// No byte of the request can have reached the runner.
struct RunnerNotReached {
  std::string detail;
};

/// The request may have run: the answer is lost, late, cut short or belongs to
/// another request.
struct RunnerResponseLost {
  bool timed_out = false;
  std::string detail;
};

using RunnerOutcome = std::variant<RunnerResponse, RunnerRefused,
                                   RunnerNotReached, RunnerResponseLost>;

using PingResult = std::variant<RunnerLoad, RunnerNotReached>;

/// Talks to runners. Every call ends in exactly one callback.
class RunnerClient {
 public:
  virtual ~RunnerClient() = default;

  /// Ends at the latest after the request's deadline.
  virtual void Send(const http::Endpoint& runner, RunnerRequest request,
                    std::function<void(RunnerOutcome)> done) = 0;

  /// Asks for the runner's load on a fresh or idle connection.
  virtual void Ping(const http::Endpoint& runner, base::Duration timeout,
                    std::function<void(PingResult)> done) = 0;
};

/// Runners over HTTP (docs/OUTSIDE.md gives the protocol). `client` must
/// outlive it.
std::unique_ptr<RunnerClient> MakeHttpRunnerClient(http::Client& client);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_CLIENT_H_
