#include <catch2/catch.hpp>
#include <set>

#include "cell_builder.h"

namespace lapishatch::placement {
namespace {

using base::Duration;
using base::JobName;
using base::WorkerName;

TEST_CASE("a worker that fails different jobs is to blame") {
  FailureLedger ledger;
  const WorkerName bad("bad");
  CHECK(ledger.Failed(JobName("a"), bad, At(0)) == Blame::kNobody);
  CHECK(ledger.Failed(JobName("a"), bad, At(1)) == Blame::kNobody);
  CHECK(ledger.Failed(JobName("b"), bad, At(2)) == Blame::kNobody);
  CHECK(ledger.Failed(JobName("c"), bad, At(3)) == Blame::kWorker);
}

TEST_CASE("a job that fails on different workers is to blame, not they") {
  FailureLedger ledger;
  const JobName bad("bad");
  CHECK(ledger.Failed(bad, WorkerName("a"), At(0)) == Blame::kNobody);
  CHECK(ledger.Failed(bad, WorkerName("b"), At(1)) == Blame::kNobody);
  CHECK(ledger.Failed(bad, WorkerName("c"), At(2)) == Blame::kJob);
  // Its failures count against no worker: two others are not enough.
  CHECK(ledger.Failed(JobName("x"), WorkerName("a"), At(3)) == Blame::kNobody);
  CHECK(ledger.Failed(JobName("y"), WorkerName("a"), At(4)) == Blame::kNobody);
  CHECK(ledger.Failed(JobName("z"), WorkerName("a"), At(5)) == Blame::kWorker);
}

TEST_CASE("bad workers do not condemn the jobs that meet them") {
  FailureLedger ledger;
  for (const std::string worker : {"a", "b", "c"}) {
    for (const std::string job : {"x", "y", "z"}) {
      ledger.Failed(JobName(job + worker), WorkerName(worker), At(0));
    }
  }
  CHECK(ledger.Failed(JobName("s"), WorkerName("a"), At(2)) == Blame::kWorker);
  CHECK(ledger.Failed(JobName("s"), WorkerName("b"), At(3)) == Blame::kWorker);
  CHECK(ledger.Failed(JobName("s"), WorkerName("c"), At(4)) == Blame::kWorker);
}

TEST_CASE("a start that succeeds clears worker and job; time does too") {
  FailureLedger ledger;
  const WorkerName worker("w");
  ledger.Failed(JobName("a"), worker, At(0));
  ledger.Failed(JobName("b"), worker, At(0));
  ledger.Started(JobName("c"), worker);
  CHECK(ledger.size() == 0);
  ledger.Failed(JobName("a"), worker, At(0));
  ledger.Failed(JobName("b"), worker, At(0));
  CHECK(ledger.Failed(JobName("c"), worker, At(3600)) == Blame::kNobody);
  CHECK(ledger.FailedOn(JobName("a")).empty());
}

TEST_CASE("quarantine takes a bounded share of the cell") {
  WorkerQuarantine quarantine({});
  for (int i = 0; i < 2; ++i) {
    CHECK(quarantine.Add(MakeWorker(i).name, 10, At(0)));
  }
  CHECK_FALSE(quarantine.Add(MakeWorker(2).name, 10, At(0)));
  CHECK(quarantine.size() == 2);
  quarantine.Remove(MakeWorker(0).name);
  CHECK(quarantine.Add(MakeWorker(2).name, 10, At(0)));
}

TEST_CASE("quarantine grows each time, with jitter, up to its longest") {
  WorkerQuarantine quarantine({});
  const auto worker = MakeWorker(0).name;
  auto now = At(0);
  std::vector<Duration> spans;
  for (int i = 0; i < 9; ++i) {
    REQUIRE(quarantine.Add(worker, 50, now));
    const auto until = quarantine.NextRelease();
    spans.push_back(until - now);
    CHECK(quarantine.Release(until - Duration(1)).empty());
    now = until;
    REQUIRE(quarantine.Release(now).size() == 1);
    CHECK_FALSE(quarantine.Contains(worker));
  }
  CHECK(spans.front() <= Duration(60'000));
  CHECK(spans[4] > spans[0]);
  CHECK(spans.back() >= Duration(1'800'000));
  CHECK(spans.back() <= Duration(3'600'000));
  // After a long time in good health it starts small again.
  now += Duration(7'200'000);
  quarantine.Release(now);
  REQUIRE(quarantine.Add(worker, 50, now));
  CHECK(quarantine.NextRelease() - now <= Duration(60'000));
}

TEST_CASE("workers that failed together do not come back together") {
  WorkerQuarantine quarantine({});
  for (int i = 0; i < 10; ++i) quarantine.Add(MakeWorker(i).name, 50, At(0));
  std::set<base::TimePoint> releases;
  while (quarantine.size() > 0) {
    releases.insert(quarantine.NextRelease());
    quarantine.Release(quarantine.NextRelease());
  }
  CHECK(releases.size() >= 8);
}

}  // namespace
}  // namespace lapishatch::placement
