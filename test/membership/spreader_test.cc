#include "membership/spreader.h"

#include <catch2/catch.hpp>
#include <string>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;
using fakes::FakeGroup;
using fakes::FakeMember;
using fakes::kConfigurationLog;

constexpr Duration kSecond{1'000};

std::unique_ptr<FakeGroup> Settled(std::uint64_t seed, int n, int domains,
                                   NodeOptions options = {}) {
  auto group = std::make_unique<FakeGroup>(seed, std::move(options));
  group->AddMany(n, domains);
  REQUIRE(
      group->time().RunUntil([&] { return group->Agrees(); }, 30 * kSecond));
  return group;
}

std::string EntryOf(wire::LogVersion version) {
  return "change " + std::to_string(version);
}

void Publish(FakeMember& member, wire::LogVersion from, wire::LogVersion to) {
  std::vector<std::string> entries;
  for (auto v = from; v <= to; ++v) entries.push_back(EntryOf(v));
  member.node.spreader().Publish(kConfigurationLog, from, entries);
}

/// Every process has the same log, each entry once and in its place.
void CheckLogs(const FakeGroup& group, wire::LogVersion version) {
  CHECK(group.Violations() == 0);
  for (const auto* it : group.Running()) {
    REQUIRE(it->follower.entries().size() == version);
    for (wire::LogVersion v = 1; v <= version; ++v) {
      REQUIRE(it->follower.entries()[v - 1] == EntryOf(v));
    }
  }
}

TEST_CASE(
    "a change that one process publishes is with all in a tenth of a second") {
  const auto group = Settled(1, 16, 3);
  Publish((*group)[5], 1, 2);
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(2); }, Duration(100)));
  CheckLogs(*group, 2);
}

TEST_CASE(
    "a change that goes to a silent member of a domain goes to the next") {
  const auto group = Settled(30, 16, 3);
  const auto& table = (*group)[0].node.group().table();
  const auto chosen =
      table.Choose(base::DomainName("d1"), kConfigurationLog.str() + "1", 1);
  REQUIRE(chosen.size() == 1);
  for (const auto& it : group->members()) {
    if (it->identity.name == chosen[0]->identity.name) it->Kill();
  }
  Publish((*group)[0], 1, 1);
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(1); }, Duration(300)));
}

TEST_CASE(
    "while a tenth of the messages is lost, changes come in two seconds") {
  for (std::uint64_t seed = 31; seed < 34; ++seed) {
    const auto group = Settled(seed, 52, 13);
    group->network().faults().loss = 0.1;
    for (wire::LogVersion v = 1; v <= 50; ++v) {
      Publish((*group)[v % 52], v, v);
      CHECK(group->time().RunUntil([&] { return group->HaveAll(v); },
                                   2 * kSecond));
    }
  }
}

TEST_CASE("many publishers at once, with loss and doubles: no gap, no return") {
  for (std::uint64_t seed = 2; seed < 7; ++seed) {
    const auto group = Settled(seed, 24, 3);
    group->network().faults().loss = 0.1;
    group->network().faults().duplicates = 0.1;
    group->network().faults().most_delay = Duration(50);
    base::Random random(seed);
    constexpr wire::LogVersion kLast = 300;
    for (wire::LogVersion v = 1; v <= kLast; ++v) {
      // The winner of the race for a version, and a reader of the table.
      auto& winner = (*group)[random() % 24];
      auto& reader = (*group)[random() % 24];
      Publish(winner, v, v);
      group->time().RunFor(Duration(random() % 40));
      Publish(reader, v > 3 ? v - 3 : 1, v);
    }
    CHECK(group->time().RunUntil([&] { return group->HaveAll(kLast); },
                                 20 * kSecond));
    CheckLogs(*group, kLast);
  }
}

TEST_CASE("who has pulled a change early still passes it on in its domain") {
  // Probes carry heads at any moment, so among many changes some are pulled by
  // the one who is to pass them on, before the push comes.
  const auto group = Settled(16, 52, 13);
  for (wire::LogVersion v = 1; v <= 300; ++v) {
    Publish((*group)[v * 31 % 52], v, v);
    CHECK(group->time().RunUntil([&] { return group->HaveAll(v); },
                                 Duration(100)));
    group->time().RunFor(Duration(70));
  }
  CheckLogs(*group, 300);
}

TEST_CASE("what comes after a gap waits for the missing change") {
  const auto group = Settled(7, 4, 1);
  auto& spreader = (*group)[0].node.spreader();
  Publish((*group)[0], 2, 3);
  CHECK(spreader.version(kConfigurationLog) == 0);
  CHECK(spreader.heard(kConfigurationLog) == 3);
  group->time().RunFor(kSecond);
  CHECK((*group)[1].node.spreader().version(kConfigurationLog) == 0);
  Publish((*group)[0], 1, 1);
  CHECK(spreader.version(kConfigurationLog) == 3);
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(3); }, Duration(100)));
  CheckLogs(*group, 3);
}

TEST_CASE("old versions are ignored whatever a lagging read says") {
  const auto group = Settled(8, 4, 1);
  Publish((*group)[0], 1, 5);
  group->time().RunFor(kSecond);
  Publish((*group)[2], 1, 3);
  (*group)[2].node.spreader().SkipTo(kConfigurationLog, 4);
  group->time().RunFor(kSecond);
  CheckLogs(*group, 5);
}

TEST_CASE("a process that starts asks its peers for the whole log") {
  NodeOptions options;
  options.spreader.keep_entries = 10;
  options.spreader.snapshot_chunk_bytes = 100;
  const auto group = Settled(9, 6, 2, options);
  Publish((*group)[0], 1, 40);
  REQUIRE(group->time().RunUntil([&] { return group->HaveAll(40); }, kSecond));
  auto& late = group->Add("late", "d1");
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(40); }, 5 * kSecond));
  CHECK(late.follower.snapshots() == 1);
  CheckLogs(*group, 40);
}

TEST_CASE(
    "a snapshot is begun again when the log moves on or chunks are lost") {
  NodeOptions options;
  options.spreader.keep_entries = 10;
  options.spreader.snapshot_chunk_bytes = 64;
  const auto group = Settled(10, 6, 2, options);
  Publish((*group)[0], 1, 40);
  REQUIRE(group->time().RunUntil([&] { return group->HaveAll(40); }, kSecond));
  group->network().faults().loss = 0.05;
  group->Add("late", "d1");
  for (wire::LogVersion v = 41; v <= 400; ++v) {
    Publish((*group)[1], v, v);
    group->time().RunFor(Duration(10));
  }
  CHECK(group->time().RunUntil([&] { return group->HaveAll(400); },
                               60 * kSecond));
  CheckLogs(*group, 400);
}

TEST_CASE("a domain that was cut off has the newest soon after") {
  const auto group = Settled(11, 16, 3);
  const base::DomainName cut_off("d2");
  group->network().faults().cut = [&](const auto& a, const auto& b) {
    return (a.domain == cut_off) != (b.domain == cut_off);
  };
  group->time().RunFor(60 * kSecond);
  Publish((*group)[0], 1, 100);
  group->time().RunFor(10 * kSecond);
  CHECK((*group)[2].node.spreader().version(kConfigurationLog) == 0);
  CHECK((*group)[1].node.spreader().version(kConfigurationLog) == 100);
  group->network().faults().cut = nullptr;
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(100); }, 7 * kSecond));
  CheckLogs(*group, 100);
}

TEST_CASE("every process is restarted one by one and the log lives on") {
  NodeOptions options;
  options.spreader.keep_entries = 10;
  const auto group = Settled(12, 9, 3, options);
  wire::LogVersion version = 50;
  Publish((*group)[0], 1, version);
  REQUIRE(
      group->time().RunUntil([&] { return group->HaveAll(version); }, kSecond));
  for (int i = 0; i < 9; ++i) {
    const auto identity = (*group)[i].identity;
    (*group)[i].Kill();
    group->Add(identity.name.str(), identity.domain.str());
    ++version;
    Publish((*group)[(i + 1) % 9 + (i == 8 ? 9 : 0)], version, version);
    CHECK(group->time().RunUntil(
        [&] { return group->HaveAll(version) && group->Agrees(); },
        30 * kSecond));
  }
  CheckLogs(*group, version);
}

TEST_CASE("a paused process catches up") {
  const auto group = Settled(13, 16, 3);
  auto& sleeper = (*group)[5];
  Publish((*group)[0], 1, 3);
  sleeper.process.Pause();
  group->time().RunFor(30 * kSecond);
  Publish((*group)[1], 4, 500);
  group->time().RunFor(30 * kSecond);
  sleeper.process.Resume();
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(500); }, 5 * kSecond));
  CheckLogs(*group, 500);
}

TEST_CASE("two hundred processes have each of many changes, in order") {
  const auto group = Settled(14, 200, 13);
  constexpr wire::LogVersion kLast = 60;
  for (wire::LogVersion v = 1; v <= kLast; ++v) {
    Publish((*group)[v * 37 % 200], v, v);
    group->time().RunFor(Duration(200));
  }
  CHECK(group->time().RunUntil([&] { return group->HaveAll(kLast); },
                               5 * kSecond));
  CheckLogs(*group, kLast);
}

TEST_CASE("many large changes travel in messages of bounded size") {
  const auto group = Settled(15, 6, 2);
  const std::vector<std::string> entries(100, std::string(20'000, 'x'));
  (*group)[0].node.spreader().Publish(kConfigurationLog, 1, entries);
  CHECK(
      group->time().RunUntil([&] { return group->HaveAll(100); }, 5 * kSecond));
  CHECK(group->Violations() == 0);
}

}  // namespace
}  // namespace lapishatch::membership
