#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "config_world.h"

namespace lapishatch::config {
namespace {

using fakes::TableFault;

std::vector<std::string> TextsOf(const std::vector<LogEntryPtr>& entries) {
  std::vector<std::string> out;
  out.reserve(entries.size());
  for (const auto& it : entries) out.push_back(ToText(*it));
  return out;
}

LogVersion VersionOf(const ChangeOutcome& outcome) {
  return std::get<ChangesAccepted>(outcome).changes.front().resource->version;
}

TEST_CASE("a change is accepted, in force and in the table") {
  ConfigWorld world;
  auto& a = world.Add();
  const auto outcome = a.Change(Put(Organisation("bertolini"), 0, Weight(2)));
  REQUIRE(IsAccepted(outcome));
  CHECK(VersionOf(outcome) == 1);
  CHECK(a.mirror.version(LogId::kConfig) == 1);
  REQUIRE(a.mirror.Find(Organisation("bertolini")));
  CHECK(world.table.Peek("resource/organisations/bertolini"));
  CHECK(world.table.Peek("log/entry/config/00000000000000000001"));
  auto& b = world.Add();
  CHECK(world.RunUntil([&] { return b.IsLoaded(); }));
  CHECK(*b.mirror.Find(Organisation("bertolini")) ==
        *a.mirror.Find(Organisation("bertolini")));
}

TEST_CASE("preconditions: new, stale, missing, and what stands there now") {
  ConfigWorld world;
  auto& a = world.Add();
  auto& b = world.Add();
  REQUIRE(IsAccepted(a.Change(Put(Organisation("a"), 0, Weight(1)))));
  CHECK(RefusalOf(b.Change(Put(Organisation("a"), 0, Weight(2)))) ==
        RefusalReason::kExists);
  const auto stale = b.Change(Put(Organisation("a"), 7, Weight(2)));
  CHECK(RefusalOf(stale) == RefusalReason::kStale);
  CHECK(std::get<ChangesRefused>(stale).present->version == 1);
  CHECK(IsAccepted(b.Change(Put(Organisation("a"), 1, Weight(2)))));
  CHECK(RefusalOf(a.Change(Delete(Organisation("b"), 3))) ==
        RefusalReason::kMissing);
  CHECK(IsAccepted(a.Change(Delete(Organisation("a"), 2))));
  CHECK(world.RunUntil(
      [&] { return b.mirror.Find(Organisation("a")) == nullptr; }));
  // A name used again goes on with the log's versions: they never repeat.
  CHECK(VersionOf(b.Change(Put(Organisation("a"), 0, Weight(1)))) == 4);
}

TEST_CASE("an apply is all or nothing, and a dry run changes nothing") {
  ConfigWorld world;
  auto& a = world.Add();
  ChangeSet set;
  for (const auto* name : {"a", "b", "c"}) {
    set.changes.push_back(
        {Organisation(name), MustBeNewOrSame{}, PutSpec{Weight(1)}});
  }
  set.changes.push_back({Job("j"), MustBeNewOrSame{}, PutSpec{JobOf("c")}});
  auto bad = set;
  bad.changes.push_back(
      {Organisation("d"), MustHaveVersion{9}, PutSpec{Weight(1)}});
  const auto refused = a.Change(bad);
  REQUIRE(RefusalOf(refused) == RefusalReason::kStale);
  CHECK(std::get<ChangesRefused>(refused).index == 4);
  CHECK(a.mirror.version(LogId::kConfig) == 0);

  auto dry = set;
  dry.dry_run = true;
  const auto tried = a.Change(dry);
  REQUIRE(IsAccepted(tried));
  CHECK(std::get<ChangesAccepted>(tried).changes.front().effect ==
        ChangeEffect::kCreated);
  CHECK(a.mirror.List(ResourceKind::kOrganisation).resources.empty());
  CHECK(world.table.PeekPage("resource/", "", 10).rows.empty());

  REQUIRE(IsAccepted(a.Change(set)));
  CHECK(a.mirror.version(LogId::kConfig) == 3);
  CHECK(a.mirror.version(LogId::kJobs) == 1);
  const auto again = a.Change(set);
  REQUIRE(IsAccepted(again));
  CHECK(std::get<ChangesAccepted>(again).changes[3].effect ==
        ChangeEffect::kUnchanged);
  CHECK(a.mirror.version(LogId::kConfig) == 3);
}

TEST_CASE("no mirror shows a part of an apply") {
  ConfigWorld world;
  world.peers_talk = true;
  auto& a = world.Add();
  auto& b = world.Add();
  std::set<std::size_t> seen;
  b.mirror.Listen([&](LogId, const std::vector<LogEntryPtr>&) {
    seen.insert(b.mirror.List(ResourceKind::kOrganisation).resources.size());
  });
  ChangeSet set;
  for (int i = 0; i < 20; ++i) {
    set.changes.push_back({Organisation("o" + std::to_string(i)),
                           MustBeNewOrSame{}, PutSpec{Weight(1)}});
  }
  REQUIRE(IsAccepted(a.Change(set)));
  // Peers may cut an apply in two on the way.
  const auto texts = a.mirror.EntriesFrom(LogId::kConfig, 1, 100);
  REQUIRE(texts);
  auto& c = world.Add();
  REQUIRE(world.RunUntil([&] { return b.history[0].size() == 20; }));
  CHECK(seen.size() <= 2);
  CHECK((seen.contains(20) && !seen.contains(7)));
  LogReplica replica(LogId::kConfig, 100);
  const auto all = TextsOf(a.history[0]);
  std::vector<LogEntryPtr> half(a.history[0].begin(), a.history[0].begin() + 7);
  CHECK(replica.Take(half).entries.empty());
  CHECK(replica.version() == 0);
  CHECK(replica.Take(a.history[0]).entries.size() == 20);
  CHECK(replica.version() == 20);
  (void)c;
}

TEST_CASE("references: a job needs its organisation, which then stays") {
  ConfigWorld world;
  auto& a = world.Add();
  CHECK(RefusalOf(a.Change(Put(Job("j"), 0, JobOf("a")))) ==
        RefusalReason::kInvalid);
  REQUIRE(IsAccepted(a.Change(Put(Organisation("a"), 0, Weight(1)))));
  REQUIRE(IsAccepted(a.Change(Put(Job("j"), 0, JobOf("a")))));
  CHECK(RefusalOf(a.Change(Delete(Organisation("a"), 1))) ==
        RefusalReason::kInUse);
  const auto cancelled = a.Change(Delete(Job("j"), 1));
  REQUIRE(IsAccepted(cancelled));
  CHECK(std::get<ChangesAccepted>(cancelled).changes.front().effect ==
        ChangeEffect::kCancelRequested);
  CHECK(a.mirror.Find(Job("j"))->cancel_requested);
}

TEST_CASE("a job and the end of its organisation never both win") {
  // Two logs: each change rests on the head of the other's.
  for (int i = 0; i < 20; ++i) {
    ConfigWorld world;
    auto& a = world.Add();
    auto& b = world.Add();
    REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
    REQUIRE(world.RunUntil(
        [&] { return b.mirror.Find(Organisation("o")) != nullptr; }));
    std::optional<ChangeOutcome> job;
    std::optional<ChangeOutcome> removal;
    a.writer.Submit(Put(Job("j"), 0, JobOf("o")),
                    [&](ChangeOutcome it) { job = std::move(it); });
    world.time.RunFor(base::Duration(i));
    b.writer.Submit(Delete(Organisation("o"), 1),
                    [&](ChangeOutcome it) { removal = std::move(it); });
    REQUIRE(world.RunUntil([&] { return job && removal; }));
    CHECK(IsAccepted(*job) != IsAccepted(*removal));
  }
}

struct RaceResult {
  std::set<LogVersion> accepted;
  int refused = 0;
  int unknown = 0;
  int not_accepted = 0;
  int open = 0;
};

/// Operators at every process change the same few resources, each against the
/// version it sees.
RaceResult Race(ConfigWorld& world, int rounds) {
  RaceResult result;
  std::mt19937 random(7);
  for (int i = 0; i < rounds; ++i) {
    for (const auto& it : world.processes) {
      if (!it->IsUp()) continue;
      const auto ref = Organisation("o" + std::to_string(random() % 5));
      const auto present = it->mirror.Find(ref);
      const auto version = present ? present->version : LogVersion{0};
      auto set = random() % 8 == 0 && present
                     ? Delete(ref, version)
                     : Put(ref, version, Weight(1.0 + random() % 900));
      ++result.open;
      it->writer.Submit(std::move(set), [&result](const ChangeOutcome& out) {
        --result.open;
        if (const auto* done = std::get_if<ChangesAccepted>(&out)) {
          if (done->changes.front().effect == ChangeEffect::kUnchanged) return;
          const auto version_won = done->versions[0];
          CHECK(result.accepted.insert(version_won).second);
          return;
        }
        result.refused += std::holds_alternative<ChangesRefused>(out);
        result.unknown += std::holds_alternative<ChangesUnknown>(out);
        result.not_accepted += std::holds_alternative<ChangesNotAccepted>(out);
      });
    }
    world.time.RunFor(base::Duration(random() % 12));
  }
  world.RunUntil([&] { return result.open == 0; });
  return result;
}

TEST_CASE("thousands of racing changes: those accepted exist, in one order") {
  ConfigWorld world;
  world.peers_talk = GENERATE(true, false);
  for (int i = 0; i < 8; ++i) world.Add();
  REQUIRE(world.RunUntil([&] { return world.processes.back()->IsLoaded(); }));
  const auto result = Race(world, 1'500);
  CHECK(result.open == 0);
  CHECK(result.unknown == 0);
  CHECK(result.refused > 100);
  CHECK(result.accepted.size() > 500);
  const auto newest = *result.accepted.rbegin();
  // Exactly the accepted ones: as many as versions, none twice.
  CHECK(result.accepted.size() == newest);
  const auto& first = world.processes.front()->history[0];
  REQUIRE(world.RunUntil([&] {
    return std::all_of(world.processes.begin(), world.processes.end(),
                       [&](const auto& it) {
                         return it->mirror.version(LogId::kConfig) == newest;
                       });
  }));
  const auto expected = TextsOf(first);
  for (const auto& it : world.processes) {
    CHECK(TextsOf(it->history[0]) == expected);
    for (std::size_t i = 0; i < it->history[0].size(); ++i) {
      CHECK(it->history[0][i]->version == i + 1);
    }
  }
}

TEST_CASE("lost answers: every outcome told is what the log says") {
  const auto fault = GENERATE(TableFault::kAnswerLost, TableFault::kRequestLost,
                              TableFault::kArrivesLate, TableFault::kDoubled,
                              TableFault::kRefused, TableFault::kSlow);
  ConfigWorld world;
  for (int i = 0; i < 4; ++i) world.Add();
  REQUIRE(world.RunUntil([&] { return world.processes.back()->IsLoaded(); }));
  std::mt19937 random(3);
  world.table.SetCommitFault([&](const store::Transaction&) {
    return random() % 4 == 0 ? fault : TableFault::kNone;
  });
  const auto result = Race(world, 100);
  world.table.SetCommitFault(nullptr);
  world.time.RunFor(base::Duration(20'000));
  CHECK(result.open == 0);
  const auto newest = world.processes.front()->mirror.version(LogId::kConfig);
  // Those told as accepted exist; what exists beyond them was told as unknown.
  CHECK(result.accepted.size() <= newest);
  CHECK(newest - result.accepted.size() <=
        static_cast<std::size_t>(result.unknown));
  if (!result.accepted.empty()) CHECK(*result.accepted.rbegin() <= newest);
  const auto expected = TextsOf(world.processes.front()->history[0]);
  CHECK(expected.size() == newest);
  for (const auto& it : world.processes) {
    CHECK(TextsOf(it->history[0]) == expected);
  }
}

TEST_CASE("an outcome that stays unknown is told as unknown, not as refused") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(world.RunUntil([&] { return a.IsLoaded(); }));
  world.table.SetCommitFault([&](const store::Transaction&) {
    world.table.SetDown(true);
    return TableFault::kAnswerLost;
  });
  const auto outcome = a.Change(Put(Organisation("o"), 0, Weight(1)));
  CHECK(std::holds_alternative<ChangesUnknown>(outcome));
  world.table.SetCommitFault(nullptr);
  world.table.SetDown(false);
  REQUIRE(world.RunUntil(
      [&] { return a.mirror.Find(Organisation("o")) != nullptr; }));
  CHECK(RefusalOf(a.Change(Put(Organisation("o"), 0, Weight(1)))) ==
        RefusalReason::kExists);
}

TEST_CASE("in an outage changes are refused as certainly not accepted") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
  world.table.SetDown(true);
  const auto outcome = a.Change(Put(Organisation("o"), 1, Weight(2)));
  CHECK(std::holds_alternative<ChangesNotAccepted>(outcome));
  CHECK(a.mirror.Find(Organisation("o"))->version == 1);
  world.table.SetDown(false);
  CHECK(IsAccepted(a.Change(Put(Organisation("o"), 1, Weight(2)))));
}

TEST_CASE("a status is taken while its row stands, and dropped after") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
  REQUIRE(IsAccepted(a.Change(Put(Job("j"), 0, JobOf("o")))));
  world.table.Apply({{}, {{"status/j", "x"}}});
  JobStatus running;
  running.phase = JobPhase::kRunning;
  ChangeSet set;
  set.changes.push_back({Job("j"), Anyway{}, PutStatus{running, 1}});
  REQUIRE(IsAccepted(a.Change(set)));
  const auto job = a.mirror.Find(Job("j"));
  CHECK(PhaseOf(*job) == JobPhase::kRunning);
  CHECK(job->version == 1);
  CHECK(job->status_version == 2);
  world.table.Apply({{}, {{"status/j", "y"}}});
  set.changes.front().action = PutStatus{JobStatus(), 1};
  CHECK(RefusalOf(a.Change(set)) == RefusalReason::kStale);
  CHECK(PhaseOf(*a.mirror.Find(Job("j"))) == JobPhase::kRunning);
  // The same while an earlier sending may have taken effect.
  int n = 0;
  world.table.SetCommitFault([&](const store::Transaction&) {
    return n++ == 0 ? TableFault::kRequestLost : TableFault::kNone;
  });
  set.changes.front().action = PutStatus{JobStatus(), 1};
  CHECK(RefusalOf(a.Change(set)) == RefusalReason::kStale);
  // An ended job can be removed, with its status row.
  JobStatus finished;
  finished.phase = JobPhase::kFinished;
  set.changes.front().action = PutStatus{finished, 2};
  REQUIRE(IsAccepted(a.Change(set)));
  REQUIRE(IsAccepted(a.Change(Delete(Job("j"), 1))));
  CHECK(a.mirror.Find(Job("j")) == nullptr);
  CHECK_FALSE(world.table.Peek("status/j"));
}

TEST_CASE("old entries are removed, and the table stays bounded") {
  ConfigWorld world;
  WriterOptions options;
  options.keep_entries = 100;
  MirrorOptions mirror;
  mirror.history = 50;
  auto& a = world.Add(mirror, options);
  LogVersion version = 0;
  for (int i = 0; i < 300; ++i) {
    const auto outcome =
        a.Change(Put(Organisation("o"), version, Weight(1.0 + i % 7)));
    REQUIRE(IsAccepted(outcome));
    version = VersionOf(outcome);
  }
  bool all = false;
  for (int i = 0; i < 20 && !all; ++i) {
    std::optional<bool> done;
    a.writer.Compact(LogId::kConfig, [&](bool it) { done = it; });
    REQUIRE(world.RunUntil([&] { return done.has_value(); }));
    all = *done;
  }
  CHECK(all);
  const auto rows = world.table.PeekPage("log/entry/config/", "", 1'000).rows;
  CHECK(rows.size() <= 101);
  CHECK(rows.size() >= 99);
  // Versions go on, and a new process loads what is left.
  CHECK(IsAccepted(a.Change(Put(Organisation("o"), version, Weight(99)))));
  auto& b = world.Add();
  REQUIRE(world.RunUntil([&] { return b.IsLoaded(); }));
  CHECK(b.mirror.version(LogId::kConfig) == version + 1);
  CHECK(std::holds_alternative<WatchId>(
      b.mirror.Watch(ResourceKind::kOrganisation, version - 90,
                     [](const WatchItem&) { return true; })));
  const auto end = b.mirror.Watch(ResourceKind::kOrganisation, 5,
                                  [](const WatchItem&) { return true; });
  REQUIRE(std::holds_alternative<WatchEnd>(end));
  CHECK(std::get<WatchEnd>(end) == WatchEnd::kTooOld);
}

}  // namespace
}  // namespace lapishatch::config
