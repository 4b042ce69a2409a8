#include "membership/node.h"

#include <catch2/catch.hpp>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;
using fakes::FakeGroup;

constexpr Duration kSecond{1'000};

/// Answers an OwnerQuery for the cell "c1" as its holder under epoch 7.
void ServeCell(fakes::FakeMember& member) {
  member.node.Serve([](const auto&, wire::Query query, auto reply) {
    const auto* it = std::get_if<wire::OwnerQuery>(&query);
    if (it == nullptr) return reply(wire::Refusal{});
    reply(wire::OwnerAnswer{it->cell, true, false, 7});
  });
}

TEST_CASE("a query is answered by the process that serves it") {
  FakeGroup group(1);
  group.AddMany(4, 2);
  ServeCell(group[1]);
  std::optional<wire::AskResult> result;
  group[0].node.requests().Ask(
      PeerOf(group[1].identity), wire::OwnerQuery{base::CellName("c1"), {}},
      kSecond, [&](auto it) { result = std::move(it); });
  REQUIRE(group.time().RunUntil([&] { return result.has_value(); }, kSecond));
  const auto& answered = std::get<wire::Answered>(*result);
  CHECK(answered.by == group[1].identity);
  CHECK(std::get<wire::OwnerAnswer>(answered.answer).epoch == 7);
}

TEST_CASE("a process that serves nothing says so") {
  FakeGroup group(2);
  group.AddMany(2, 1);
  std::optional<wire::AskResult> result;
  group[0].node.requests().Ask(PeerOf(group[1].identity),
                               wire::ExplainQuery{base::JobName("j")}, kSecond,
                               [&](auto it) { result = std::move(it); });
  REQUIRE(group.time().RunUntil([&] { return result.has_value(); }, kSecond));
  const auto& answer = std::get<wire::Answered>(*result).answer;
  CHECK(std::get<wire::Refusal>(answer).reason ==
        wire::RefusalReason::kNotServed);
}

TEST_CASE("every query ends once, whatever the network does") {
  FakeGroup group(3);
  group.AddMany(4, 2);
  ServeCell(group[1]);
  group.network().faults().loss = 0.2;
  group.network().faults().duplicates = 0.3;
  group.network().faults().most_delay = Duration(800);
  constexpr int kQueries = 2'000;
  std::vector<int> ends(kQueries, 0);
  int answers = 0;
  for (int i = 0; i < kQueries; ++i) {
    const base::CellName cell("c" + std::to_string(i));
    group[0].node.requests().Ask(
        PeerOf(group[1].identity), wire::OwnerQuery{cell, {}}, kSecond,
        [&, i, cell](auto result) {
          ++ends[i];
          const auto* it = std::get_if<wire::Answered>(&result);
          if (it == nullptr) return;
          ++answers;
          CHECK(std::get<wire::OwnerAnswer>(it->answer).cell == cell);
        });
    group.time().RunFor(Duration(2));
  }
  group.time().RunFor(10 * kSecond);
  CHECK(std::count(ends.begin(), ends.end(), 1) == kQueries);
  CHECK(answers > kQueries / 3);
  CHECK(answers < kQueries);
  CHECK(group[0].node.requests().open() == 0);
}

TEST_CASE("open queries are bounded and end when the peer is dead") {
  NodeOptions options;
  options.requests.max_open = 5;
  FakeGroup group(4, options);
  group.AddMany(2, 1);
  group[1].Kill();
  int timed_out = 0;
  int refused = 0;
  for (int i = 0; i < 8; ++i) {
    group[0].node.requests().Ask(
        PeerOf(group[1].identity), wire::OwnerQuery{}, kSecond,
        [&](auto result) {
          const auto failure = std::get<wire::AskError>(result).failure;
          timed_out += failure == wire::AskFailure::kTimedOut ? 1 : 0;
          refused += failure == wire::AskFailure::kTooManyOpen ? 1 : 0;
        });
  }
  group.time().RunFor(2 * kSecond);
  CHECK(timed_out == 5);
  CHECK(refused == 3);
}

TEST_CASE("the view follows the table and names what is unreachable") {
  FakeGroup group(5);
  group.AddMany(6, 2);
  REQUIRE(group.time().RunUntil([&] { return group.Agrees(); }, 10 * kSecond));
  int changes = 0;
  group[0].node.OnChange([&] { ++changes; });
  group[2].Kill();
  group.time().RunFor(15 * kSecond);
  const auto view = group[0].node.view();
  CHECK(view->Find(group[2].identity.name)->state == MemberState::kDead);
  CHECK(view->Find(group[4].identity.name)->state == MemberState::kAlive);
  CHECK(changes == 2);
  group.network().faults().cut = [](const auto& a, const auto& b) {
    return a.domain != b.domain;
  };
  group.time().RunFor(15 * kSecond);
  CHECK_FALSE(group[0].node.view()->IsReachable(base::DomainName("d1")));
  CHECK(group[0].node.view()->IsReachable(base::DomainName("d0")));
}

}  // namespace
}  // namespace lapishatch::membership
