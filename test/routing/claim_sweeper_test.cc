#include <catch2/catch.hpp>
#include <string>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using base::Duration;

constexpr std::int64_t kNow = 1'796'000'000'000;
constexpr std::int64_t kHour = 3600L * 1000;

/// Writes a claim of a certain age.
void Put(fakes::FakeTable& table, const std::string& key, ClaimState state,
         std::int64_t age_ms) {
  Claim claim;
  claim.organisation = kBertolini;
  claim.key = base::IdempotencyKey(key);
  claim.attempt = base::AttemptId("a-" + key);
  claim.state = state;
  claim.claimed_at_unix_ms = kNow - age_ms;
  table.Apply({{}, {{ClaimRowKey(kBertolini, claim.key), EncodeClaim(claim)}}});
}

bool IsThere(const fakes::FakeTable& table, const std::string& key) {
  return table.Peek(ClaimRowKey(kBertolini, base::IdempotencyKey(key)))
      .has_value();
}

/// Sweeps for a while with a clock that shows `now`.
void Sweep(fakes::VirtualTime& time, fakes::FakeTable& table,
           std::int64_t now) {
  fakes::FakeProcess process(time);
  fakes::FakeTableView view(table, process);
  ClaimSweeperOptions options;
  options.page = 7;
  const auto sweeper = std::make_shared<ClaimSweeper>(
      process, view, [now] { return now; }, options, 1);
  sweeper->Start();
  time.RunFor(Duration(3600L * 1000));
}

TEST_CASE("old claims are deleted, each state in its time") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  for (int i = 0; i < 40; ++i) {
    const auto n = std::to_string(i);
    Put(table, "new" + n, ClaimState::kClaimed, 0);
    Put(table, "done" + n, ClaimState::kDone, 25 * kHour);
    Put(table, "young" + n, ClaimState::kDone, 23 * kHour);
    Put(table, "open" + n, ClaimState::kClaimed, 25 * kHour);
    Put(table, "released" + n, ClaimState::kReleased, 2 * kHour);
  }
  Sweep(time, table, kNow);
  for (int i = 0; i < 40; ++i) {
    const auto n = std::to_string(i);
    CHECK(IsThere(table, "new" + n));
    CHECK(IsThere(table, "young" + n));
    CHECK(IsThere(table, "open" + n));
  }
  int left = 0;
  for (int i = 0; i < 40; ++i) {
    left += IsThere(table, "done" + std::to_string(i)) ? 1 : 0;
    left += IsThere(table, "released" + std::to_string(i)) ? 1 : 0;
  }
  // Pages without a claim of today's are left for another sweep.
  CHECK(left < 20);
}

TEST_CASE("a clock that runs ahead frees no key") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  for (int i = 0; i < 40; ++i) {
    Put(table, "k" + std::to_string(i), ClaimState::kDone, kHour);
  }
  Sweep(time, table, kNow + 30L * 24 * kHour);
  for (int i = 0; i < 40; ++i) CHECK(IsThere(table, "k" + std::to_string(i)));
}

TEST_CASE("a claim that is finished meanwhile is not deleted") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  Put(table, "new", ClaimState::kClaimed, 0);
  Put(table, "old", ClaimState::kUnknown, 8 * 24 * kHour);
  fakes::FakeProcess process(time);
  fakes::FakeTableView view(table, process);
  view.SetCommitFault([&](const store::Transaction&) {
    Put(table, "old", ClaimState::kDone, 0);
    return fakes::TableFault::kNone;
  });
  const auto sweeper = std::make_shared<ClaimSweeper>(
      process, view, [] { return kNow; }, ClaimSweeperOptions{}, 1);
  sweeper->Start();
  time.RunFor(Duration(600'000));
  CHECK(IsThere(table, "old"));
}

}  // namespace
}  // namespace lapishatch::routing
