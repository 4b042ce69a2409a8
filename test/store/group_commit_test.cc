#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakes.h"
#include "store/store.h"

namespace lapishatch::store {
namespace {

using base::Duration;
using fakes::VirtualTime;

constexpr Duration kLatency{5};

/// A table in virtual time of which a test scripts the next answers. Its rows
/// have versions; nothing else is kept.
class ScriptedTable final : public Table {
 public:
  explicit ScriptedTable(VirtualTime& time) : time_(time) {}

  void Commit(Transaction transaction,
              std::function<void(CommitResult)> done) override {
    ++commits;
    largest = std::max(largest, transaction.writes.size());
    ++in_flight;
    most_in_flight = std::max(most_in_flight, in_flight);
    time_.After(latency, [this, transaction, done] {
      --in_flight;
      done(Apply(transaction));
    });
  }

  void Read(std::string key, std::function<void(ReadResult)> done) override {
    ++reads;
    time_.After(latency, [this, key, done] {
      if (is_down) return done(ReadFailed{"down"});
      const auto it = rows.find(key);
      if (it == rows.end()) return done(std::optional<Row>());
      done(std::optional<Row>(it->second));
    });
  }

  void Scan(std::string, std::string, std::size_t,
            std::function<void(ScanResult)> done) override {
    time_.After(latency, [done] { done(RowPage{}); });
  }

  CommitResult Apply(const Transaction& transaction) {
    if (is_down) return UnknownOutcome{"down"};
    for (const auto& it : transaction.conditions) {
      const auto row = rows.find(it.key);
      const auto present = row == rows.end() ? kAbsent : row->second.version;
      if (present != it.version) return Conflict{it.key, present};
    }
    Committed out;
    for (const auto& it : transaction.writes) {
      auto& row = rows[it.key];
      row = {it.key, it.value.value_or(""), row.version + 1};
      out.versions.push_back(row.version);
    }
    return out;
  }

  Duration latency = kLatency;
  bool is_down = false;
  std::map<std::string, Row> rows;
  int commits = 0;
  int reads = 0;
  std::size_t in_flight = 0;
  std::size_t most_in_flight = 0;
  std::size_t largest = 0;

 private:
  VirtualTime& time_;
};

/// A transaction that creates the row `key`.
Transaction Insert(const std::string& key) {
  return {{{key, kAbsent}}, {{key, "value of " + key}}};
}

/// How transactions ended.
struct Outcomes {
  int committed = 0;
  int conflicts = 0;
  int not_done = 0;
  int unknown = 0;
  std::vector<std::string> conflict_keys;

  int all() const { return committed + conflicts + not_done + unknown; }

  std::function<void(CommitResult)> Counter() {
    return [this](const CommitResult& result) {
      committed += std::holds_alternative<Committed>(result);
      not_done += std::holds_alternative<NotDone>(result);
      unknown += std::holds_alternative<UnknownOutcome>(result);
      const auto* conflict = std::get_if<Conflict>(&result);
      if (conflict == nullptr) return;
      ++conflicts;
      conflict_keys.push_back(conflict->key);
    };
  }
};

struct Fixture {
  explicit Fixture(GroupCommitOptions options = {})
      : table(inner, time, std::move(options)) {}

  void InsertMany(int n, const std::string& prefix = "k") {
    for (int i = 0; i < n; ++i) {
      table.Commit(Insert(prefix + std::to_string(i)), outcomes.Counter());
    }
  }

  bool RunUntilAnswered(int n) {
    return time.RunUntil([&] { return outcomes.all() == n; }, Duration(60'000));
  }

  VirtualTime time;
  ScriptedTable inner{time};
  GroupCommitTable table;
  Outcomes outcomes;
};

TEST_CASE("a transaction alone is sent at once") {
  Fixture it;
  const auto start = it.time.Now();
  it.InsertMany(1);
  REQUIRE(it.RunUntilAnswered(1));
  CHECK(it.outcomes.committed == 1);
  CHECK(it.time.Now() - start == kLatency);
}

TEST_CASE(
    "transactions that wait together are merged, each with its versions") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  Fixture it(options);
  it.inner.rows["k7"] = {"k7", "old", 4};
  for (int i = 0; i < 41; ++i) {
    const auto key = "k" + std::to_string(i);
    const RowVersion version = i == 7 ? 4 : kAbsent;
    it.table.Commit(
        {{{key, version}}, {{key, "new"}}},
        [&, version](const CommitResult& result) {
          it.outcomes.Counter()(result);
          const auto& committed = std::get<Committed>(result);
          CHECK(committed.versions == std::vector<RowVersion>{version + 1});
        });
  }
  REQUIRE(it.RunUntilAnswered(41));
  CHECK(it.outcomes.committed == 41);
  CHECK(it.inner.commits == 2);
  CHECK(it.table.counts().writes == 2);
}

TEST_CASE("transactions on the same row go one after the other") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  Fixture it(options);
  it.InsertMany(1, "blocker");
  it.table.Commit({{}, {{"a", "1"}}}, it.outcomes.Counter());
  it.table.Commit({{{"a", 1}}, {{"b", "2"}}}, it.outcomes.Counter());
  it.table.Commit({{{"b", 1}}, {{"c", "3"}}}, it.outcomes.Counter());
  it.table.Commit({{}, {{"d", "4"}}}, it.outcomes.Counter());
  REQUIRE(it.RunUntilAnswered(5));
  CHECK(it.outcomes.committed == 5);
  CHECK(it.inner.commits == 4);
}

TEST_CASE("a shared condition merges, and fails all that share it alone") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  Fixture it(options);
  it.inner.rows["epoch"] = {"epoch", "", 8};
  it.InsertMany(1, "blocker");
  for (int i = 0; i < 10; ++i) {
    auto transaction = Insert("k" + std::to_string(i));
    if (i % 2 == 0) transaction.conditions.push_back({"epoch", 7});
    it.table.Commit(std::move(transaction), it.outcomes.Counter());
  }
  REQUIRE(it.RunUntilAnswered(11));
  CHECK(it.outcomes.conflict_keys == std::vector<std::string>(5, "epoch"));
  CHECK(it.outcomes.committed == 6);
  CHECK(it.inner.commits == 3);
}

TEST_CASE("every conflict in a merged write reaches its own caller only") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  Fixture it(options);
  it.InsertMany(1, "blocker");
  std::set<std::string> taken;
  for (int i = 0; i < 30; i += 3) taken.insert("k" + std::to_string(i));
  for (const auto& key : taken) it.inner.rows[key] = {key, "other", 1};
  it.InsertMany(30);
  REQUIRE(it.RunUntilAnswered(31));
  const auto& keys = it.outcomes.conflict_keys;
  CHECK(std::set<std::string>(keys.begin(), keys.end()) == taken);
  CHECK(it.outcomes.conflicts == 10);
  CHECK(it.outcomes.committed == 21);
  // Never more writes than singly.
  CHECK(it.inner.commits <= 31);
}

TEST_CASE("a full queue refuses at once") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  options.max_waiting = 10;
  Fixture it(options);
  const auto start = it.time.Now();
  it.InsertMany(15);
  REQUIRE(it.RunUntilAnswered(4));
  CHECK(it.outcomes.not_done == 4);
  CHECK(it.time.Now() == start);
  REQUIRE(it.RunUntilAnswered(15));
  CHECK(it.outcomes.committed == 11);
}

TEST_CASE("what waits too long for a slow table is not done, and not sent") {
  GroupCommitOptions options;
  options.max_in_flight = 1;
  options.max_wait = Duration(100);
  Fixture it(options);
  it.inner.latency = Duration(400);
  it.InsertMany(3);
  REQUIRE(it.RunUntilAnswered(3));
  CHECK(it.outcomes.committed == 1);
  CHECK(it.outcomes.not_done == 2);
  CHECK(it.inner.commits == 1);
}

TEST_CASE("writes stay within the rate, and the rest merges") {
  GroupCommitOptions options;
  options.writes_per_s = 40;
  options.max_wait = Duration(5'000);
  Fixture it(options);
  constexpr int kPerStep = 10;
  constexpr int kSteps = 200;
  for (int step = 0; step < kSteps; ++step) {
    it.InsertMany(kPerStep, "s" + std::to_string(step) + "-");
    it.time.RunFor(Duration(10));
  }
  REQUIRE(it.RunUntilAnswered(kPerStep * kSteps));
  CHECK(it.outcomes.committed == kPerStep * kSteps);
  // 2 s at 40 writes/s and the first burst.
  CHECK(it.inner.commits <= 2 * 40 + 8);
}

TEST_CASE("a table that is down is left alone but for probes, then eased in") {
  GroupCommitOptions options;
  options.max_in_flight = 4;
  Fixture it(options);
  it.inner.is_down = true;
  for (int i = 0; i < 3; ++i) {
    it.InsertMany(1, "first" + std::to_string(i));
    REQUIRE(it.RunUntilAnswered(i + 1));
  }
  CHECK(it.outcomes.unknown == 3);
  REQUIRE(it.table.is_down());

  const auto start = it.time.Now();
  const auto commits = it.inner.commits;
  it.InsertMany(100, "down");
  REQUIRE(it.RunUntilAnswered(103));
  CHECK(it.time.Now() == start);
  CHECK(it.outcomes.not_done == 100);
  it.time.RunFor(Duration(60'000));
  CHECK(it.inner.commits == commits);
  // 60 s with delays that reach 2.5 to 5 s.
  CHECK(it.inner.reads <= 30);
  CHECK(it.inner.reads >= 12);

  it.inner.is_down = false;
  REQUIRE(
      it.time.RunUntil([&] { return !it.table.is_down(); }, Duration(6'000)));
  it.inner.most_in_flight = 0;
  it.InsertMany(1, "back-a");
  it.InsertMany(1, "back-b");
  REQUIRE(it.RunUntilAnswered(105));
  CHECK(it.inner.most_in_flight == 1);
  CHECK(it.outcomes.committed == 2);
}

TEST_CASE("one failure just after a recovery takes the table for down again") {
  Fixture it;
  it.inner.is_down = true;
  for (int i = 0; i < 3; ++i) {
    it.InsertMany(1, "first" + std::to_string(i));
    REQUIRE(it.RunUntilAnswered(i + 1));
  }
  it.inner.is_down = false;
  REQUIRE(
      it.time.RunUntil([&] { return !it.table.is_down(); }, Duration(6'000)));
  it.inner.is_down = true;
  it.InsertMany(20, "again");
  REQUIRE(it.RunUntilAnswered(23));
  CHECK(it.table.is_down());
  CHECK(it.table.counts().outages == 2);
  // One write was tried; what waited behind it was refused.
  CHECK(it.outcomes.unknown + it.outcomes.not_done == 23);
}

TEST_CASE("reads fail at once while the table is down") {
  Fixture it;
  it.inner.is_down = true;
  for (int i = 0; i < 3; ++i) {
    it.InsertMany(1, "first" + std::to_string(i));
    REQUIRE(it.RunUntilAnswered(i + 1));
  }
  const auto start = it.time.Now();
  bool failed = false;
  it.table.Read("a", [&](const ReadResult& result) {
    failed = std::holds_alternative<ReadFailed>(result);
  });
  REQUIRE(it.time.RunUntil([&] { return failed; }, Duration(1)));
  CHECK(it.time.Now() == start);
}

}  // namespace
}  // namespace lapishatch::store
