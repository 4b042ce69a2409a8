#include "dispatch/internal/crash_policy.h"

#include <catch2/catch.hpp>

#include "dispatch/internal/crash_history.h"

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;
using base::RackName;
using base::TimePoint;

constexpr TimePoint kNow{Duration(100'000)};

TEST_CASE("only an otherwise unexplained crash raises the suspicion") {
  CHECK(SuspicionOf(WorkerLossReason::kRestarted, false, true) == 2);
  CHECK(SuspicionOf(WorkerLossReason::kRestarted, false, false) == 1);
  CHECK(SuspicionOf(WorkerLossReason::kRestarted, true, true) == 0);
  CHECK(SuspicionOf(WorkerLossReason::kLeaseExpired, false, true) == 0);
  CHECK(SuspicionOf(WorkerLossReason::kUnregistered, false, true) == 0);
}

using Losses = std::vector<jobs::TaskLosses>;

jobs::SilentWorker Silent(const char* name, bool ran_task = true) {
  return {base::WorkerName(name), {"10.0.0.1", 1}, 0, ran_task};
}

/// Decides about all silent workers in the same way.
SilenceEvidence All(LossEvidence evidence) {
  return [evidence](const jobs::SilentWorker&) { return evidence; };
}

TEST_CASE("losses are counted separately for each task of a unit") {
  Losses losses;
  for (int i = 0; i < 3; ++i) AddCrash(losses, i, 1);
  AddCrash(losses, 1, 0);
  const auto has = [&losses](int member, int crashes, int suspicion) {
    const auto it = LossesOf(losses, member);
    return it.member == member && it.crashes == crashes &&
           it.suspicion == suspicion && it.PossibleCrashes() == crashes;
  };
  CHECK(has(0, 1, 1));
  CHECK(has(1, 2, 1));
  CHECK(has(7, 0, 0));
  CHECK(IsSuspect(losses));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
}

TEST_CASE("a task is given up by suspicion or by the number of crashes") {
  Losses losses;
  AddCrash(losses, 0, 2);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddCrash(losses, 0, 1);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);

  losses.clear();
  for (int i = 0; i < 3; ++i) AddCrash(losses, 0, 0);
  CHECK_FALSE(IsSuspect(losses));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddCrash(losses, 0, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);
}

TEST_CASE("a task is not given up for workers that may have survived") {
  Losses losses;
  for (const auto* it : {"w0", "w1", "w2"}) {
    AddSilentWorker(losses, 0, Silent(it));
  }
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddSilentWorker(losses, 0, Silent("w3"));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kDeferred);

  auto survived = losses;
  CHECK(ResolveSilentWorkers(survived, All(LossEvidence::kNone)));
  CHECK(survived.empty());
  CHECK(ResolveSilentWorkers(losses, All(LossEvidence::kCrash)));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);
}

TEST_CASE("a restart waits while one of four workers may have survived") {
  Losses losses;
  for (int i = 0; i < 3; ++i) AddCrash(losses, 0, 0);
  AddSilentWorker(losses, 0, Silent("w3"));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kDeferred);
  ResolveSilentWorkers(losses, All(LossEvidence::kNone));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
}

TEST_CASE("a task is not given up with fewer than two proved crashes") {
  Losses losses;
  for (int i = 0; i < 9; ++i) AddUnprovedCrash(losses, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddCrash(losses, 0, 2);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddCrash(losses, 0, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);
}

TEST_CASE("after three crashes a task is restarted at most twice") {
  Losses losses;
  for (int i = 0; i < 3; ++i) AddCrash(losses, 0, 0);
  CountUnsuccessfulRun(losses, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  CountUnsuccessfulRun(losses, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);
}

TEST_CASE("unsuccessful runs do not count before the third possible crash") {
  Losses losses;
  for (int i = 0; i < 2; ++i) AddCrash(losses, 0, 0);
  for (int i = 0; i < 9; ++i) CountUnsuccessfulRun(losses, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  AddSilentWorker(losses, 0, Silent("w2"));
  for (int i = 0; i < 2; ++i) CountUnsuccessfulRun(losses, 0);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kDeferred);
  ResolveSilentWorkers(losses, All(LossEvidence::kNone));
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kAllowed);
  CHECK(LossesOf(losses, 0).retries == 0);
}

TEST_CASE("the strictest verdict on a task of a gang holds for the gang") {
  Losses losses;
  AddCrash(losses, 0, 0);
  for (const auto* it : {"w0", "w1", "w2", "w3"}) {
    AddSilentWorker(losses, 1, Silent(it));
  }
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kDeferred);
  for (int i = 0; i < 2; ++i) AddCrash(losses, 2, 2);
  CHECK(VerdictOn(losses, {}) == RestartVerdict::kGiveUp);
}

DownWorkers MakeDown(int workers, const char* rack, int fleet_size,
                     int without_suspects) {
  DownWorkers out;
  out.fleet_size = fleet_size;
  out.without_suspects = without_suspects;
  for (int i = 0; i < workers; ++i) {
    const base::JobName job("other" + std::to_string(i));
    out.workers.push_back({RackName(rack), {{job, 0, 0, 0}}});
  }
  return out;
}

TEST_CASE("workers that are down together have a common cause") {
  const CrashPolicyOptions options;
  const jobs::TaskName task{base::JobName("plan"), 0, 0, 0};
  const auto has_common_cause = [&](const DownWorkers& down, const char* rack) {
    return HasCommonCause(down, RackName(rack), task, options);
  };
  CHECK_FALSE(has_common_cause(MakeDown(1, "r0", 48, 48), "r0"));
  CHECK(has_common_cause(MakeDown(2, "r0", 48, 48), "r0"));
  CHECK_FALSE(has_common_cause(MakeDown(2, "r0", 48, 48), "r1"));
  CHECK(has_common_cause(MakeDown(5, "r0", 48, 48), "r1"));
  CHECK_FALSE(has_common_cause(MakeDown(5, "r0", 350, 350), "r1"));
  // Most workers run suspect tasks, and many of the others are down.
  CHECK(has_common_cause(MakeDown(2, "r0", 48, 8), "r1"));
}

TEST_CASE("earlier crashes under a task do not explain its next crash") {
  const jobs::TaskName task{base::JobName("plan"), 0, 0, 0};
  auto down = MakeDown(5, "r0", 48, 48);
  for (auto& it : down.workers) it.tasks.push_back(task);
  CHECK_FALSE(HasCommonCause(down, RackName("r0"), task, {}));
}

TEST_CASE("crashes are recorded by address across worker restarts") {
  CrashHistory history({});
  const http::Endpoint address{"10.0.0.1", 1};
  history.Add(address, false, kNow);
  CHECK(history.LastRecentCrash(address, kNow + Duration(9'999)) == kNow);
  CHECK(history.LastRecentCrash(address, kNow + Duration(10'000)) ==
        base::TimePoint{});
  CHECK(history.LastRecentCrash({"10.0.0.1", 2}, kNow) == base::TimePoint{});
  CHECK_FALSE(history.IsUnreliable(address, kNow));
  history.Add(address, false, kNow + Duration(30'000));
  CHECK(history.IsUnreliable(address, kNow + Duration(60'000)));
  CHECK_FALSE(history.IsUnreliable(address, kNow + Duration(90'000)));
  history.Add(address, false, kNow + Duration(200'000));
  CHECK_FALSE(history.IsUnreliable(address, kNow + Duration(200'000)));
}

TEST_CASE("crashes with a common cause do not make an address unreliable") {
  CrashHistory history({});
  const http::Endpoint address{"10.0.0.1", 1};
  for (int i = 0; i < 3; ++i) history.Add(address, true, kNow);
  CHECK_FALSE(history.IsUnreliable(address, kNow));
  CHECK(history.LastRecentCrash(address, kNow) == kNow);
  history.Add(address, false, kNow);
  CHECK_FALSE(history.IsUnreliable(address, kNow));
  history.Add(address, false, kNow);
  CHECK(history.IsUnreliable(address, kNow));
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
