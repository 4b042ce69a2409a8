#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using fakes::RunnerFault;
using fakes::TableFault;

std::optional<Claim> ClaimOf(FakeEntries& all, const std::string& key) {
  const auto row =
      all.table.Peek(ClaimRowKey(kBertolini, base::IdempotencyKey(key)));
  return row ? DecodeClaim(row->value) : std::nullopt;
}

TEST_CASE("the same key gets the same whole answer from any entry") {
  FakeEntries all(2);
  const auto first = all.Ask(0, FakeEntries::Keyed("k"));
  const auto second = all.Ask(1, FakeEntries::Keyed("k"));
  REQUIRE(AnswerOf(first));
  REQUIRE(AnswerOf(second));
  CHECK(*AnswerOf(first) == *AnswerOf(second));
  CHECK(AnswerOf(first)->body == "ran k");
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("the same key with other content is refused as not run") {
  FakeEntries all(2);
  all.Ask(0, FakeEntries::Keyed("k"));
  auto other = FakeEntries::Keyed("k");
  other.body = "something else";
  const auto outcome = all.Ask(1, other);
  REQUIRE(RefusalOf(outcome));
  CHECK(RefusalOf(outcome)->reason == Refusal::kKeyReused);
  CHECK(RefusalOf(outcome)->work == base::WorkDone::kNotRun);
  CHECK(all.runners.RunsOf("something else") == 0);
}

TEST_CASE("keys of different organisations are different keys") {
  FakeEntries all(1);
  auto other = FakeEntries::Keyed("k");
  other.organisation = kFianza;
  other.body = "of fianza";
  all.Ask(0, FakeEntries::Keyed("k"));
  CHECK(AnswerOf(all.Ask(0, other)));
}

TEST_CASE("the same key at several entries at once runs once") {
  FakeEntries all(4);
  std::vector<FakeEntries::Caller> callers;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    callers.push_back(all.Send(i, FakeEntries::Keyed("k")));
  }
  all.time.RunFor(base::Duration(5'000));
  int answered = 0;
  for (const auto& it : callers) {
    REQUIRE(it->has_value());
    if (AnswerOf(**it)) {
      ++answered;
      continue;
    }
    CHECK(RefusalOf(**it)->reason == Refusal::kKeyInProgress);
    CHECK(RefusalOf(**it)->retry_after > base::Duration(0));
  }
  CHECK(answered == 1);
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a claim of a dead entry is unknown for ever") {
  FakeEntries all(2);
  all.Send(0, FakeEntries::Keyed("k"));
  all.time.RunUntil([&] { return all.runners.RunsOf("k") == 1; },
                    base::Duration(1'000));
  all.entries[0]->Kill();
  const auto before = all.Ask(1, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(before)->reason == Refusal::kKeyInProgress);
  all.directory.gone.insert(all.entries[0]->incarnation);
  const auto after = all.Ask(1, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(after)->reason == Refusal::kOutcomeUnknown);
  CHECK(RefusalOf(after)->work == base::WorkDone::kUnknown);
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a claim that outlived its deadline is unknown without a word") {
  FakeEntries all(2);
  all.Send(0, FakeEntries::Keyed("k"));
  all.time.RunUntil([&] { return all.runners.RunsOf("k") == 1; },
                    base::Duration(1'000));
  all.entries[0]->Kill();
  all.time.RunFor(base::Duration(75'000));
  const auto outcome = all.Ask(1, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(outcome)->reason == Refusal::kOutcomeUnknown);
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a claim whose answer was lost is read back, and runs") {
  FakeEntries all(1);
  bool first = true;
  all.table.SetCommitFault([&](const store::Transaction&) {
    return std::exchange(first, false) ? TableFault::kAnswerLost
                                       : TableFault::kNone;
  });
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k"))));
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a claim whose request was lost is written again, and runs") {
  FakeEntries all(1);
  bool first = true;
  all.table.SetCommitFault([&](const store::Transaction&) {
    return std::exchange(first, false) ? TableFault::kRequestLost
                                       : TableFault::kNone;
  });
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k"))));
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE(
    "a claim that may stand after a refusal is cleared, and the next try "
    "runs") {
  FakeEntries all(2);
  all.table.SetCommitFault(
      [](const store::Transaction&) { return TableFault::kAnswerLost; });
  auto request = FakeEntries::Keyed("k");
  request.deadline = base::Duration(1'000);
  const auto outcome = all.Ask(0, request);
  REQUIRE(RefusalOf(outcome));
  CHECK(RefusalOf(outcome)->work == base::WorkDone::kNotRun);
  CHECK(ClaimOf(all, "k")->state == ClaimState::kClaimed);
  all.table.SetCommitFault({});
  all.time.RunFor(base::Duration(20'000));
  CHECK(ClaimOf(all, "k")->state == ClaimState::kReleased);
  CHECK(AnswerOf(all.Ask(1, FakeEntries::Keyed("k"))));
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a refusal of every runner releases the claim") {
  FakeEntries all(2);
  all.runners.SetSendFault(
      [](const auto&, const auto&) { return RunnerFault::kRefused; });
  const auto refused = all.Ask(0, FakeEntries::Keyed("k"));
  REQUIRE(RefusalOf(refused));
  CHECK(RefusalOf(refused)->work == base::WorkDone::kNotRun);
  CHECK(RefusalOf(refused)->retry_after > base::Duration(0));
  all.time.RunFor(base::Duration(100));
  all.runners.SetSendFault({});
  CHECK(AnswerOf(all.Ask(1, FakeEntries::Keyed("k"))));
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a lost request is never sent again, and its key stays unknown") {
  FakeEntries all(2);
  all.runners.SetSendFault(
      [](const auto&, const auto&) { return RunnerFault::kLostBefore; });
  const auto lost = all.Ask(0, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(lost)->work == base::WorkDone::kUnknown);
  all.runners.SetSendFault({});
  all.time.RunFor(base::Duration(100));
  CHECK(ClaimOf(all, "k")->state == ClaimState::kUnknown);
  const auto again = all.Ask(1, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(again)->work == base::WorkDone::kUnknown);
  CHECK(all.runners.RunsOf("k") == 0);
}

TEST_CASE("an answer that cannot be recorded is given, and kept for its key") {
  FakeEntries all(2);
  all.runners.SetSendFault([&](const auto&, const auto&) {
    all.table.SetDown(true);
    return RunnerFault::kNone;
  });
  const auto first = all.Ask(0, FakeEntries::Keyed("k"));
  REQUIRE(AnswerOf(first));
  const auto same_entry = all.Ask(0, FakeEntries::Keyed("k"));
  REQUIRE(AnswerOf(same_entry));
  all.table.SetDown(false);
  all.time.RunFor(base::Duration(20'000));
  const auto other_entry = all.Ask(1, FakeEntries::Keyed("k"));
  REQUIRE(AnswerOf(other_entry));
  CHECK(*AnswerOf(other_entry) == *AnswerOf(first));
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a large outcome goes to the object store and comes back whole") {
  RequestPathOptions options;
  options.claims.keeper.max_inline_bytes = 3;
  FakeEntries all(2, 3, options);
  const auto first = all.Ask(0, FakeEntries::Keyed("k"));
  CHECK(all.objects.objects().size() == 1);
  const auto second = all.Ask(1, FakeEntries::Keyed("k"));
  REQUIRE(AnswerOf(second));
  CHECK(*AnswerOf(first) == *AnswerOf(second));
  all.objects.SetDown(true);
  const auto third = all.Ask(1, FakeEntries::Keyed("k"));
  CHECK(RefusalOf(third)->work == base::WorkDone::kRan);
}

}  // namespace
}  // namespace lapishatch::routing
