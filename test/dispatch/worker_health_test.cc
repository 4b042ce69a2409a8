#include "dispatch/internal/worker_health.h"

#include <catch2/catch.hpp>

namespace lapishatch::dispatch::internal {
namespace {

constexpr std::size_t kFleet = 10;
constexpr base::TimePoint kNow{base::Duration(1'000)};
const base::WorkerName kWorker("w0");

bool Fail(WorkerHealth& conduct, const std::string& job) {
  return conduct.OnEnded(kWorker, base::JobName(job), TaskOutcome::kFailed,
                         kFleet, kNow);
}

TEST_CASE("failures of several jobs in a row put a worker out for a time") {
  WorkerHealth conduct({});
  CHECK_FALSE(Fail(conduct, "a"));
  CHECK_FALSE(Fail(conduct, "b"));
  CHECK(Fail(conduct, "a"));
  CHECK(conduct.IsOut(kWorker));
  conduct.Release(kNow + base::Duration(4'100));
  CHECK_FALSE(conduct.IsOut(kWorker));
}

TEST_CASE("one job that always fails puts no worker out") {
  WorkerHealth conduct({});
  for (int i = 0; i < 10; ++i) CHECK_FALSE(Fail(conduct, "poison"));
}

TEST_CASE("a task that ends well clears a worker's failures") {
  WorkerHealth conduct({});
  Fail(conduct, "a");
  Fail(conduct, "b");
  conduct.OnEnded(kWorker, base::JobName("c"), TaskOutcome::kDone, kFleet,
                  kNow);
  CHECK_FALSE(Fail(conduct, "d"));
  CHECK_FALSE(conduct.IsOut(kWorker));
}

TEST_CASE(
    "one failure makes a worker suspect for a time, or until a good end") {
  WorkerHealth conduct({});
  CHECK_FALSE(conduct.IsSuspect(kWorker, kNow));
  Fail(conduct, "a");
  CHECK(conduct.IsSuspect(kWorker, kNow));
  CHECK(conduct.IsSuspect(kWorker, kNow + base::Duration(7'900)));
  CHECK_FALSE(conduct.IsSuspect(kWorker, kNow + base::Duration(8'000)));
  conduct.OnEnded(kWorker, base::JobName("b"), TaskOutcome::kStopped, kFleet,
                  kNow);
  CHECK(conduct.IsSuspect(kWorker, kNow));
  conduct.OnEnded(kWorker, base::JobName("c"), TaskOutcome::kDone, kFleet,
                  kNow);
  CHECK_FALSE(conduct.IsSuspect(kWorker, kNow));
}

TEST_CASE("no more than a fifth of the workers are out at once") {
  WorkerHealth conduct({});
  int out = 0;
  for (int i = 0; i < static_cast<int>(kFleet); ++i) {
    const base::WorkerName name("w" + std::to_string(i));
    if (conduct.PutOut(name, kFleet, kNow)) ++out;
  }
  CHECK(out == 2);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
