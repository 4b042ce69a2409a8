#ifndef LAPISHATCH_TESTING_MATRIX_INTERNAL_RUNNER_BREAKS_H_
#define LAPISHATCH_TESTING_MATRIX_INTERNAL_RUNNER_BREAKS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "backends/backends.h"
#include "matrix/world.h"

namespace lapishatch::matrix::internal {

/// A runner client that breaks a rule of its interface when told to, and
/// passes everything on otherwise.
class BrokenRunnerClient final : public backends::RunnerClient {
 public:
  BrokenRunnerClient(backends::RunnerClient& inner, Break broken)
      : inner_(inner), broken_(broken) {}

  void Send(const http::Endpoint& runner, backends::RunnerRequest request,
            std::function<void(backends::RunnerOutcome)> done) override {
    inner_.Send(runner, std::move(request),
                [this, done = std::move(done)](backends::RunnerOutcome it) {
                  done(Changed(std::move(it)));
                });
  }

  void Ping(const http::Endpoint& runner, base::Duration timeout,
            std::function<void(backends::PingResult)> done) override {
    inner_.Ping(runner, timeout, std::move(done));
  }

 private:
  backends::RunnerOutcome Changed(backends::RunnerOutcome outcome) {
    if (broken_ == Break::kLostIsNotReached &&
        std::holds_alternative<backends::RunnerResponseLost>(outcome)) {
      return backends::RunnerNotReached{"broken on purpose"};
    }
    auto* answer = std::get_if<backends::RunnerResponse>(&outcome);
    if (broken_ == Break::kAnswersCrossed && answer != nullptr) {
      std::swap(answer->body, last_body_);
    }
    return outcome;
  }

  backends::RunnerClient& inner_;
  Break broken_;
  std::string last_body_ = "somebody else's answer";
};

}  // namespace lapishatch::matrix::internal

#endif  // LAPISHATCH_TESTING_MATRIX_INTERNAL_RUNNER_BREAKS_H_
