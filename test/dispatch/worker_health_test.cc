#include "dispatch/internal/worker_health.h"

#include <catch2/catch.hpp>

namespace lapishatch::dispatch::internal {
namespace {

constexpr std::size_t kFleet = 10;
constexpr base::TimePoint kNow{base::Duration(1'000)};
const base::WorkerName kWorker("w0");

bool Fail(WorkerHealth& health, const std::string& job) {
  return health.OnEnded(kWorker, base::JobName(job), TaskOutcome::kFailed,
                        kFleet, kNow);
}

TEST_CASE(
    "consecutive failures of several jobs quarantine a worker temporarily") {
  WorkerHealth health({});
  CHECK_FALSE(Fail(health, "a"));
  CHECK_FALSE(Fail(health, "b"));
  CHECK(Fail(health, "a"));
  CHECK(health.IsQuarantined(kWorker));
  health.ReleaseExpired(kNow + base::Duration(4'100));
  CHECK_FALSE(health.IsQuarantined(kWorker));
}

TEST_CASE("one job that always fails does not quarantine a worker") {
  WorkerHealth health({});
  for (int i = 0; i < 10; ++i) CHECK_FALSE(Fail(health, "poison"));
}

TEST_CASE("a successful task clears a worker's failures") {
  WorkerHealth health({});
  Fail(health, "a");
  Fail(health, "b");
  health.OnEnded(kWorker, base::JobName("c"), TaskOutcome::kDone, kFleet, kNow);
  CHECK_FALSE(Fail(health, "d"));
  CHECK_FALSE(health.IsQuarantined(kWorker));
}

TEST_CASE("one failure makes a worker suspect for a time or until a success") {
  WorkerHealth health({});
  CHECK_FALSE(health.IsSuspect(kWorker, kNow));
  Fail(health, "a");
  CHECK(health.IsSuspect(kWorker, kNow));
  CHECK(health.IsSuspect(kWorker, kNow + base::Duration(7'900)));
  CHECK_FALSE(health.IsSuspect(kWorker, kNow + base::Duration(8'000)));
  health.OnEnded(kWorker, base::JobName("b"), TaskOutcome::kStopped, kFleet,
                 kNow);
  CHECK(health.IsSuspect(kWorker, kNow));
  health.OnEnded(kWorker, base::JobName("c"), TaskOutcome::kDone, kFleet, kNow);
  CHECK_FALSE(health.IsSuspect(kWorker, kNow));
}

TEST_CASE("at most a fifth of the workers are quarantined at once") {
  WorkerHealth health({});
  int out = 0;
  for (int i = 0; i < static_cast<int>(kFleet); ++i) {
    const base::WorkerName name("w" + std::to_string(i));
    if (health.Quarantine(name, kFleet, kNow)) ++out;
  }
  CHECK(out == 2);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
