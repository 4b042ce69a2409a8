#include "membership/mirror_link.h"

#include <catch2/catch.hpp>
#include <string>

#include "fakes/fakes.h"

namespace lapishatch::membership {
namespace {

using base::Duration;
using config::LogId;

constexpr Duration kSecond{1'000};

/// A member of a group with its mirror of one table.
struct Follower {
  Follower(fakes::FakeMember& its_member, fakes::FakeTable& shared,
           std::uint64_t seed)
      : member(its_member),
        table(shared, member.process),
        link(member.node),
        mirror({.seed = seed}, {member.process, table, &link, nullptr,
                                [this] { return link.Reads(); }}),
        writer({.seed = seed + 1'000},
               {member.process, table, mirror, nullptr, nullptr,
                [] { return std::int64_t{1'000}; }}) {
    link.Connect(mirror);
    mirror.Start();
  }

  config::LogVersion version() const { return mirror.version(LogId::kConfig); }

  fakes::FakeMember& member;
  fakes::FakeTableView table;
  MirrorLink link;
  config::Mirror mirror;
  config::ChangeWriter writer;
};

struct World {
  World(std::uint64_t seed, int n, int domains) : group(seed), table(Time()) {
    group.AddMany(n, domains);
    for (int i = 0; i < n; ++i) Follow(group[i]);
    REQUIRE(Time().RunUntil([&] { return group.Agrees() && AllLoaded(); },
                            30 * kSecond));
  }

  fakes::VirtualTime& Time() { return group.time(); }

  Follower& Follow(fakes::FakeMember& member) {
    followers.push_back(
        std::make_unique<Follower>(member, table, followers.size() + 1));
    return *followers.back();
  }

  /// Has `follower` write `n` organisations, each in a change of its own.
  void Write(Follower& follower, int n) {
    for (int i = 0; i < n; ++i) {
      config::ChangeSet set;
      set.changes.push_back({{config::ResourceKind::kOrganisation,
                              "o" + std::to_string(++written)},
                             config::MustHaveVersion{0},
                             config::PutSpec{config::OrganisationSpec{}}});
      follower.writer.Submit(std::move(set), [this](auto outcome) {
        accepted += std::holds_alternative<config::ChangesAccepted>(outcome);
      });
    }
  }

  bool AllLoaded() const {
    return std::all_of(followers.begin(), followers.end(), [](const auto& it) {
      return it->mirror.IsLoaded(LogId::kConfig) &&
             it->mirror.IsLoaded(LogId::kJobs);
    });
  }

  bool AllAt(config::LogVersion version) const {
    return std::all_of(followers.begin(), followers.end(), [&](const auto& it) {
      return it->version() == version;
    });
  }

  fakes::FakeGroup group;
  fakes::FakeTable table;
  std::vector<std::unique_ptr<Follower>> followers;
  int written = 0;
  int accepted = 0;
};

TEST_CASE(
    "accepted changes are in force everywhere long before the next poll") {
  World world(1, 9, 3);
  for (int round = 1; round <= 10; ++round) {
    world.Write(*world.followers[round % 9], 3);
    REQUIRE(world.Time().RunUntil([&] { return world.accepted == 3 * round; },
                                  5 * kSecond));
    const auto version = static_cast<config::LogVersion>(world.accepted);
    CHECK(world.Time().RunUntil([&] { return world.AllAt(version); },
                                Duration(60)));
  }
}

TEST_CASE("one process of each domain reads the table often") {
  World world(2, 24, 3);
  world.Time().RunFor(20 * kSecond);
  const auto before = world.table.reads();
  world.Time().RunFor(100 * kSecond);
  const auto reads = world.table.reads() - before;
  // 3 readers each second and 21 others each fourth.
  CHECK(reads > 600);
  CHECK(reads < 1'100);
}

TEST_CASE("what another client writes reaches all by the readers") {
  World world(3, 9, 3);
  // A process without peers writes, as one that is cut off from them does.
  fakes::FakeProcess process(world.Time());
  fakes::FakeTableView table(world.table, process);
  config::Mirror mirror({}, {process, table});
  config::ChangeWriter writer({}, {process, table, mirror, nullptr, nullptr,
                                   [] { return std::int64_t{1}; }});
  mirror.Start();
  world.Time().RunFor(kSecond);
  config::ChangeSet set;
  set.changes.push_back({{config::ResourceKind::kOrganisation, "o"},
                         config::MustHaveVersion{0},
                         config::PutSpec{config::OrganisationSpec{}}});
  writer.Submit(std::move(set), [](auto) {});
  CHECK(world.Time().RunUntil([&] { return world.AllAt(1); }, 2 * kSecond));
}

TEST_CASE("a process that starts while the table is out asks its peers") {
  World world(4, 9, 3);
  world.Write(*world.followers[0], 40);
  REQUIRE(world.Time().RunUntil([&] { return world.AllAt(40); }, 5 * kSecond));
  world.table.SetDown(true);
  world.Time().RunFor(5 * kSecond);
  auto& late = world.Follow(world.group.Add("late", "d1"));
  CHECK(world.Time().RunUntil([&] { return late.version() == 40; },
                              10 * kSecond));
  CHECK(
      late.mirror.List(config::ResourceKind::kOrganisation).resources.size() ==
      40);

  // Once the table is back it follows like everybody else.
  world.table.SetDown(false);
  world.Time().RunFor(10 * kSecond);
  world.Write(late, 1);
  CHECK(world.Time().RunUntil([&] { return world.AllAt(41); }, 5 * kSecond));
}

TEST_CASE("a domain cut from peers and table has the newest soon after") {
  World world(5, 9, 3);
  const base::DomainName cut_off("d2");
  world.group.network().faults().cut = [&](const auto& a, const auto& b) {
    return (a.domain == cut_off) != (b.domain == cut_off);
  };
  const auto set_table_cut = [&](bool cut) {
    for (const auto& it : world.followers) {
      if (it->member.identity.domain == cut_off) it->table.SetCut(cut);
    }
  };
  set_table_cut(true);
  world.Time().RunFor(60 * kSecond);
  world.Write(*world.followers[0], 30);
  world.Time().RunFor(10 * kSecond);
  CHECK(world.followers[0]->version() == 30);
  CHECK(world.followers[2]->version() == 0);
  set_table_cut(false);
  world.group.network().faults().cut = nullptr;
  CHECK(world.Time().RunUntil([&] { return world.AllAt(30); }, 7 * kSecond));
}

TEST_CASE("racing writers under loss: one order, the same everywhere") {
  World world(6, 9, 3);
  world.group.network().faults().loss = 0.1;
  world.group.network().faults().duplicates = 0.1;
  for (int round = 0; round < 20; ++round) {
    for (const auto& it : world.followers) world.Write(*it, 1);
    world.Time().RunFor(Duration(300));
  }
  REQUIRE(world.Time().RunUntil([&] { return world.accepted == world.written; },
                                30 * kSecond));
  CHECK(world.Time().RunUntil([&] { return world.AllAt(world.accepted); },
                              10 * kSecond));
  for (const auto& it : world.followers) {
    for (config::LogVersion v = world.accepted - 50; v <= 180; ++v) {
      CHECK(
          it->mirror.EntryAt(LogId::kConfig, v)->resource->ref ==
          world.followers[0]->mirror.EntryAt(LogId::kConfig, v)->resource->ref);
    }
  }
}

}  // namespace
}  // namespace lapishatch::membership
