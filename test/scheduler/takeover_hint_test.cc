// Taking a cell over on a hint of the group, true or false.

#include <catch2/catch.hpp>

#include "owner_rig.h"

namespace lapishatch::scheduler {
namespace {

using config::JobPhase;
using lifecycle::AcquireReason;
using lifecycle::HolderSuspicion;

constexpr base::Duration kSecond{1'000};
constexpr base::Duration kMinute{60'000};
/// A lease, its margin, a read and a question.
constexpr base::Duration kByLease{14'000};

AcceptedJob LongJob(const OwnerRig& rig, const std::string& name, int tasks) {
  auto job = rig.Job(name, tasks, 8);
  job.spec.payload = R"({"run_ms":36000000})";
  return job;
}

/// An owner with a gang that runs, and candidates.
struct Hinted {
  explicit Hinted(int candidates, int workers = 6) : rig(workers) {
    owner = rig.StartProcess();
    REQUIRE(rig.RunUntilOwning(*owner, kSecond * 10));
    for (int i = 0; i < candidates; ++i) {
      others.push_back(rig.StartProcess());
    }
    rig.feed.Accept(LongJob(rig, "map", 3));
    REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
    rig.time.RunFor(kSecond * 5);
  }

  void Doubt(const RigProcess& process, HolderSuspicion doubt) {
    rig.owners.SetDoubt(process.endpoint, doubt);
    for (const auto& it : others) it->owner->CheckNow();
  }

  /// The process that took over within `limit`, or null.
  RigProcess* TakenOver(base::Duration limit) {
    RigProcess* taker = nullptr;
    rig.time.RunUntil(
        [&] {
          for (const auto& it : others) {
            if (it->owner->Status().phase == OwnerPhase::kOwning) {
              taker = it.get();
            }
          }
          return taker != nullptr;
        },
        limit);
    return taker;
  }

  bool IsMapUnharmed() {
    return rig.RunningTasksOf("map") == 3 && rig.StartsOf("map") == 3;
  }

  OwnerRig rig;
  std::unique_ptr<RigProcess> owner;
  std::vector<std::unique_ptr<RigProcess>> others;
};

TEST_CASE("a doubted owner that refuses is replaced at once, by one of many") {
  Hinted it(3);
  const auto first = it.owner->owner->Status().holder;
  it.rig.Kill(it.owner);
  it.Doubt(*it.others[0], HolderSuspicion::kNone);
  CHECK(it.TakenOver(kSecond) == nullptr);
  it.rig.owners.SetDoubt({"10.0.1.1", 9'001}, HolderSuspicion::kSuspect);
  for (const auto& other : it.others) other->owner->CheckNow();
  const auto* taker = it.TakenOver(base::Duration(200));
  REQUIRE(taker != nullptr);
  const auto status = taker->owner->Status();
  CHECK(status.taken == AcquireReason::kConnectionRefused);
  CHECK(status.taken_from == first);
  it.rig.time.RunFor(kMinute);
  CHECK(taker->owner->Status().epoch == 2);
  CHECK(it.IsMapUnharmed());
}

TEST_CASE("what the group, the holder and the table say decides together") {
  for (const auto doubt : {HolderSuspicion::kNone, HolderSuspicion::kSuspect,
                           HolderSuspicion::kDead}) {
    for (const bool silent : {false, true}) {
      for (const bool renews : {false, true}) {
        CAPTURE(base::NameOf(doubt), silent, renews);
        Hinted it(2);
        // Cut from one candidate, or from both: a domain in halves.
        it.others[0]->probe.SetCut(silent);
        it.others[1]->probe.SetCut(silent && doubt == HolderSuspicion::kDead);
        it.owner->table_view.SetCut(!renews);
        it.Doubt(*it.owner, doubt);
        const auto* taker = it.TakenOver(kSecond * 8);
        const bool all_say_so =
            doubt == HolderSuspicion::kDead && silent && !renews;
        CHECK((taker != nullptr) == all_say_so);
        if (taker != nullptr) {
          CHECK(taker->owner->Status().taken == AcquireReason::kHolderTimedOut);
        }
        it.rig.time.RunFor(kMinute);
        if (renews) CHECK(it.owner->owner->Status().epoch == 1);
        CHECK(it.IsMapUnharmed());
      }
    }
  }
}

TEST_CASE("a vanished owner is replaced when it has missed a renewal") {
  Hinted it(2);
  it.rig.owners.Vanish(it.owner->endpoint);
  const auto endpoint = it.owner->endpoint;
  it.rig.Kill(it.owner);
  it.rig.owners.SetDoubt(endpoint, HolderSuspicion::kSuspect);
  CHECK(it.TakenOver(kSecond * 3) == nullptr);
  it.rig.owners.SetDoubt(endpoint, HolderSuspicion::kDead);
  const auto* taker = it.TakenOver(kSecond * 5);
  REQUIRE(taker != nullptr);
  CHECK(taker->owner->Status().taken == AcquireReason::kHolderTimedOut);
  CHECK(it.IsMapUnharmed());
}

TEST_CASE("an owner paused amid a start comes back before its lease is over") {
  // It believes that it holds the cell, and goes on where it was.
  for (int pause_at_ms = 0; pause_at_ms < 60; pause_at_ms += 4) {
    for (const bool reached : {true, false}) {
      CAPTURE(pause_at_ms, reached);
      Hinted it(1, 8);
      it.rig.feed.Accept(it.rig.Job("claim", 3, 8, false));
      it.rig.time.RunFor(base::Duration(pause_at_ms));
      it.owner->loop.Pause();
      it.Doubt(*it.owner, HolderSuspicion::kDead);
      // Not even its workers know of the new owner.
      it.others[0]->workers_view.SetCut(!reached);
      const auto is_taken = [&] {
        return it.others[0]->owner->Status().phase != OwnerPhase::kCandidate;
      };
      REQUIRE(it.rig.time.RunUntil(is_taken, kSecond * 8));
      CHECK(it.others[0]->owner->Status().taken ==
            AcquireReason::kHolderTimedOut);
      it.owner->loop.Resume();
      it.Doubt(*it.owner, HolderSuspicion::kNone);
      it.rig.time.RunFor(kSecond * 10);
      CHECK(it.owner->owner->Status().phase == OwnerPhase::kCandidate);
      it.others[0]->workers_view.SetCut(false);
      const auto ended = [&] {
        const auto status = it.rig.StatusOf("claim");
        return status && config::IsFinal(status->phase);
      };
      CHECK(it.rig.time.RunUntil(ended, kMinute * 5));
      CHECK(it.rig.StartsOf("claim") <= 3);
      CHECK(it.rig.RunningTasksOf("claim") == 0);
      CHECK(it.IsMapUnharmed());
    }
  }
}

TEST_CASE("a doubted owner that answers keeps its cell over an outage") {
  Hinted it(2);
  it.Doubt(*it.owner, HolderSuspicion::kDead);
  it.rig.table.SetDown(true);
  it.rig.time.RunFor(kMinute * 5);
  it.rig.table.SetDown(false);
  it.rig.time.RunFor(kMinute * 5);
  CHECK(it.owner->owner->Status().epoch == 1);
  CHECK(it.IsMapUnharmed());
}

TEST_CASE("an owner of a slow table that answers keeps its cell") {
  Hinted it(2);
  it.rig.table.SetCommitFault(
      [](const auto&) { return fakes::TableFault::kSlow; });
  it.Doubt(*it.owner, HolderSuspicion::kDead);
  it.rig.time.RunFor(kMinute * 10);
  CHECK(it.owner->owner->Status().epoch == 1);
  CHECK(it.IsMapUnharmed());
}

TEST_CASE("hints that are false for everybody do not make a cell flap") {
  Hinted it(2);
  // Each is dead for the group, and refuses the others.
  it.others.push_back(std::move(it.owner));
  for (const auto& other : it.others) {
    it.rig.owners.Remove(other->endpoint);
    it.Doubt(*other, HolderSuspicion::kDead);
  }
  for (int minute = 0; minute < 60; ++minute) {
    it.rig.time.RunFor(kMinute);
    CHECK(it.IsMapUnharmed());
  }
  lifecycle::Epoch epoch = 0;
  for (const auto& other : it.others) {
    epoch = std::max(epoch, other->owner->Status().epoch);
  }
  // Pauses of 30 s, 1, 2 and 4 min, then 8 min each.
  CHECK(epoch > 5);
  CHECK(epoch <= 13);
}

TEST_CASE("after a takeover the next owner is replaced by its lease alone") {
  Hinted it(2);
  const auto first = it.owner->endpoint;
  it.rig.Kill(it.owner);
  it.rig.owners.SetDoubt(first, HolderSuspicion::kSuspect);
  REQUIRE(it.TakenOver(kSecond * 3) != nullptr);
  const bool is_first = it.others[0]->owner->Status().epoch == 2;
  auto second = std::move(it.others[is_first ? 0 : 1]);
  it.others.erase(it.others.begin() + (is_first ? 0 : 1));
  const auto endpoint = second->endpoint;
  it.rig.time.RunFor(kSecond * 3);
  it.rig.Kill(second);
  it.rig.owners.SetDoubt(endpoint, HolderSuspicion::kSuspect);
  CHECK(it.TakenOver(kSecond * 7) == nullptr);
  const auto* taker = it.TakenOver(kByLease);
  REQUIRE(taker != nullptr);
  CHECK(taker->owner->Status().taken == AcquireReason::kExpired);
  CHECK(it.IsMapUnharmed());
}

}  // namespace
}  // namespace lapishatch::scheduler
