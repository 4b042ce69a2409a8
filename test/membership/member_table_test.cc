#include "membership/member_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::membership {
namespace {

const base::TimePoint kNow{base::Duration(1'000)};

MemberRecord MakeRecord(const std::string& name, const std::string& life,
                        std::uint64_t generation, std::uint64_t refutation,
                        MemberState state) {
  MemberRecord record;
  record.identity.name = ProcessName(name);
  record.identity.domain = base::DomainName(name.size() > 1 ? "mixco" : "z10");
  record.identity.incarnation = base::Incarnation(life);
  record.generation = generation;
  record.refutation = refutation;
  record.state = state;
  return record;
}

MemberRecord AnyRecord(const std::string& name) {
  // A life has one generation unless it outbids another.
  const auto life = *rc::gen::inRange(0, 3);
  return MakeRecord(
      name, "life" + std::to_string(life), life * 10 + *rc::gen::inRange(0, 2),
      *rc::gen::inRange(0, 3),
      *rc::gen::element(MemberState::kAlive, MemberState::kSuspect,
                        MemberState::kDead, MemberState::kLeft));
}

TEST_CASE("of two different records of a process exactly one is newer") {
  CHECK(rc::check([] {
    const auto a = AnyRecord("a");
    const auto b = AnyRecord("a");
    RC_ASSERT(!IsNewer(a, a));
    RC_ASSERT(!(IsNewer(a, b) && IsNewer(b, a)));
    RC_ASSERT(a == b || IsNewer(a, b) || IsNewer(b, a));
  }));
}

/// Every record that AnyRecord can give.
std::vector<MemberRecord> AllRecords() {
  std::vector<MemberRecord> out;
  for (const std::uint64_t life : {0, 1, 2}) {
    for (const std::uint64_t outbid : {0, 1}) {
      for (const std::uint64_t refutation : {0, 1, 2}) {
        for (const auto state : {MemberState::kAlive, MemberState::kSuspect,
                                 MemberState::kDead, MemberState::kLeft}) {
          out.push_back(MakeRecord("a", "life" + std::to_string(life),
                                   life * 10 + outbid, refutation, state));
        }
      }
    }
  }
  return out;
}

TEST_CASE("newer is transitive") {
  const auto records = AllRecords();
  int chains = 0;
  int broken = 0;
  for (const auto& a : records) {
    for (const auto& b : records) {
      if (!IsNewer(a, b)) continue;
      for (const auto& c : records) {
        if (!IsNewer(b, c)) continue;
        ++chains;
        broken += IsNewer(a, c) ? 0 : 1;
      }
    }
  }
  CHECK(broken == 0);
  // Of any three different records, one order is a chain.
  CHECK(chains == 72 * 71 * 70 / (3 * 2));
}

TEST_CASE("records merged in any order, and doubled, give the same table") {
  CHECK(rc::check([](std::uint64_t seed) {
    std::vector<MemberRecord> records;
    MemberTable first;
    MemberTable second;
    for (const std::string name : {"a", "b", "cc", "dd"}) {
      const auto begin = MakeRecord(name, "life0", 0, 0, MemberState::kAlive);
      first.Merge(begin, kNow);
      second.Merge(begin, kNow);
      for (int i = 0; i < 5; ++i) records.push_back(AnyRecord(name));
    }
    for (const auto& it : records) first.Merge(it, kNow);
    const auto again = records;
    records.insert(records.end(), again.begin(), again.end());
    base::Random random(seed);
    std::shuffle(records.begin(), records.end(), random);
    for (const auto& it : records) second.Merge(it, kNow);
    RC_ASSERT(first.hash() == second.hash());
    RC_ASSERT(first.DomainHashes() == second.DomainHashes());
    for (const auto* it : first.All()) {
      RC_ASSERT(*second.Find(it->identity.name) == *it);
    }
  }));
}

TEST_CASE("the hash is that of the present members alone") {
  MemberTable table;
  table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kAlive), kNow);
  const auto before = table.hash();
  table.Merge(MakeRecord("b", "1", 1, 0, MemberState::kAlive), kNow);
  CHECK(table.hash() != before);
  table.Merge(MakeRecord("b", "1", 1, 0, MemberState::kDead), kNow);
  CHECK(table.hash() == before);
  CHECK(table.DomainHashes().size() == 1);
}

TEST_CASE("a stranger's death is no news, and the gone are forgotten in time") {
  MemberTable table;
  CHECK_FALSE(
      table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kDead), kNow));
  table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kAlive), kNow);
  table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kLeft), kNow);
  table.ForgetGone(kNow);
  CHECK(table.Find(ProcessName("a")) != nullptr);
  table.ForgetGone(kNow + base::Duration(1));
  CHECK(table.Find(ProcessName("a")) == nullptr);
}

TEST_CASE("goodbye is final for a life, and a new life is welcome") {
  MemberTable table;
  table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kAlive), kNow);
  table.Merge(MakeRecord("a", "1", 1, 0, MemberState::kLeft), kNow);
  CHECK_FALSE(
      table.Merge(MakeRecord("a", "1", 1, 9, MemberState::kAlive), kNow));
  CHECK(table.Merge(MakeRecord("a", "2", 2, 0, MemberState::kAlive), kNow));
}

TEST_CASE("a member that goes moves only the choices that it had") {
  MemberTable table;
  for (int i = 0; i < 10; ++i) {
    table.Merge(
        MakeRecord("m" + std::to_string(i), "1", 1, 0, MemberState::kAlive),
        kNow);
  }
  const base::DomainName domain("mixco");
  std::map<std::string, ProcessName> before;
  for (int key = 0; key < 200; ++key) {
    const auto text = std::to_string(key);
    before[text] = table.Choose(domain, text, 1)[0]->identity.name;
  }
  const ProcessName gone("m3");
  table.Merge(MakeRecord("m3", "1", 1, 0, MemberState::kDead), kNow);
  int moved = 0;
  for (const auto& [key, name] : before) {
    const auto now = table.Choose(domain, key, 1)[0]->identity.name;
    if (name == gone) {
      ++moved;
      CHECK(now != gone);
    } else {
      CHECK(now == name);
    }
  }
  CHECK(moved > 0);
  CHECK(moved < 60);
}

}  // namespace
}  // namespace lapishatch::membership
