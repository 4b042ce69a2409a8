#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "fakes/fakes.h"

namespace lapishatch::backends {
namespace {

using base::Duration;

/// A client of one runner, whose pings succeed or time out as the test selects.
class ScriptedRunnerClient final : public RunnerClient {
 public:
  explicit ScriptedRunnerClient(fakes::VirtualTime& time) : time_(time) {}

  void Send(const http::Endpoint& /*runner*/, RunnerRequest /*request*/,
            std::function<void(RunnerOutcome)> done) override {
    done(RunnerNotReached{"only Ping is supported"});
  }

  void Ping(const http::Endpoint& /*runner*/, Duration timeout,
            std::function<void(PingResult)> done) override {
    ++ping_count;
    if (!responds) {
      time_.After(timeout, [done] { done(RunnerNotReached{"timeout"}); });
      return;
    }
    time_.After(Duration(1), [done] { done(RunnerLoad{8, 2, 0, false}); });
  }

  bool responds = true;
  int ping_count = 0;

 private:
  fakes::VirtualTime& time_;
};

/// A monitor that watches one runner, whose first ping has succeeded.
struct MonitorFixture {
  fakes::VirtualTime time;
  ScriptedRunnerClient client{time};
  http::Endpoint endpoint{"127.0.0.1", 9};
  RunnerMonitor monitor{time, client, RunnerHealthOptions{}};
  std::vector<RunnerState> state_changes;

  MonitorFixture() {
    monitor.SetOnChange([this](const http::Endpoint&, RunnerState state) {
      state_changes.push_back(state);
    });
    monitor.Watch(endpoint);
    time.RunFor(Duration(10));
  }
};

TEST_CASE(
    "a connection timeout makes a runner suspect until its next successful "
    "ping") {
  MonitorFixture it;
  it.monitor.RecordFailure(it.endpoint);
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kSuspect);
  it.time.RunFor(Duration(10));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
  CHECK(it.state_changes ==
        std::vector{RunnerState::kSuspect, RunnerState::kHealthy});
}

TEST_CASE("a suspect runner becomes unreachable after two ping timeouts") {
  MonitorFixture it;
  it.client.responds = false;
  it.monitor.RecordFailure(it.endpoint);
  it.time.RunFor(Duration(599));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kSuspect);
  it.time.RunFor(Duration(1));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kUnreachable);
}

TEST_CASE(
    "a runner that fails while idle is detected by its ping timeouts alone") {
  MonitorFixture it;
  it.client.responds = false;
  CHECK(it.time.RunUntil(
      [&] {
        return it.monitor.state(it.endpoint) == RunnerState::kUnreachable;
      },
      Duration(2'000)));
}

TEST_CASE(
    "an unreachable runner becomes healthy with its first successful ping") {
  MonitorFixture it;
  it.client.responds = false;
  it.time.RunFor(Duration(60'000));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kUnreachable);
  it.client.responds = true;
  // The delay between ping attempts never exceeds the limit of 5 s.
  it.time.RunFor(Duration(5'400));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
}

TEST_CASE("the ping rate of an unreachable runner decreases") {
  MonitorFixture it;
  it.client.responds = false;
  it.time.RunFor(Duration(60'000));
  const int before = it.client.ping_count;
  it.time.RunFor(Duration(60'000));
  CHECK(it.client.ping_count - before <= 24);
  CHECK(it.client.ping_count - before >= 10);
}

TEST_CASE("a runner that responds to requests is not pinged") {
  MonitorFixture it;
  const int before = it.client.ping_count;
  for (int i = 0; i < 100; ++i) {
    it.monitor.RecordResponse(it.endpoint);
    it.time.RunFor(Duration(500));
  }
  CHECK(it.client.ping_count == before);
}

TEST_CASE(
    "a failed ping does not override a response received while it was in "
    "progress") {
  RunnerHealth health({}, base::TimePoint(Duration(0)));
  health.RecordPingSent();
  health.RecordResponse(base::TimePoint(Duration(100)));
  health.RecordPingFailure(base::TimePoint(Duration(300)));
  CHECK(health.state() == RunnerState::kHealthy);
}

TEST_CASE("an unwatched runner is not pinged and its state is not reported") {
  MonitorFixture it;
  it.monitor.RecordFailure(it.endpoint);
  it.state_changes.clear();
  it.monitor.Unwatch(it.endpoint);
  const int before = it.client.ping_count;
  it.time.RunFor(Duration(10'000));
  CHECK(it.client.ping_count == before);
  CHECK(it.state_changes.empty());
  CHECK_FALSE(it.monitor.state(it.endpoint).has_value());
}

TEST_CASE(
    "a ping result is ignored if the runner was unwatched and watched again "
    "meanwhile") {
  MonitorFixture it;
  it.client.responds = false;
  it.time.RunFor(Duration(1'050));
  it.monitor.Unwatch(it.endpoint);
  it.monitor.Watch(it.endpoint);
  it.client.responds = true;
  it.time.RunFor(Duration(5'000));
  CHECK(it.monitor.state(it.endpoint) == RunnerState::kHealthy);
  CHECK(it.state_changes.empty());
}

}  // namespace
}  // namespace lapishatch::backends
