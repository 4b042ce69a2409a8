#include <catch2/catch.hpp>
#include <map>

#include "routing/routing.h"

namespace lapishatch::routing {
namespace {

using base::Duration;
using base::TimePoint;

constexpr TimePoint kStart{Duration(1'000'000)};

/// A pool of `n` runners; even ones in the own domain.
RunnerPool MakePool(int n, RunnerPoolOptions options = {}) {
  RunnerPool pool(base::DomainName("near"), options, 1);
  std::vector<RunnerEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    entries.push_back({base::RunnerName(std::to_string(i)),
                       {"10.0.0.1", static_cast<std::uint16_t>(i)},
                       base::DomainName(i % 2 == 0 ? "near" : "far"),
                       false});
  }
  pool.Update(entries, kStart);
  return pool;
}

int PicksOf(RunnerPool& pool, RunnerIndex runner, TimePoint now) {
  int n = 0;
  for (int i = 0; i < 400; ++i) n += pool.Pick(now, {}) == runner ? 1 : 0;
  return n;
}

TEST_CASE("the own domain goes first, the others when it is full") {
  auto pool = MakePool(4);
  const int room_of_two = 2 * RunnerPoolOptions().max_in_flight;
  for (int i = 0; i < room_of_two; ++i) {
    const auto runner = *pool.Pick(kStart, {});
    CHECK(runner % 2 == 0);
    pool.OnSent(runner);
  }
  const auto runner = *pool.Pick(kStart, {});
  CHECK(runner % 2 == 1);
}

TEST_CASE("reported load of other entries counts against a runner") {
  auto pool = MakePool(1);
  pool.OnPing(0, {8, 8, 2, false}, kStart);
  CHECK_FALSE(pool.Pick(kStart, {}));
  pool.OnPing(0, {8, 3, 0, false}, kStart);
  CHECK(pool.Pick(kStart, {}));
}

TEST_CASE("a leaving runner gets nothing, whoever says so") {
  auto pool = MakePool(1);
  pool.OnPing(0, {8, 0, 0, true}, kStart);
  CHECK_FALSE(pool.Pick(kStart, {}));
  pool.OnPing(0, {8, 0, 0, false}, kStart);
  CHECK(pool.Pick(kStart, {}));
  pool.Update({{base::RunnerName("0"),
                {"10.0.0.1", 0},
                base::DomainName("near"),
                true}},
              kStart);
  CHECK_FALSE(pool.Pick(kStart, {}));
  pool.Update({}, kStart);
  CHECK_FALSE(pool.Pick(kStart, {}));
  CHECK_FALSE(pool.HasRunners());
}

TEST_CASE("a runner that fails everything is quarantined, tried, and again") {
  auto pool = MakePool(8);
  const auto fail = [&](TimePoint now) {
    pool.OnSent(0);
    pool.OnAnswer(0, {8, 0, 0, false}, true, Duration(1), now);
  };
  for (int i = 0; i < 5; ++i) fail(kStart);
  CHECK(pool.IsQuarantined(0, kStart));
  CHECK(PicksOf(pool, 0, kStart) == 0);
  auto now = kStart + Duration(1'001);
  CHECK(PicksOf(pool, 0, now) > 0);
  pool.OnSent(0);
  CHECK(PicksOf(pool, 0, now) == 0);
  pool.OnAnswer(0, {8, 0, 0, false}, true, Duration(1), now);
  CHECK(pool.IsQuarantined(0, now + Duration(999)));
  now += Duration(2'001);
  pool.OnSent(0);
  pool.OnAnswer(0, {8, 0, 0, false}, false, Duration(1), now);
  pool.OnSent(0);
  CHECK(PicksOf(pool, 0, now) > 0);
}

TEST_CASE("a fault of the service empties no more than a part of it") {
  auto pool = MakePool(8);
  for (int round = 0; round < 50; ++round) {
    for (RunnerIndex i = 0; i < 8; ++i) {
      pool.OnSent(i);
      pool.OnAnswer(i, {8, 0, 0, false}, true, Duration(1), kStart);
    }
  }
  int quarantined = 0;
  for (RunnerIndex i = 0; i < 8; ++i) {
    quarantined += pool.IsQuarantined(i, kStart) ? 1 : 0;
  }
  CHECK(quarantined <= 2);
}

TEST_CASE("a slow runner is the last choice for a while") {
  auto pool = MakePool(8);
  for (int round = 0; round < 10; ++round) {
    for (RunnerIndex i = 0; i < 8; ++i) {
      pool.OnSent(i);
      pool.OnAnswer(i, {8, 0, 0, false}, false, Duration(i == 0 ? 500 : 20),
                    kStart);
    }
  }
  pool.Assess(kStart);
  CHECK(pool.IsSlow(0, kStart));
  CHECK(PicksOf(pool, 0, kStart) == 0);
  CHECK(PicksOf(pool, 0, kStart + Duration(5'001)) > 0);
}

TEST_CASE(
    "two failed pings make a runner unreachable, one answered clears it") {
  auto pool = MakePool(2);
  for (int i = 0; i < 2; ++i) {
    REQUIRE_FALSE(pool.TakePingsDue(kStart, false).empty());
    const bool silent = pool.OnPingFailed(0, kStart);
    pool.OnPing(1, {8, 0, 0, false}, kStart);
    CHECK(silent == (i == 1));
  }
  CHECK(PicksOf(pool, 0, kStart) == 0);
  const auto later = kStart + Duration(400);
  CHECK(pool.TakePingsDue(later, false) == std::vector<RunnerIndex>{0});
  pool.OnPing(0, {8, 0, 0, false}, later);
  CHECK(PicksOf(pool, 0, later) > 0);
}

TEST_CASE(
    "a runner that refuses rather than keeps waiting is filled to its "
    "slots only") {
  RunnerPoolOptions options;
  options.max_in_flight = 64;
  auto pool = MakePool(1, options);
  for (int i = 0; i < 9; ++i) pool.OnSent(0);
  pool.OnRefused(0, {8, 8, 0, false}, kStart);
  CHECK_FALSE(pool.Pick(kStart, {}));
  pool.OnAnswer(0, {8, 7, 0, false}, false, Duration(5), kStart);
  CHECK(pool.Pick(kStart, {}));
}

}  // namespace
}  // namespace lapishatch::routing
