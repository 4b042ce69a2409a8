#include <catch2/catch.hpp>

#include "config_world.h"

namespace lapishatch::config {
namespace {

/// One client's watch: the entries in order, and where it was told it stands.
struct Follower {
  std::vector<LogVersion> versions;
  std::vector<std::string> lines;
  LogVersion resume = 0;
  std::optional<WatchEnd> ended;

  WatchSink Sink() {
    return [this](const WatchItem& item) {
      lines.push_back(WatchLine(item));
      if (const auto* entry = std::get_if<LogEntryPtr>(&item)) {
        versions.push_back((*entry)->version);
        resume = (*entry)->version;
      } else if (const auto* mark = std::get_if<WatchBookmark>(&item)) {
        resume = mark->version;
      } else {
        ended = std::get<WatchEnded>(item).why;
        resume = std::get<WatchEnded>(item).version;
      }
      return true;
    };
  }
};

LogVersion Change(ConfigWorld::Process& process, const std::string& name,
                  LogVersion version, double weight) {
  const auto outcome =
      process.Change(Put(Organisation(name), version, Weight(weight)));
  REQUIRE(IsAccepted(outcome));
  return std::get<ChangesAccepted>(outcome).versions[0];
}

TEST_CASE(
    "a watch resumed at any entry, anywhere, misses and repeats nothing") {
  ConfigWorld world;
  world.peers_talk = true;
  auto& a = world.Add();
  auto& b = world.Add();
  LogVersion version = 0;
  for (int i = 0; i < 30; ++i) version = Change(a, "o", version, 1.0 + i);
  auto& late = world.Add();
  REQUIRE(world.RunUntil([&] {
    return b.mirror.version(LogId::kConfig) == 30 &&
           late.mirror.version(LogId::kConfig) == 30;
  }));
  for (LogVersion since = 0; since <= 30; ++since) {
    for (auto* at : {&a, &b, &late}) {
      Follower follower;
      const auto opened =
          at->mirror.Watch(ResourceKind::kOrganisation, since, follower.Sink());
      REQUIRE(std::holds_alternative<WatchId>(opened));
      REQUIRE(follower.versions.size() == 30 - since);
      if (since < 30) CHECK(follower.versions.front() == since + 1);
      CHECK(follower.resume == 30);
    }
  }
}

TEST_CASE("a watch goes on at another process after the first one dies") {
  ConfigWorld world;
  world.peers_talk = GENERATE(true, false);
  auto& a = world.Add();
  auto& b = world.Add();
  auto& c = world.Add();
  REQUIRE(world.RunUntil([&] { return c.IsLoaded(); }));
  Follower follower;
  a.mirror.Watch(ResourceKind::kOrganisation, 0, follower.Sink());
  LogVersion version = 0;
  for (int i = 0; i < 10; ++i) version = Change(b, "o", version, 1.0 + i);
  world.time.RunFor(base::Duration(3));
  world.Kill(a);
  for (int i = 0; i < 10; ++i) version = Change(b, "o", version, 50.0 + i);
  REQUIRE(world.RunUntil(
      [&] { return c.mirror.version(LogId::kConfig) == version; }));
  c.mirror.Watch(ResourceKind::kOrganisation, follower.resume, follower.Sink());
  REQUIRE(follower.versions.size() == 20);
  for (LogVersion i = 0; i < 20; ++i) CHECK(follower.versions[i] == i + 1);
}

TEST_CASE("a watch sees its kind only, and bookmarks go on without changes") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(world.RunUntil([&] { return a.IsLoaded(); }));
  Follower follower;
  a.mirror.Watch(ResourceKind::kService, 0, follower.Sink());
  Change(a, "o", 0, 1);
  CHECK(follower.versions.empty());
  world.time.RunFor(base::Duration(11'000));
  CHECK(follower.resume == 1);
  CHECK(follower.lines.back() == "{\"type\":\"bookmark\",\"version\":1}\n");
}

TEST_CASE("watches are bounded, and end in order on a planned stop") {
  ConfigWorld world;
  MirrorOptions options;
  options.max_watches = 2;
  auto& a = world.Add(options);
  REQUIRE(world.RunUntil([&] { return a.IsLoaded(); }));
  Change(a, "o", 0, 1);
  Follower first;
  Follower second;
  Follower third;
  a.mirror.Watch(ResourceKind::kOrganisation, 0, first.Sink());
  const auto opened = a.mirror.Watch(ResourceKind::kJob, 0, second.Sink());
  const auto refused =
      a.mirror.Watch(ResourceKind::kOrganisation, 0, third.Sink());
  CHECK(std::get<WatchEnd>(refused) == WatchEnd::kTooMany);
  a.mirror.Unwatch(std::get<WatchId>(opened));
  CHECK(std::holds_alternative<WatchId>(
      a.mirror.Watch(ResourceKind::kOrganisation, 1, third.Sink())));
  a.mirror.EndWatches();
  CHECK(first.ended == WatchEnd::kStopping);
  CHECK(first.resume == 1);
  CHECK(third.ended == WatchEnd::kStopping);
  CHECK_FALSE(second.ended);
  CHECK(a.mirror.watches() == 0);
  const auto late =
      a.mirror.Watch(ResourceKind::kOrganisation, 1, second.Sink());
  CHECK(std::get<WatchEnd>(late) == WatchEnd::kStopping);
}

TEST_CASE("a version that was never accepted is no place to continue from") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(world.RunUntil([&] { return a.IsLoaded(); }));
  Follower follower;
  const auto refused =
      a.mirror.Watch(ResourceKind::kOrganisation, 9, follower.Sink());
  CHECK(std::get<WatchEnd>(refused) == WatchEnd::kNotYet);
}

TEST_CASE("a process that starts in an outage gets its view from peers") {
  ConfigWorld world;
  world.peers_talk = true;
  auto& a = world.Add();
  LogVersion version = 0;
  for (int i = 0; i < 10; ++i) version = Change(a, "o", version, 1.0 + i);
  world.table.SetDown(true);
  auto& b = world.Add();
  REQUIRE(world.RunUntil([&] { return b.IsLoaded(); }));
  CHECK(b.mirror.version(LogId::kConfig) == version);
  CHECK_FALSE(b.mirror.is_table_reachable());
  CHECK(*b.mirror.Find(Organisation("o")) == *a.mirror.Find(Organisation("o")));
  // A watch from before the outage continues there too.
  Follower follower;
  b.mirror.Watch(ResourceKind::kOrganisation, 4, follower.Sink());
  CHECK(follower.versions.size() == 6);
  world.table.SetDown(false);
  version = Change(a, "o", version, 99);
  REQUIRE(world.RunUntil(
      [&] { return b.mirror.version(LogId::kConfig) == version; }));
  CHECK(follower.versions.size() == 7);
}

TEST_CASE("a process cut off keeps its version and takes the newest after") {
  ConfigWorld world;
  auto& a = world.Add();
  auto& b = world.Add();
  LogVersion version = Change(a, "o", 0, 1);
  REQUIRE(
      world.RunUntil([&] { return b.mirror.version(LogId::kConfig) == 1; }));
  b.table.SetCut(true);
  for (int i = 0; i < 50; ++i) version = Change(a, "o", version, 2.0 + i);
  world.time.RunFor(base::Duration(20'000));
  CHECK(b.mirror.version(LogId::kConfig) == 1);
  b.table.SetCut(false);
  REQUIRE(world.RunUntil(
      [&] { return b.mirror.version(LogId::kConfig) == version; },
      base::Duration(7'000)));
  for (std::size_t i = 0; i < b.history[0].size(); ++i) {
    CHECK(b.history[0][i]->version == i + 1);
  }
}

TEST_CASE("a process that is behind what the table keeps loads it anew") {
  ConfigWorld world;
  WriterOptions options;
  options.keep_entries = 100;
  auto& a = world.Add({}, options);
  auto& b = world.Add();
  LogVersion version = Change(a, "o", 0, 1);
  REQUIRE(
      world.RunUntil([&] { return b.mirror.version(LogId::kConfig) == 1; }));
  Follower follower;
  b.mirror.Watch(ResourceKind::kOrganisation, 1, follower.Sink());
  b.table.SetCut(true);
  for (int i = 0; i < 400; ++i) version = Change(a, "o", version, 2.0 + i % 9);
  for (int i = 0; i < 10; ++i) {
    std::optional<bool> done;
    a.writer.Compact(LogId::kConfig, [&](bool it) { done = it; });
    REQUIRE(world.RunUntil([&] { return done.has_value(); }));
  }
  b.table.SetCut(false);
  REQUIRE(world.RunUntil(
      [&] { return b.mirror.version(LogId::kConfig) == version; }));
  CHECK(follower.ended == WatchEnd::kTooOld);
  CHECK(*b.mirror.Find(Organisation("o")) == *a.mirror.Find(Organisation("o")));
}

TEST_CASE("entries that make no sense change nothing") {
  ConfigWorld world;
  auto& a = world.Add();
  Change(a, "o", 0, 1);
  a.mirror.Offer(LogId::kConfig, 2, {"{}"});
  a.mirror.Offer(LogId::kConfig, 2, {"not JSON"});
  a.mirror.Offer(LogId::kConfig, 2, {ToText(*a.history[0][0])});
  a.mirror.OfferSnapshot(LogId::kConfig, "{\"log\":\"jobs\",\"version\":9}");
  CHECK(a.mirror.version(LogId::kConfig) == 1);
  world.table.Apply({{}, {{"log/head/config", "broken"}}});
  world.time.RunFor(base::Duration(5'000));
  CHECK(a.mirror.version(LogId::kConfig) == 1);
}

TEST_CASE("a table that shows older versions takes nothing back") {
  ConfigWorld world;
  auto& a = world.Add();
  auto version = Change(a, "o", 0, 1);
  const auto old = world.table.Peek("log/head/config");
  REQUIRE(old);
  version = Change(a, "o", version, 2);
  world.table.Apply({{}, {{"log/head/config", old->value}}});
  world.time.RunFor(base::Duration(5'000));
  CHECK(a.mirror.version(LogId::kConfig) == 2);
  CHECK(a.mirror.Find(Organisation("o"))->version == 2);
}

}  // namespace
}  // namespace lapishatch::config
