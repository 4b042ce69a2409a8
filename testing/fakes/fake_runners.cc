#include "fakes/fake_runners.h"

#include <memory>
#include <utility>

namespace lapishatch::fakes {
namespace {

constexpr int kFailedStatus = 500;

/// Answers once: whichever of the answer and the deadline comes first.
class OneAnswer {
 public:
  OneAnswer(FakeProcess& process,
            std::function<void(backends::RunnerOutcome)> done)
      : process_(process), done_(std::move(done)) {}

  void Give(base::Duration delay, backends::RunnerOutcome outcome) {
    if (given_) return;
    given_ = true;
    process_.After(
        delay, [done = done_, outcome = std::move(outcome)] { done(outcome); });
  }

 private:
  FakeProcess& process_;
  std::function<void(backends::RunnerOutcome)> done_;
  bool given_ = false;
};

}  // namespace

void FakeRunners::Add(const http::Endpoint& endpoint,
                      FakeRunnerOptions options) {
  runners_[endpoint].options = options;
}

void FakeRunners::SetLeaving(const http::Endpoint& endpoint, bool leaving) {
  runners_.at(endpoint).leaving = leaving;
}

void FakeRunners::SetServiceTime(const http::Endpoint& endpoint,
                                 base::Duration time) {
  runners_.at(endpoint).options.service_time = time;
}

int FakeRunners::RunsOf(const std::string& body) const {
  const auto it = runs_of_body_.find(body);
  return it == runs_of_body_.end() ? 0 : it->second;
}

int FakeRunners::RunsOf(const base::RequestId& request) const {
  const auto it = runs_of_request_.find(request);
  return it == runs_of_request_.end() ? 0 : it->second;
}

int FakeRunners::RunsAt(const http::Endpoint& endpoint) const {
  return runners_.at(endpoint).runs;
}

backends::RunnerLoad FakeRunners::LoadOf(const Runner& runner) const {
  return {runner.options.slots, runner.busy,
          static_cast<int>(runner.queue.size()), runner.leaving};
}

void FakeRunners::Run(Runner& runner, const backends::RunnerRequest& request,
                      std::function<void()> finished) {
  runner.queue.push_back({request.id, request.body, std::move(finished)});
  Next(runner);
}

void FakeRunners::Next(Runner& runner) {
  if (runner.queue.empty() || runner.busy >= runner.options.slots) return;
  auto work = std::move(runner.queue.front());
  runner.queue.erase(runner.queue.begin());
  ++runner.busy;
  ++runner.runs;
  ++runs_of_body_[work.body];
  ++runs_of_request_[work.id];
  time_.After(runner.options.service_time,
              [this, &runner, finished = std::move(work.finished)] {
                --runner.busy;
                finished();
                Next(runner);
              });
}

void FakeRunnersView::Send(const http::Endpoint& runner,
                           backends::RunnerRequest request,
                           std::function<void(backends::RunnerOutcome)> done) {
  if (process_.killed()) return;
  const auto answer = std::make_shared<OneAnswer>(process_, std::move(done));
  const auto it = runners_.runners_.find(runner);
  if (cut_ || it == runners_.runners_.end()) {
    answer->Give(base::Duration(1), backends::RunnerNotReached{"cut"});
    return;
  }
  auto& target = it->second;
  const auto latency = target.options.latency;
  auto fault = fault_ ? fault_(runner, request) : RunnerFault::kNone;
  if (fault == RunnerFault::kNone && runners_.send_fault_) {
    fault = runners_.send_fault_(runner, request);
  }
  if (fault == RunnerFault::kNotReached) {
    answer->Give(latency, backends::RunnerNotReached{"connection refused"});
    return;
  }
  if (fault == RunnerFault::kRefused || target.leaving) {
    answer->Give(2 * latency,
                 backends::RunnerRefused{"leaving", runners_.LoadOf(target)});
    return;
  }
  if (fault == RunnerFault::kBreaks) {
    answer->Give(2 * latency,
                 backends::RunnerResponseLost{false, "connection reset"});
    return;
  }
  if (fault == RunnerFault::kFailsFast) {
    ++target.runs;
    ++runners_.runs_of_body_[request.body];
    ++runners_.runs_of_request_[request.id];
    answer->Give(2 * latency,
                 backends::RunnerResponse{kFailedStatus, "text/plain", "failed",
                                          runners_.LoadOf(target)});
    return;
  }
  process_.After(request.deadline, [answer] {
    answer->Give(base::Duration(0),
                 backends::RunnerResponseLost{true, "deadline passed"});
  });
  if (fault == RunnerFault::kLostBefore) return;
  const bool lost = fault == RunnerFault::kLostAfter;
  const auto back =
      fault == RunnerFault::kLate ? request.deadline + latency : latency;
  runners_.time_.After(latency, [this, &target, answer, lost, back,
                                 request = std::move(request)] {
    runners_.Run(target, request,
                 [this, &target, answer, lost, back, body = request.body] {
                   if (lost) return;
                   runners_.time_.After(back, [this, &target, answer, body] {
                     answer->Give(base::Duration(0),
                                  backends::RunnerResponse{
                                      200, "text/plain", "ran " + body,
                                      runners_.LoadOf(target)});
                   });
                 });
  });
}

void FakeRunnersView::Ping(const http::Endpoint& runner, base::Duration timeout,
                           std::function<void(backends::PingResult)> done) {
  const auto it = runners_.runners_.find(runner);
  if (cut_ || it == runners_.runners_.end()) {
    process_.After(timeout, [done = std::move(done)] {
      done(backends::RunnerNotReached{"no answer"});
    });
    return;
  }
  process_.After(2 * it->second.options.latency,
                 [done = std::move(done), load = runners_.LoadOf(it->second)] {
                   done(load);
                 });
}

}  // namespace lapishatch::fakes
