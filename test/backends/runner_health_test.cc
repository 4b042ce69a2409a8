#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "fakes/fakes.h"

namespace lapishatch::backends {
namespace {

using base::Duration;

/// A runner whose pings a test answers or fails.
class ScriptedRunner final : public RunnerClient {
 public:
  explicit ScriptedRunner(fakes::VirtualTime& time) : time_(time) {}

  void Send(const http::Endpoint& /*runner*/, RunnerRequest /*request*/,
            std::function<void(RunnerOutcome)> done) override {
    done(RunnerNotReached{"pings only"});
  }

  void Ping(const http::Endpoint& /*runner*/, Duration timeout,
            std::function<void(PingResult)> done) override {
    ++pings;
    if (!answers) {
      time_.After(timeout, [done] { done(RunnerNotReached{"timeout"}); });
      return;
    }
    time_.After(Duration(1), [done] { done(RunnerLoad{8, 2, 0, false}); });
  }

  bool answers = true;
  int pings = 0;

 private:
  fakes::VirtualTime& time_;
};

struct Watch {
  fakes::VirtualTime time;
  ScriptedRunner runner{time};
  http::Endpoint endpoint{"127.0.0.1", 9};
  RunnerMonitor monitor{time, runner, RunnerHealthOptions{}};
  std::vector<RunnerState> changes;

  Watch() {
    monitor.SetOnChange([this](const http::Endpoint&, RunnerState state) {
      changes.push_back(state);
    });
    monitor.Watch(endpoint);
    time.RunFor(Duration(10));
  }
};

TEST_CASE("a silent connection condemns itself and not the runner") {
  Watch it;
  it.monitor.RecordFailure(it.endpoint);
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kSuspect);
  it.time.RunFor(Duration(10));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
  CHECK(it.changes ==
        std::vector{RunnerState::kSuspect, RunnerState::kHealthy});
}

TEST_CASE("a runner whose fresh connections fail too is condemned in time") {
  Watch it;
  it.runner.answers = false;
  it.monitor.RecordFailure(it.endpoint);
  it.time.RunFor(Duration(599));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kSuspect);
  it.time.RunFor(Duration(1));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kUnreachable);
}

TEST_CASE("a runner that dies while idle is found by pings alone") {
  Watch it;
  it.runner.answers = false;
  CHECK(it.time.RunUntil(
      [&] {
        return it.monitor.state(it.endpoint) == RunnerState::kUnreachable;
      },
      Duration(2'000)));
}

TEST_CASE("a condemned runner comes back with its first answered ping") {
  Watch it;
  it.runner.answers = false;
  it.time.RunFor(Duration(60'000));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kUnreachable);
  it.runner.answers = true;
  // The pause between pings never exceeds the limit of 5 s.
  it.time.RunFor(Duration(5'400));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
}

TEST_CASE("pings of a dead runner become rare") {
  Watch it;
  it.runner.answers = false;
  it.time.RunFor(Duration(60'000));
  const int before = it.runner.pings;
  it.time.RunFor(Duration(60'000));
  CHECK(it.runner.pings - before <= 24);
  CHECK(it.runner.pings - before >= 10);
}

TEST_CASE("a runner that answers requests is not pinged") {
  Watch it;
  const int before = it.runner.pings;
  for (int i = 0; i < 100; ++i) {
    it.monitor.RecordResponse(it.endpoint);
    it.time.RunFor(Duration(500));
  }
  CHECK(it.runner.pings == before);
}

TEST_CASE("a late failed ping does not undo an answer that came meanwhile") {
  RunnerHealth health({}, base::TimePoint(Duration(0)));
  health.RecordPingSent();
  health.RecordResponse(base::TimePoint(Duration(100)));
  health.RecordPingFailure(base::TimePoint(Duration(300)));
  CHECK(health.state() == RunnerState::kHealthy);
}

TEST_CASE("an unwatched runner is neither pinged nor told of") {
  Watch it;
  it.monitor.RecordFailure(it.endpoint);
  it.changes.clear();
  it.monitor.Unwatch(it.endpoint);
  const int before = it.runner.pings;
  it.time.RunFor(Duration(10'000));
  CHECK(it.runner.pings == before);
  CHECK(it.changes.empty());
  CHECK_FALSE(it.monitor.state(it.endpoint).has_value());
}

TEST_CASE("a ping's answer that comes after the watch was renewed is dropped") {
  Watch it;
  it.runner.answers = false;
  it.time.RunFor(Duration(1'050));
  it.monitor.Unwatch(it.endpoint);
  it.monitor.Watch(it.endpoint);
  it.runner.answers = true;
  it.time.RunFor(Duration(5'000));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
  CHECK(it.changes.empty());
}

}  // namespace
}  // namespace lapishatch::backends
