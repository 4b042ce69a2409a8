#include <catch2/catch.hpp>
#include <set>

#include "cell_builder.h"

namespace lapishatch::placement {
namespace {

using base::Duration;
using base::JobName;
using base::WorkerName;

TEST_CASE("a worker on which different jobs fail is at fault") {
  StartFailureTracker tracker;
  const WorkerName bad("bad");
  CHECK(tracker.RecordFailure(JobName("a"), bad, At(0)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(JobName("a"), bad, At(1)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(JobName("b"), bad, At(2)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(JobName("c"), bad, At(3)) ==
        FailureCause::kWorker);
}

TEST_CASE("a job that fails on different workers is at fault") {
  StartFailureTracker tracker;
  const JobName bad("bad");
  CHECK(tracker.RecordFailure(bad, WorkerName("a"), At(0)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(bad, WorkerName("b"), At(1)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(bad, WorkerName("c"), At(2)) ==
        FailureCause::kJob);
  // Failures of a job at fault do not count against workers: two other jobs are
  // not enough.
  CHECK(tracker.RecordFailure(JobName("x"), WorkerName("a"), At(3)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(JobName("y"), WorkerName("a"), At(4)) ==
        FailureCause::kUnknown);
  CHECK(tracker.RecordFailure(JobName("z"), WorkerName("a"), At(5)) ==
        FailureCause::kWorker);
}

TEST_CASE("failures on faulty workers do not count against jobs") {
  StartFailureTracker tracker;
  for (const std::string worker : {"a", "b", "c"}) {
    for (const std::string job : {"x", "y", "z"}) {
      tracker.RecordFailure(JobName(job + worker), WorkerName(worker), At(0));
    }
  }
  CHECK(tracker.RecordFailure(JobName("s"), WorkerName("a"), At(2)) ==
        FailureCause::kWorker);
  CHECK(tracker.RecordFailure(JobName("s"), WorkerName("b"), At(3)) ==
        FailureCause::kWorker);
  CHECK(tracker.RecordFailure(JobName("s"), WorkerName("c"), At(4)) ==
        FailureCause::kWorker);
}

TEST_CASE("a successful start or the end of the window discards failures") {
  StartFailureTracker tracker;
  const WorkerName worker("w");
  tracker.RecordFailure(JobName("a"), worker, At(0));
  tracker.RecordFailure(JobName("b"), worker, At(0));
  tracker.RecordStart(JobName("c"), worker);
  CHECK(tracker.size() == 0);
  tracker.RecordFailure(JobName("a"), worker, At(0));
  tracker.RecordFailure(JobName("b"), worker, At(0));
  CHECK(tracker.RecordFailure(JobName("c"), worker, At(3600)) ==
        FailureCause::kUnknown);
  CHECK(tracker.FailedOn(JobName("a")).empty());
}

TEST_CASE("quarantine holds a bounded share of the cell") {
  WorkerQuarantine quarantine({});
  for (int i = 0; i < 2; ++i) {
    CHECK(quarantine.Add(MakeWorker(i).name, 10, At(0)));
  }
  CHECK_FALSE(quarantine.Add(MakeWorker(2).name, 10, At(0)));
  CHECK(quarantine.size() == 2);
  quarantine.Remove(MakeWorker(0).name);
  CHECK(quarantine.Add(MakeWorker(2).name, 10, At(0)));
}

TEST_CASE("quarantine durations grow, with jitter, up to the maximum") {
  WorkerQuarantine quarantine({});
  const auto worker = MakeWorker(0).name;
  auto now = At(0);
  std::vector<Duration> durations;
  for (int i = 0; i < 9; ++i) {
    REQUIRE(quarantine.Add(worker, 50, now));
    const auto until = quarantine.NextRelease();
    durations.push_back(until - now);
    CHECK(quarantine.ReleaseExpired(until - Duration(1)).empty());
    now = until;
    REQUIRE(quarantine.ReleaseExpired(now).size() == 1);
    CHECK_FALSE(quarantine.Contains(worker));
  }
  CHECK(durations.front() <= Duration(60'000));
  CHECK(durations[4] > durations[0]);
  CHECK(durations.back() >= Duration(1'800'000));
  CHECK(durations.back() <= Duration(3'600'000));
  // After a long time out of quarantine the duration is reset.
  now += Duration(7'200'000);
  quarantine.ReleaseExpired(now);
  REQUIRE(quarantine.Add(worker, 50, now));
  CHECK(quarantine.NextRelease() - now <= Duration(60'000));
}

TEST_CASE("workers quarantined together are released at different times") {
  WorkerQuarantine quarantine({});
  for (int i = 0; i < 10; ++i) quarantine.Add(MakeWorker(i).name, 50, At(0));
  std::set<base::TimePoint> releases;
  while (quarantine.size() > 0) {
    releases.insert(quarantine.NextRelease());
    quarantine.ReleaseExpired(quarantine.NextRelease());
  }
  CHECK(releases.size() >= 8);
}

}  // namespace
}  // namespace lapishatch::placement
