#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using base::Duration;
using fakes::RunnerFault;

/// Teaches the entry how long an answer takes.
void Warm(FakeEntries& all) {
  for (int i = 0; i < 40; ++i) {
    REQUIRE(
        AnswerOf(all.Ask(0, FakeEntries::Idempotent("w" + std::to_string(i)))));
  }
}

RoutedRequest Plan(const std::string& body) {
  auto request = FakeEntries::Idempotent(body);
  request.deadline = Duration(15'000);
  return request;
}

TEST_CASE("requests on connections that go silent are answered in time") {
  FakeEntries all(1, 3);
  Warm(all);
  int sends = 0;
  all.runners.SetSendFault([&](const auto&, const auto&) {
    return ++sends <= 10 ? RunnerFault::kLostBefore : RunnerFault::kNone;
  });
  std::vector<FakeEntries::Caller> callers;
  callers.reserve(10);
  for (int i = 0; i < 10; ++i) {
    callers.push_back(all.Send(0, Plan("p" + std::to_string(i))));
  }
  all.time.RunFor(Duration(5'500));
  for (int i = 0; i < 10; ++i) {
    const auto& caller = callers[static_cast<std::size_t>(i)];
    REQUIRE(caller->has_value());
    REQUIRE(AnswerOf(**caller));
    CHECK(AnswerOf(**caller)->body == "ran p" + std::to_string(i));
  }
  CHECK(sends == 20);
  // What the silent sends bring at their end is nobody's.
  all.time.RunFor(Duration(30'000));
  CHECK(all.entries[0]->path->in_progress() == 0);
}

TEST_CASE("a request that may run only once is never sent to a second runner") {
  FakeEntries all(1, 3);
  Warm(all);
  int sends = 0;
  all.runners.SetSendFault([&](const auto&, const auto&) {
    ++sends;
    return RunnerFault::kLostBefore;
  });
  CHECK(RefusalOf(all.Ask(0, FakeEntries::Keyed("k")))->work ==
        base::WorkDone::kUnknown);
  CHECK(sends == 1);
}

TEST_CASE("of two answers the first is given and the other dropped") {
  FakeEntries all(1, 3);
  Warm(all);
  // The first send takes 7 s; the second begins after 2 s and is answered at
  // once.
  for (int i = 0; i < 3; ++i) {
    all.runners.SetServiceTime(FakeEntries::EndpointOf(i), Duration(7'000));
  }
  const auto slow = all.Send(0, Plan("slow"));
  all.time.RunFor(Duration(10));
  for (int i = 0; i < 3; ++i) {
    all.runners.SetServiceTime(FakeEntries::EndpointOf(i), Duration(20));
  }
  all.time.RunFor(Duration(5'500));
  REQUIRE(slow->has_value());
  CHECK(AnswerOf(**slow)->body == "ran slow");
  CHECK(all.runners.RunsOf("slow") == 2);
  const auto next = all.Ask(0, Plan("next"));
  CHECK(AnswerOf(next)->body == "ran next");
  all.time.RunFor(Duration(30'000));
  CHECK(AnswerOf(**slow)->body == "ran slow");
  CHECK(all.runners.RunsOf("slow") == 2);
  CHECK(all.entries[0]->path->in_progress() == 0);
}

TEST_CASE("a second send that breaks leaves the first its time") {
  FakeEntries all(1, 3);
  Warm(all);
  for (int i = 0; i < 3; ++i) {
    all.runners.SetServiceTime(FakeEntries::EndpointOf(i), Duration(7'000));
  }
  int sends = 0;
  const auto fault = GENERATE(RunnerFault::kBreaks, RunnerFault::kNotReached,
                              RunnerFault::kRefused, RunnerFault::kLostBefore);
  all.runners.SetSendFault([&](const auto&, const auto&) {
    return ++sends == 1 ? RunnerFault::kNone : fault;
  });
  const auto outcome = all.Ask(0, Plan("slow"));
  REQUIRE(AnswerOf(outcome));
  CHECK(AnswerOf(outcome)->body == "ran slow");
  CHECK(sends >= 2);
  CHECK(sends <= 4);
  CHECK(all.runners.RunsOf("slow") == 1);
}

TEST_CASE("silent connections are sent no more often than the budget allows") {
  FakeEntries all(1, 8);
  Warm(all);
  int sends = 0;
  all.runners.SetSendFault([&](const auto&, const auto&) {
    ++sends;
    return RunnerFault::kLostBefore;
  });
  for (int i = 0; i < 40; ++i) all.Send(0, Plan("p" + std::to_string(i)));
  all.time.RunFor(Duration(14'000));
  CHECK(sends > 40);
  CHECK(sends <= 40 + 20);
}

}  // namespace
}  // namespace lapishatch::routing
