#include "dispatch/internal/worker_drain.h"

#include <catch2/catch.hpp>

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

const base::TimePoint kStart{Duration(10'000)};

/// A unit with one member, of a step whose estimate is 4 s.
struct OneTask {
  jobs::Step step;
  StepRun run;
  Unit unit;

  OneTask() {
    step.run_time_estimate = Duration(4'000);
    run.step = &step;
    unit.step_run = &run;
    unit.started_at = kStart;
    unit.members.push_back({base::WorkerName("w")});
  }

  Member& member() { return unit.members.front(); }

  Duration RemainingAfter(int ms) {
    return RemainingWork(unit, member(), kStart + Duration(ms));
  }
};

TEST_CASE("without progress the remaining work is based on the estimate") {
  OneTask it;
  CHECK(it.RemainingAfter(1'000) == Duration(3'000));
  CHECK(it.RemainingAfter(9'000) == Duration(0));
}

TEST_CASE("the rate of progress takes precedence over the estimate") {
  OneTask it;
  it.member().first_percent = 50;
  it.member().first_seen_at = kStart + Duration(500);
  it.member().percent = 60;
  it.member().last_progress_at = kStart + Duration(1'500);
  // Progress is 10% per second: the remaining 40% take 4 s, of which half a
  // second has passed.
  CHECK(it.RemainingAfter(2'000) == Duration(3'500));
}

TEST_CASE("the first progress report scales the estimate") {
  OneTask it;
  it.member().first_percent = 25;
  it.member().first_seen_at = kStart + Duration(800);
  it.member().percent = 25;
  it.member().last_progress_at = it.member().first_seen_at;
  CHECK(it.RemainingAfter(800) == Duration(3'000));
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
