#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lapishatch::routing {
namespace {

using base::Duration;
using base::TimePoint;

constexpr TimePoint kStart{Duration(1'000'000)};

TEST_CASE("the window is halved by slow calls and grows by quick ones") {
  AdaptiveWindow window({});
  base::Random random(1);
  REQUIRE(window.TryStart(kStart));
  window.Finish(true, Duration(900), kStart, random);
  CHECK(window.limit() == 32);
  REQUIRE(window.TryStart(kStart));
  window.Finish(true, Duration(900), kStart + Duration(100), random);
  CHECK(window.limit() == 32);
  for (int i = 0; i < 400; ++i) {
    REQUIRE(window.TryStart(kStart));
    window.Finish(true, Duration(5), kStart + Duration(200), random);
  }
  CHECK(window.limit() > 40);
  CHECK(window.limit() < 50);
}

TEST_CASE("an outage costs one call per pause, and its end finds no crowd") {
  AdaptiveWindow window({});
  base::Random random(1);
  auto now = kStart;
  int calls = 0;
  for (int ms = 0; ms < 60'000; ++ms, now += Duration(1)) {
    if (!window.TryStart(now)) continue;
    ++calls;
    window.Finish(false, Duration(1), now, random);
  }
  CHECK(window.closed());
  CHECK(calls < 40);
  now = window.opens_at();
  REQUIRE(window.TryStart(now));
  CHECK_FALSE(window.TryStart(now));
  window.Finish(true, Duration(5), now, random);
  CHECK_FALSE(window.closed());
  CHECK(window.limit() <= 2);
}

TEST_CASE("second runs are bounded to a share of the successes") {
  RetryBudget budget(0.1, 5);
  int spent = 0;
  for (int i = 0; i < 1'000; ++i) {
    if (i % 2 == 0) budget.OnSuccess();
    if (budget.TrySpend()) ++spent;
  }
  CHECK(spent <= 5 + 50);
  CHECK(spent >= 50);
}

}  // namespace
}  // namespace lapishatch::routing
