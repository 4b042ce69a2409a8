// One owner after another: death, pause, planned stop, cuts and outages.

#include <catch2/catch.hpp>

#include "owner_rig.h"

namespace lapishatch::scheduler {
namespace {

using config::JobPhase;

constexpr base::Duration kSecond{1'000};
constexpr base::Duration kMinute{60'000};

/// A job that runs for ten minutes.
AcceptedJob LongJob(const OwnerRig& rig, const std::string& name, int tasks) {
  auto job = rig.Job(name, tasks, 8);
  job.spec.payload = R"({"run_ms":600000})";
  return job;
}

TEST_CASE("a killed owner is replaced, and its gang goes on") {
  OwnerRig rig(6);
  auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  rig.feed.Accept(rig.Job("queued", 6, 8, false));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  rig.Kill(first);
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 20));
  CHECK(second->owner->Status().epoch == 2);
  CHECK(rig.RunUntilPhase("map", JobPhase::kFinished, kMinute * 12));
  CHECK(rig.StartsOf("map") == 3);
  CHECK(rig.RunUntilPhase("queued", JobPhase::kFinished, kMinute * 5));
  CHECK(rig.StartsOf("queued") == 6);
}

TEST_CASE("an owner that dies anywhere while it starts a gang does no harm") {
  // A non-idempotent gang: killed after each few milliseconds of its start.
  int finished_jobs = 0;
  for (int after_ms = 0; after_ms < 60; after_ms += 2) {
    CAPTURE(after_ms);
    OwnerRig rig(4);
    auto first = rig.StartProcess();
    REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
    rig.feed.Accept(rig.Job("claim", 3, 8, false));
    rig.time.RunFor(base::Duration(after_ms));
    rig.Kill(first);
    const auto second = rig.StartProcess();
    const bool ended = rig.time.RunUntil(
        [&] {
          const auto status = rig.StatusOf("claim");
          return status && config::IsFinal(status->phase);
        },
        kMinute * 5);
    REQUIRE(ended);
    CHECK(rig.StartsOf("claim") <= 3);
    const bool finished = rig.HasPhase("claim", JobPhase::kFinished);
    if (finished) {
      ++finished_jobs;
      CHECK(rig.StartsOf("claim") == 3);
    } else {
      // Only where a start was sent, so that it may have run in part.
      CHECK(rig.HasPhase("claim", JobPhase::kUnknown));
      CHECK(rig.StartsOf("claim") > 0);
    }
    CHECK(rig.RunningTasksOf("claim") == 0);
    CHECK_FALSE(rig.IntentOf("claim").has_value());
  }
  // Killed before the starts or after them; only in between it is unknown.
  CHECK(finished_jobs >= 25);
}

TEST_CASE("an owner that dies around the end of a job loses no end") {
  for (int after_ms = -20; after_ms < 60; after_ms += 2) {
    CAPTURE(after_ms);
    OwnerRig rig(3);
    auto first = rig.StartProcess();
    REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
    rig.feed.Accept(rig.Job("claim", 3, 8, false));
    REQUIRE(rig.time.RunUntil([&] { return rig.RunningTasksOf("claim") == 3; },
                              kSecond * 5));
    rig.time.RunFor(kMinute + base::Duration(after_ms));
    rig.Kill(first);
    const auto second = rig.StartProcess();
    REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute));
    CHECK(rig.StartsOf("claim") == 3);
    CHECK_FALSE(rig.IntentOf("claim").has_value());
  }
}

TEST_CASE(
    "a part of a gang that was never confirmed ends with its start lease") {
  OwnerRig rig(4);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  // Other gangs run there, so that reports renew.
  for (int i = 0; i < 4; ++i) {
    rig.feed.Accept(LongJob(rig, "other" + std::to_string(i), 1));
  }
  rig.time.RunFor(kSecond * 3);
  // One start is lost; the owner dies while it waits for the others.
  int starts = 0;
  rig.workers.SetFault([&](const auto&, const lifecycle::WorkerOrder& order) {
    for (const auto& it : order.commands) {
      if (!std::holds_alternative<lifecycle::StartTask>(it)) continue;
      if (starts++ % 4 == 0) return fakes::OrderFault::kOrderLost;
    }
    return fakes::OrderFault::kNone;
  });
  for (int i = 0; i < 4; ++i) {
    rig.feed.Cancel(base::JobName("other" + std::to_string(i)));
  }
  rig.feed.Accept(LongJob(rig, "map", 4));
  REQUIRE(rig.time.RunUntil([&] { return rig.RunningTasksOf("map") == 3; },
                            kSecond * 5));
  const auto began = rig.time.Now();
  rig.time.RunFor(kSecond);
  rig.Kill(first);
  REQUIRE(rig.time.RunUntil([&] { return rig.RunningTasksOf("map") == 0; },
                            kMinute));
  const OwnerOptions options;
  CHECK(rig.time.Now() - began <= options.start_lease + base::Duration(10));
}

TEST_CASE("an owner paused past its lease drops everything") {
  OwnerRig rig(6);
  const auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  first->loop.Pause();
  rig.feed.Accept(LongJob(rig, "later", 3));
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 20));
  int stale_orders = 0;
  rig.workers.SetFault([&](const auto&, const lifecycle::WorkerOrder& order) {
    if (order.epoch == 1) ++stale_orders;
    return fakes::OrderFault::kNone;
  });
  const auto commits = [&] { return rig.table.commits(); };
  const auto before = commits();
  first->loop.Resume();
  rig.time.RunFor(base::Duration(1));
  CHECK(first->owner->Status().phase == OwnerPhase::kCandidate);
  CHECK(commits() - before <= 1);
  rig.time.RunFor(kMinute);
  CHECK(stale_orders == 0);
  CHECK(rig.RunningTasksOf("map") == 3);
  CHECK(rig.RunningTasksOf("later") == 3);
  CHECK(rig.StartsOf("map") == 3);
  CHECK(second->owner->Status().epoch == 2);
}

TEST_CASE("an owner paused while its intent is written starts nothing") {
  OwnerRig rig(4);
  const auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  const auto second = rig.StartProcess();
  bool paused = false;
  rig.table.SetCommitFault([&](const store::Transaction& transaction) {
    for (const auto& write : transaction.writes) {
      const bool intent = write.key.starts_with(kIntentPrefix);
      if (!intent || !write.value || paused) continue;
      paused = true;
      first->loop.Pause();
    }
    return fakes::TableFault::kNone;
  });
  rig.feed.Accept(rig.Job("claim", 2, 8, false));
  REQUIRE(rig.time.RunUntil([&] { return paused; }, kSecond * 5));
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 20));
  first->loop.Resume();
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute * 3));
  CHECK(rig.StartsOf("claim") == 2);
}

TEST_CASE("a planned stop hands the cell over at once, and gangs go on") {
  OwnerRig rig(4);
  const auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  rig.time.RunFor(kSecond);
  bool stopped = false;
  first->owner->Stop([&] { stopped = true; });
  REQUIRE(rig.time.RunUntil([&] { return stopped; }, kSecond));
  CHECK(first->owner->Status().phase == OwnerPhase::kStopped);
  second->owner->CheckNow();
  REQUIRE(rig.RunUntilOwning(*second, kSecond));
  CHECK(rig.RunUntilPhase("map", JobPhase::kFinished, kMinute * 12));
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("a planned stop brings a gang that is being started to an end") {
  for (int after_ms = 0; after_ms < 60; after_ms += 5) {
    CAPTURE(after_ms);
    OwnerRig rig(4);
    const auto first = rig.StartProcess();
    REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
    rig.feed.Accept(rig.Job("claim", 3, 8, false));
    rig.time.RunFor(base::Duration(after_ms));
    bool stopped = false;
    first->owner->Stop([&] { stopped = true; });
    REQUIRE(rig.time.RunUntil([&] { return stopped; }, kSecond * 11));
    const auto second = rig.StartProcess();
    REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute * 3));
    CHECK(rig.StartsOf("claim") == 3);
  }
}

TEST_CASE("a stop leaves the row to the owner that has taken it meanwhile") {
  OwnerRig rig(4);
  const auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  first->loop.Pause();
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 20));
  bool stopped = false;
  first->owner->Stop([&] { stopped = true; });
  first->loop.Resume();
  REQUIRE(rig.time.RunUntil([&] { return stopped; }, kSecond * 11));
  rig.time.RunFor(kMinute);
  CHECK(first->owner->Status().phase == OwnerPhase::kStopped);
  CHECK(second->owner->Status().phase == OwnerPhase::kOwning);
  CHECK(second->owner->Status().epoch == 2);
  const auto row = rig.table.Peek(CellKey(rig.cell));
  REQUIRE(row.has_value());
  CHECK(DecodeHolder(row->value)->holder == second->owner->Status().holder);
}

TEST_CASE("an outage of the table changes no owner and stops no work") {
  OwnerRig rig(8);
  const auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  const auto third = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  rig.feed.Accept(rig.Job("short", 2, 8));
  REQUIRE(rig.RunUntilPhase("short", JobPhase::kRunning, kSecond * 10));
  rig.feed.Accept(rig.Job("waiting", 5, 8));
  rig.feed.Accept(rig.Job("claim", 5, 8, false));
  rig.time.RunFor(kSecond);

  rig.table.SetDown(true);
  rig.time.RunFor(kMinute * 5);
  CHECK(rig.RunningTasksOf("map") == 3);
  // Idempotent work that was accepted starts without a record.
  CHECK(rig.StartsOf("waiting") == 5);
  CHECK(rig.StartsOf("claim") == 0);
  CHECK(first->owner->Status().table_out);

  rig.table.SetDown(false);
  REQUIRE(rig.RunUntilPhase("short", JobPhase::kFinished, kSecond * 10));
  REQUIRE(rig.RunUntilPhase("waiting", JobPhase::kFinished, kSecond * 10));
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute * 3));
  CHECK(rig.StartsOf("claim") == 5);
  rig.time.RunFor(kMinute);
  CHECK(first->owner->Status().phase == OwnerPhase::kOwning);
  CHECK(first->owner->Status().epoch == 1);
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("an end that could not be recorded outlives its owner") {
  OwnerRig rig(3);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(rig.Job("claim", 3, 8, false));
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kRunning, kSecond * 5));
  rig.time.RunFor(kSecond * 30);
  rig.table.SetDown(true);
  rig.time.RunFor(kMinute * 2);
  REQUIRE(rig.RunningTasksOf("claim") == 0);
  rig.Kill(first);
  rig.table.SetDown(false);
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute));
  CHECK(rig.StartsOf("claim") == 3);
}

TEST_CASE("work outlives an owner that dies in an outage") {
  OwnerRig rig(3);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 5));
  rig.table.SetDown(true);
  rig.time.RunFor(kMinute);
  rig.Kill(first);
  const auto second = rig.StartProcess();
  rig.time.RunFor(kMinute * 5);
  CHECK(rig.RunningTasksOf("map") == 3);
  rig.table.SetDown(false);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kFinished, kMinute * 10));
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("a restart while nobody owned the cell proves nothing") {
  OwnerRig rig(3);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(rig.Job("claim", 3, 8, false));
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kRunning, kSecond * 5));
  rig.time.RunFor(kSecond * 10);
  rig.Kill(first);
  for (const auto& it : rig.workers.endpoints()) {
    rig.workers.model(it).Restart();
  }
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kUnknown, kMinute));
  rig.time.RunFor(kMinute);
  CHECK(rig.StartsOf("claim") == 3);
}

TEST_CASE("unrecorded starts are adopted when their owner dies") {
  OwnerRig rig(4);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "before", 4));
  REQUIRE(rig.RunUntilPhase("before", JobPhase::kRunning, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  rig.time.RunFor(kSecond);
  rig.table.SetDown(true);
  // The table goes before the first job ends, so the second has no record.
  REQUIRE(rig.time.RunUntil([&] { return rig.StartsOf("map") == 3; },
                            kMinute * 12));
  rig.time.RunFor(kSecond * 5);
  rig.Kill(first);
  rig.table.SetDown(false);
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 30));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kFinished, kMinute * 12));
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("an owner that alone is cut from the table is replaced") {
  OwnerRig rig(4);
  const auto first = rig.StartProcess();
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  first->table_view.SetCut(true);
  REQUIRE(rig.RunUntilOwning(*second, kMinute));
  rig.time.RunFor(kSecond * 30);
  CHECK(first->owner->Status().phase == OwnerPhase::kCandidate);
  CHECK(rig.RunningTasksOf("map") == 3);
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("a job cancelled while nobody owned the cell is stopped") {
  OwnerRig rig(4);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(LongJob(rig, "map", 3));
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  rig.Kill(first);
  rig.feed.Cancel(base::JobName("map"));
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kCancelled, kSecond * 30));
  CHECK(rig.RunningTasksOf("map") == 0);
  CHECK_FALSE(rig.IntentOf("map").has_value());
}

TEST_CASE("an end that no owner could record yet is told to the next one") {
  OwnerRig rig(4);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.feed.Accept(rig.Job("claim", 2, 4, false));
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kRunning, kSecond * 10));
  rig.Kill(first);
  // It finishes while nobody owns the cell; the owner that hears of it cannot
  // write and dies.
  rig.time.RunFor(kSecond * 61);
  auto second = rig.StartProcess();
  second->table_view.SetCommitFault([](const store::Transaction& it) {
    const bool is_lease = it.writes.front().key.starts_with("cells/");
    return is_lease ? fakes::TableFault::kNone
                    : fakes::TableFault::kRequestLost;
  });
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 60));
  rig.time.RunFor(kSecond * 10);
  rig.Kill(second);
  const auto third = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kSecond * 120));
  CHECK(rig.StartsOf("claim") == 2);
}

TEST_CASE("a job cancelled before any owner took it on comes to its end") {
  OwnerRig rig(4);
  rig.feed.Accept(LongJob(rig, "map", 3));
  rig.feed.Cancel(base::JobName("map"));
  const auto owner = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kCancelled, kSecond * 30));
  CHECK(rig.StartsOf("map") == 0);
}

}  // namespace
}  // namespace lapishatch::scheduler
