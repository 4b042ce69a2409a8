#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using base::Duration;
using fakes::RunnerFault;

TEST_CASE("an organisation's limit holds over all entries together") {
  FakeEntries all(2, 5);
  all.directory.organisations[kBertolini].requests_in_progress = 6;
  std::vector<FakeEntries::Caller> callers;
  callers.reserve(10);
  for (int i = 0; i < 10; ++i) {
    callers.push_back(
        all.Send(i % 2, FakeEntries::Idempotent("b" + std::to_string(i))));
  }
  auto other = FakeEntries::Idempotent("other");
  other.organisation = kFianza;
  const auto fianza = all.Send(0, other);
  int refused = 0;
  for (const auto& it : callers) {
    if (!it->has_value()) continue;
    ++refused;
    CHECK(RefusalOf(**it)->reason == Refusal::kOverShare);
    CHECK(RefusalOf(**it)->retry_after >= Duration(1'000));
  }
  CHECK(refused == 4);
  all.time.RunFor(Duration(1'000));
  CHECK(AnswerOf(**fianza));
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("again"))));
}

TEST_CASE("unknown organisations and services are refused") {
  FakeEntries all(1);
  auto request = FakeEntries::Idempotent("x");
  request.organisation = base::OrganisationName("nobody");
  CHECK(RefusalOf(all.Ask(0, request))->reason == Refusal::kNoSuchOrganisation);
  request = FakeEntries::Idempotent("x");
  request.service = base::ServiceName("nothing");
  CHECK(RefusalOf(all.Ask(0, request))->reason == Refusal::kNoSuchService);
}

TEST_CASE("what cannot be met is refused at once, spread over time") {
  FakeEntries all(1, 1, {}, {8, Duration(200), Duration(1)});
  // Fills the slots, and teaches the entry how long an answer takes.
  for (int i = 0; i < 400; ++i) {
    all.Send(0, FakeEntries::Idempotent("w" + std::to_string(i)));
    all.time.RunFor(Duration(5));
  }
  std::set<Duration> retry_after;
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    auto request = FakeEntries::Idempotent("r" + std::to_string(i));
    request.deadline = Duration(700);
    const auto caller = all.Send(0, request);
    all.time.RunFor(Duration(1));
    if (!caller->has_value()) continue;
    ++refused;
    CHECK(RefusalOf(**caller)->work == base::WorkDone::kNotRun);
    retry_after.insert(RefusalOf(**caller)->retry_after);
  }
  CHECK(refused == 30);
  CHECK(retry_after.size() > 20);
}

TEST_CASE("an entry that was full takes requests again when it has room") {
  RequestPathOptions options;
  options.max_in_progress = 2;
  FakeEntries all(1, 1, options);
  std::vector<FakeEntries::Caller> taken;
  taken.reserve(2);
  for (int i = 0; i < 2; ++i) {
    taken.push_back(
        all.Send(0, FakeEntries::Idempotent("t" + std::to_string(i))));
  }
  for (int i = 0; i < 10; ++i) {
    const auto refused =
        all.Send(0, FakeEntries::Idempotent("r" + std::to_string(i)));
    REQUIRE(refused->has_value());
    CHECK(RefusalOf(**refused)->reason == Refusal::kCannotNow);
  }
  all.time.RunFor(Duration(5'000));
  for (const auto& it : taken) CHECK(AnswerOf(**it));
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("after"))));
}

TEST_CASE("refused requests leave the bound on bytes as it is") {
  RequestPathOptions options;
  options.max_in_progress = 2;
  options.max_bytes_in_progress = 10;
  FakeEntries all(1, 1, options);
  all.Send(0, FakeEntries::Idempotent("1234"));
  CHECK(RefusalOf(all.Ask(0, FakeEntries::Idempotent("7 bytes"))));
  all.Send(0, FakeEntries::Idempotent("1234"));
  CHECK(RefusalOf(all.Ask(0, FakeEntries::Idempotent("12345678"))));
  all.time.RunFor(Duration(5'000));
  CHECK(RefusalOf(all.Ask(0, FakeEntries::Idempotent("eleven byte"))));
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("ten bytes."))));
}

TEST_CASE("a request that waits in vain is told before its deadline") {
  FakeEntries all(1, 1, {}, {8, Duration(5'000), Duration(1)});
  for (int i = 0; i < 7; ++i) {
    all.Send(0, FakeEntries::Idempotent("w" + std::to_string(i)));
  }
  auto request = FakeEntries::Idempotent("late");
  request.deadline = Duration(1'000);
  const auto caller = all.Send(0, request);
  all.time.RunFor(Duration(1'000));
  REQUIRE(caller->has_value());
  CHECK(RefusalOf(**caller)->reason == Refusal::kDeadlinePassed);
  CHECK(RefusalOf(**caller)->work == base::WorkDone::kNotRun);
  all.time.RunFor(Duration(20'000));
  CHECK(all.runners.RunsOf("late") == 0);
}

TEST_CASE("an idempotent request is run again elsewhere, once") {
  FakeEntries all(1, 3);
  int sends = 0;
  all.runners.SetSendFault([&](const auto&, const auto&) {
    return ++sends == 1 ? RunnerFault::kFailsFast : RunnerFault::kNone;
  });
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("i")))->status == 200);
  CHECK(all.runners.RunsOf("i") == 2);
  sends = 0;
  CHECK(AnswerOf(all.Ask(0, FakeEntries::Keyed("k")))->status == 500);
  CHECK(all.runners.RunsOf("k") == 1);
}

TEST_CASE("a service that fails everything is not sent much more than asked") {
  FakeEntries all(1, 3);
  all.runners.SetSendFault(
      [](const auto&, const auto&) { return RunnerFault::kFailsFast; });
  for (int i = 0; i < 500; ++i) {
    all.Ask(0, FakeEntries::Idempotent("same"));
  }
  CHECK(all.runners.RunsOf("same") <= 500 + 20);
}

TEST_CASE("every caller gets the whole answer to its own request") {
  FakeEntries all(3, 6);
  base::Random random(7);
  all.runners.SetSendFault([&](const auto&, const auto&) {
    switch (random() % 20) {
      case 0:
        return RunnerFault::kLate;
      case 1:
        return RunnerFault::kRefused;
      case 2:
        return RunnerFault::kNotReached;
      default:
        return RunnerFault::kNone;
    }
  });
  std::vector<FakeEntries::Caller> callers;
  for (int i = 0; i < 3'000; ++i) {
    const auto body = "body-" + std::to_string(i);
    auto request =
        i % 3 == 0 ? FakeEntries::Keyed(body) : FakeEntries::Idempotent(body);
    request.deadline = Duration(2'000);
    callers.push_back(all.Send(i % 3, request));
    all.time.RunFor(Duration(1));
  }
  all.time.RunFor(Duration(10'000));
  int answered = 0;
  for (int i = 0; i < 3'000; ++i) {
    const auto body = "body-" + std::to_string(i);
    const auto& caller = callers[static_cast<std::size_t>(i)];
    REQUIRE(caller->has_value());
    const int runs = all.runners.RunsOf(body);
    REQUIRE(runs <= (i % 3 == 0 ? 1 : 2));
    if (const auto* answer = AnswerOf(**caller)) {
      ++answered;
      REQUIRE(answer->body == "ran " + body);
      continue;
    }
    if (RefusalOf(**caller)->work == base::WorkDone::kNotRun) {
      REQUIRE(runs == 0);
    }
  }
  CHECK(answered > 2'500);
  for (const auto& it : all.entries) CHECK(it->path->in_progress() == 0);
}

TEST_CASE("a leaving runner gets no new work, and its open work ends") {
  FakeEntries all(1, 2);
  for (int i = 0; i < 8; ++i) {
    all.Send(0, FakeEntries::Idempotent("a" + std::to_string(i)));
  }
  all.time.RunFor(Duration(5));
  all.runners.SetLeaving(FakeEntries::EndpointOf(0), true);
  all.time.RunFor(Duration(2'000));
  const int before = all.runners.RunsAt(FakeEntries::EndpointOf(0));
  for (int i = 0; i < 100; ++i) {
    CHECK(AnswerOf(all.Ask(0, FakeEntries::Idempotent("b"))));
  }
  CHECK(all.runners.RunsAt(FakeEntries::EndpointOf(0)) == before);
}

}  // namespace
}  // namespace lapishatch::routing
