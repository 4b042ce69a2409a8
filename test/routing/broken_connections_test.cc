#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using base::Duration;
using fakes::RunnerFault;

constexpr base::TimePoint kStart{Duration(1'000'000)};

/// `n` runners of the own domain.
std::vector<RunnerEntry> Runners(int n) {
  std::vector<RunnerEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back({base::RunnerName(std::to_string(i)),
                       {"10.0.0.1", static_cast<std::uint16_t>(i)},
                       base::DomainName("near"),
                       false});
  }
  return entries;
}

TEST_CASE("a runner that breaks connections at once does not draw requests") {
  const auto fault = GENERATE(RunnerFault::kBreaks, RunnerFault::kNotReached);
  FakeEntries all(1, 3);
  all.runners.SetLeaving(FakeEntries::EndpointOf(0), true);
  int broken = 0;
  all.runners.SetSendFault([&](const auto& runner, const auto&) {
    if (runner != FakeEntries::EndpointOf(1)) return RunnerFault::kNone;
    ++broken;
    return fault;
  });
  for (int burst = 0; burst < 3; ++burst) {
    std::vector<FakeEntries::Caller> callers;
    callers.reserve(20);
    for (int i = 0; i < 20; ++i) {
      callers.push_back(
          all.Send(0, FakeEntries::Idempotent("b" + std::to_string(i))));
    }
    all.time.RunFor(Duration(900));
    for (const auto& it : callers) {
      REQUIRE(it->has_value());
      CHECK(AnswerOf(**it));
    }
  }
  // What was open when the first one broke, and one at each end of a
  // quarantine.
  CHECK(broken <= 7 + 3);
}

TEST_CASE("a request that was lost does not go back to the same runner") {
  FakeEntries all(1, 2, {}, {2, Duration(20), Duration(1)});
  // Teaches the entry how few slots there are.
  all.time.RunFor(Duration(2'000));
  all.runners.SetSendFault([](const auto& runner, const auto&) {
    return runner == FakeEntries::EndpointOf(1) ? RunnerFault::kBreaks
                                                : RunnerFault::kNone;
  });
  // Fills both; what breaks is too little to leave out the second.
  std::vector<FakeEntries::Caller> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.push_back(
        all.Send(0, FakeEntries::Idempotent("b" + std::to_string(i))));
  }
  all.time.RunFor(Duration(900));
  for (const auto& it : callers) {
    REQUIRE(it->has_value());
    CHECK(AnswerOf(**it));
  }
}

TEST_CASE("losses and failed sends in a row leave out a runner of three") {
  RunnerPool pool(base::DomainName("near"), {}, 1);
  pool.Update(Runners(3), kStart);
  const auto fail = [&](RunnerIndex runner, bool lost) {
    pool.OnSent(runner);
    if (lost) return pool.OnLost(runner, kStart);
    pool.OnNotReached(runner, kStart);
  };
  const bool lost = GENERATE(true, false);
  for (int i = 0; i < 5; ++i) fail(0, lost);
  CHECK(pool.IsQuarantined(0, kStart));
  // The others stay, however much fails.
  for (int i = 0; i < 50; ++i) fail(1 + i % 2, lost);
  CHECK_FALSE(pool.IsQuarantined(1, kStart));
  CHECK_FALSE(pool.IsQuarantined(2, kStart));
}

TEST_CASE("with half of the sends failing no runner is blamed for losses") {
  RunnerPoolOptions options;
  options.max_quarantined_share = 1;
  RunnerPool pool(base::DomainName("near"), options, 1);
  pool.Update(Runners(100), kStart);
  for (int round = 0; round < 5; ++round) {
    for (RunnerIndex i = 0; i < 100; ++i) {
      pool.OnSent(i);
      pool.OnLost(i, kStart);
    }
  }
  int quarantined = 0;
  for (RunnerIndex i = 0; i < 100; ++i) {
    quarantined += pool.IsQuarantined(i, kStart) ? 1 : 0;
  }
  CHECK(quarantined == 0);
}

}  // namespace
}  // namespace lapishatch::routing
