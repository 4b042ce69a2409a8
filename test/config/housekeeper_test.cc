#include <catch2/catch.hpp>

#include "config_world.h"

namespace lapishatch::config {
namespace {

/// Submits jobs and lets each end.
void EndJobs(ConfigWorld::Process& process, int n) {
  for (int i = 0; i < n; ++i) {
    const auto name = "j" + std::to_string(i);
    REQUIRE(IsAccepted(process.Change(Put(Job(name), 0, JobOf("o")))));
    JobStatus finished;
    finished.phase = JobPhase::kFinished;
    ChangeSet set;
    set.changes.push_back({Job(name), Anyway{}, PutStatus{finished, {}}});
    REQUIRE(IsAccepted(process.Change(set)));
  }
}

TEST_CASE(
    "ended jobs go when they are too many or too old, running ones stay") {
  ConfigWorld world;
  WriterOptions writer;
  writer.keep_entries = 100;
  auto& a = world.Add({}, writer);
  REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
  EndJobs(a, 60);
  REQUIRE(IsAccepted(a.Change(Put(Job("running"), 0, JobOf("o")))));
  std::int64_t now = 1'000;
  HousekeeperOptions options;
  options.most_ended = 40;
  options.keep_ended = base::Duration(5'000);
  Housekeeper keeper(
      options, {a.loop, a.mirror, a.writer, nullptr, [&] { return now; }});
  keeper.Start();
  const auto jobs = [&] {
    return a.mirror.List(ResourceKind::kJob).resources.size();
  };
  REQUIRE(world.RunUntil([&] { return jobs() <= 41; }));
  CHECK(jobs() == 41);
  CHECK(a.mirror.Find(Job("j0")) == nullptr);
  CHECK(a.mirror.Find(Job("j59")) != nullptr);
  now += 6'000;
  REQUIRE(world.RunUntil([&] { return jobs() <= 1; }));
  CHECK(a.mirror.Find(Job("running")) != nullptr);
  world.time.RunFor(base::Duration(60'000));
  CHECK(jobs() == 1);
  // The log is compacted in the same rounds.
  CHECK(world.table.PeekPage("log/entry/jobs/", "", 1'000).rows.size() <= 101);
  CHECK(world.table.PeekPage("status/", "", 10).rows.empty());
}

TEST_CASE("a process that is not chosen keeps no house") {
  ConfigWorld world;
  auto& a = world.Add();
  REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
  EndJobs(a, 3);
  HousekeeperOptions options;
  options.most_ended = 0;
  Housekeeper keeper(options, {a.loop, a.mirror, a.writer, [] { return false; },
                               [] { return std::int64_t{1'000}; }});
  keeper.Start();
  world.time.RunFor(base::Duration(120'000));
  CHECK(a.mirror.List(ResourceKind::kJob).resources.size() == 3);
}

}  // namespace
}  // namespace lapishatch::config
