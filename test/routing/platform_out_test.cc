#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using base::Duration;

TEST_CASE("idempotent requests go on without the platform") {
  FakeEntries all(1);
  all.entries[0]->table.SetCut(true);
  all.objects.SetDown(true);
  for (int i = 0; i < 200; ++i) {
    all.Send(0, FakeEntries::Keyed("k" + std::to_string(i)));
    CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("i"))));
  }
}

TEST_CASE("without the platform a keyed request is refused, soon at once") {
  FakeEntries all(1);
  all.table.SetDown(true);
  std::vector<FakeEntries::Caller> callers;
  for (int i = 0; i < 2'000; ++i) {
    callers.push_back(all.Send(0, FakeEntries::Keyed("k" + std::to_string(i))));
    all.time.RunFor(Duration(1));
  }
  const auto before = all.time.Now();
  const auto outcome = all.Ask(0, FakeEntries::Keyed("late"));
  CHECK(all.time.Now() - before <= Duration(10));
  CHECK(RefusalOf(outcome)->work == base::WorkDone::kNotRun);
  CHECK(RefusalOf(outcome)->retry_after > Duration(0));
  all.time.RunFor(Duration(1'000));
  for (const auto& it : callers) {
    REQUIRE(it->has_value());
    REQUIRE(RefusalOf(**it)->work == base::WorkDone::kNotRun);
  }
  CHECK(all.entries[0]->path->in_progress() == 0);
}

TEST_CASE(
    "an unanswering platform fills nothing, and its return finds no "
    "crowd") {
  FakeEntries all(1);
  all.entries[0]->table.SetCut(true);
  std::vector<FakeEntries::Caller> callers;
  std::size_t most = 0;
  for (int i = 0; i < 20'000; ++i) {
    auto request = FakeEntries::Keyed("k" + std::to_string(i));
    request.deadline = Duration(3'000);
    callers.push_back(all.Send(0, request));
    all.time.RunFor(Duration(1));
    most = std::max(most, all.entries[0]->path->in_progress());
  }
  CHECK(most <= 64 + 1);
  all.entries[0]->table.SetCut(false);
  const auto commits = all.table.commits();
  all.time.RunFor(Duration(100));
  CHECK(all.table.commits() - commits <= 20);
  all.time.RunFor(Duration(30'000));
  for (const auto& it : callers) {
    REQUIRE(it->has_value());
    REQUIRE(RefusalOf(**it)->work == base::WorkDone::kNotRun);
  }
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k0"))));
}

TEST_CASE("callers that give up before the platform does use nothing up") {
  FakeEntries all(1);
  all.entries[0]->table.SetCut(true);
  for (int i = 0; i < 500; ++i) {
    auto request = FakeEntries::Keyed("k" + std::to_string(i));
    request.deadline = Duration(300);
    all.Send(0, request);
    all.time.RunFor(Duration(10));
  }
  all.entries[0]->table.SetCut(false);
  all.time.RunFor(Duration(30'000));
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k0"))));
}

TEST_CASE("outcomes that cannot be recorded are bounded") {
  RequestPathOptions options;
  options.claims.keeper.max_pending = 10;
  FakeEntries all(1, 5, options, {8, Duration(1'000), Duration(1)});
  std::vector<FakeEntries::Caller> callers;
  callers.reserve(30);
  for (int i = 0; i < 30; ++i) {
    callers.push_back(all.Send(0, FakeEntries::Keyed("k" + std::to_string(i))));
  }
  all.time.RunFor(Duration(500));
  all.table.SetDown(true);
  all.time.RunFor(Duration(5'000));
  for (const auto& it : callers) REQUIRE(AnswerOf(**it));
  const auto refused = all.Ask(0, FakeEntries::Keyed("more"));
  CHECK(RefusalOf(refused)->work == base::WorkDone::kNotRun);
  all.table.SetDown(false);
  all.time.RunFor(Duration(60'000));
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k7"))));
  CHECK(all.runners.RunsOf("k7") == 1);
}

}  // namespace
}  // namespace lapishatch::routing
