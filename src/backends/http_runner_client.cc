#include <utility>

#include "backends/runner_client.h"
#include "backends/runner_codec.h"

namespace lapishatch::backends {
namespace {

RunnerOutcome RunnerOutcomeOf(const base::RequestId& id,
                              http::ClientResult result) {
  if (auto* response = std::get_if<http::Response>(&result)) {
    return DecodeRunnerResponse(id, std::move(*response));
  }
  const auto& error = std::get<http::ClientError>(result);
  if (error.progress == http::Progress::kNothingSent) {
    return RunnerNotReached{error.detail};
  }
  return RunnerResponseLost{error.timed_out, error.detail};
}

PingResult PingResultOf(const http::ClientResult& result) {
  if (const auto* response = std::get_if<http::Response>(&result)) {
    return DecodePingResponse(*response);
  }
  return RunnerNotReached{std::get<http::ClientError>(result).detail};
}

class HttpRunnerClient final : public RunnerClient {
 public:
  explicit HttpRunnerClient(http::Client& client) : client_(client) {}

  void Send(const http::Endpoint& runner, RunnerRequest request,
            std::function<void(RunnerOutcome)> done) override {
    const auto id = request.id;
    const auto deadline = request.deadline;
    client_.Send(
        runner, EncodeRunnerRequest(std::move(request)), deadline,
        [this, runner, id, done = std::move(done)](http::ClientResult result) {
          const auto* error = std::get_if<http::ClientError>(&result);
          if (error != nullptr && error->timed_out) client_.Forget(runner);
          done(RunnerOutcomeOf(id, std::move(result)));
        });
  }

  void Ping(const http::Endpoint& runner, base::Duration timeout,
            std::function<void(PingResult)> done) override {
    http::Request request;
    request.target = kPingPath;
    client_.Send(
        runner, std::move(request), timeout,
        [this, runner, done = std::move(done)](http::ClientResult result) {
          const auto* error = std::get_if<http::ClientError>(&result);
          if (error != nullptr && error->timed_out) client_.Forget(runner);
          done(PingResultOf(result));
        });
  }

 private:
  http::Client& client_;
};

}  // namespace

std::unique_ptr<RunnerClient> MakeHttpRunnerClient(http::Client& client) {
  return std::make_unique<HttpRunnerClient>(client);
}

}  // namespace lapishatch::backends
