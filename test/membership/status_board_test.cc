#include "membership/status_board.h"

#include <catch2/catch.hpp>
#include <set>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;
using fakes::FakeGroup;
using fakes::FakeMember;

constexpr Duration kSecond{1'000};

/// member_timeout and twice domain_timeout, and the way.
constexpr Duration kLongest{1'810};

/// Processes that have come to agree, each with a board.
struct World {
  World(std::uint64_t seed, int n, int domains) : group(seed) {
    group.AddMany(n, domains);
    for (const auto& it : group.members()) AddBoard(*it);
    REQUIRE(
        group.time().RunUntil([&] { return group.Agrees(); }, 30 * kSecond));
  }

  void AddBoard(FakeMember& member) {
    boards.push_back(std::make_unique<StatusBoard>(
        member.process, member.node,
        [&member](const std::function<void(wire::ProcessStatus)>& done) {
          wire::ProcessStatus status;
          status.name = member.identity.name;
          status.incarnation = member.identity.incarnation;
          status.logs = {{wire::LogName("config"), 1'000'000, 1'000'000},
                         {wire::LogName("jobs"), 1'000'000, 1'000'000}};
          status.events.assign(8, {703, 1, std::string(120, 'x')});
          done(std::move(status));
        }));
  }

  /// The names of those that the first process hears of.
  std::set<std::string> Ask(Duration* took = nullptr) {
    std::set<std::string> names;
    const auto began = group.time().Now();
    bool is_done = false;
    boards[0]->Ask([&](const ProcessStatuses& found) {
      CHECK_FALSE(is_done);
      is_done = true;
      for (const auto& it : found) names.insert(it.name.str());
      CHECK(names.size() == found.size());
    });
    CHECK(group.time().RunUntil([&] { return is_done; }, kLongest));
    if (took != nullptr) *took = group.time().Now() - began;
    return names;
  }

  std::set<std::string> AllBut(const std::set<std::string>& missing) {
    std::set<std::string> out;
    for (const auto& it : group.members()) {
      const auto name = it->identity.name.str();
      if (!missing.contains(name)) out.insert(name);
    }
    return out;
  }

  FakeGroup group;
  std::vector<std::unique_ptr<StatusBoard>> boards;
};

TEST_CASE("a status has every process, at the speed of the network") {
  World world(1, 16, 3);
  Duration took{0};
  CHECK(world.Ask(&took) == world.AllBut({}));
  CHECK(took < Duration(30));
}

TEST_CASE("whoever is silent is missing, and nobody else") {
  World world(2, 16, 3);
  // Those who gather another domain among them.
  for (std::size_t i = 1; i < 16; ++i) {
    world.group[i].process.Pause();
    const auto name = world.group[i].identity.name.str();
    CHECK(world.Ask() == world.AllBut({name}));
    world.group[i].process.Resume();
    world.group.time().RunFor(10 * kSecond);
  }
}

TEST_CASE("the dead cost no time once they are known") {
  World world(3, 16, 3);
  auto& victim = world.group[4];
  victim.Kill();
  CHECK(world.Ask() == world.AllBut({victim.identity.name.str()}));
  REQUIRE(world.group.time().RunUntil([&] { return world.group.Agrees(); },
                                      20 * kSecond));
  world.group.time().RunFor(3 * kSecond);
  Duration took{0};
  CHECK(world.Ask(&took) == world.AllBut({victim.identity.name.str()}));
  CHECK(took < Duration(30));
}

TEST_CASE("a domain that is cut off is missing, and costs no time later") {
  World world(4, 16, 3);
  const base::DomainName cut_off("d2");
  std::set<std::string> missing;
  for (const auto& it : world.group.members()) {
    if (it->identity.domain == cut_off) missing.insert(it->identity.name.str());
  }
  world.group.network().faults().cut = [&](const auto& a, const auto& b) {
    return (a.domain == cut_off) != (b.domain == cut_off);
  };
  CHECK(world.Ask() == world.AllBut(missing));
  world.group.time().RunFor(20 * kSecond);
  Duration took{0};
  CHECK(world.Ask(&took) == world.AllBut(missing));
  CHECK(took < Duration(30));
  world.group.network().faults().cut = nullptr;
  world.group.time().RunFor(15 * kSecond);
  CHECK(world.Ask() == world.AllBut({}));
}

TEST_CASE("a status of 182 processes costs each of them little, once") {
  World world(5, 182, 13);
  const auto counts = [&](std::size_t i) {
    return world.group.network().counts(world.group[i].identity.incarnation);
  };
  std::vector<wire::TransportCounts> before;
  for (std::size_t i = 0; i < 182; ++i) before.push_back(counts(i));
  int answers = 0;
  for (int i = 0; i < 5; ++i) {
    world.boards[0]->Ask([&](const ProcessStatuses& found) {
      CHECK(found.size() == 182);
      std::size_t events = 0;
      for (const auto& it : found) events += it.events.size();
      CHECK(events == 14 * 8 + 12 * 12);
      ++answers;
    });
  }
  // So short that hardly any probe falls into it.
  world.group.time().RunFor(Duration(20));
  CHECK(answers == 5);
  for (std::size_t i = 0; i < 182; ++i) {
    const auto sent = counts(i).messages_sent - before[i].messages_sent;
    const auto received = counts(i).bytes_received - before[i].bytes_received;
    CHECK(sent <= 40);
    CHECK(received < (i == 0 ? 70'000 : 20'000));
  }
}

}  // namespace
}  // namespace lapishatch::membership
