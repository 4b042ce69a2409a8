#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cell_builder.h"

namespace lapishatch::placement {
namespace {

using base::JobName;
using Jobs = std::vector<std::string>;

Planner MakeCell(int workers, int per_rack = 8, PlannerOptions options = {}) {
  Planner planner(options);
  for (int i = 0; i < workers; ++i) planner.PutWorker(MakeWorker(i, per_rack));
  return planner;
}

TEST_CASE("gangs start in order of class, organisation share and age") {
  auto planner = MakeCell(1);
  auto quiet = MakeGang("quiet", "a", 1, 8);
  quiet.work_class = base::WorkClass::kQuiet;
  auto urgent = MakeGang("urgent", "a", 1, 4);
  urgent.work_class = base::WorkClass::kUrgent;
  planner.Submit(quiet, At(0));
  planner.Submit(MakeGang("older", "a", 1, 2), At(1));
  planner.Submit(MakeGang("newer", "b", 1, 2), At(2));
  planner.Submit(urgent, At(3));
  // Organisation "a" has borrowed for its urgent gang, so "b" comes first.
  CHECK(StartedJobs(planner.Decide(At(4))) == Jobs{"urgent", "newer", "older"});
}

TEST_CASE("organisation weights determine fair shares") {
  auto planner = MakeCell(1);
  planner.SetOrganisations({{base::OrganisationName("heavy"), 3},
                            {base::OrganisationName("light"), 1}});
  for (int i = 0; i < 10; ++i) {
    planner.Submit(MakeGang("h" + std::to_string(i), "heavy", 1, 1), At(i));
    planner.Submit(MakeGang("l" + std::to_string(i), "light", 1, 1), At(i));
  }
  int heavy = 0;
  for (const auto& it : StartedJobs(planner.Decide(At(20)))) {
    heavy += it[0] == 'h';
  }
  CHECK(heavy == 6);
}

TEST_CASE("quiet work is promoted to higher classes as it ages") {
  auto planner = MakeCell(1);
  planner.Submit(MakeGang("running", "a", 1, 8), At(0));
  planner.Decide(At(0));
  auto quiet = MakeGang("quiet", "b", 1, 8);
  quiet.work_class = base::WorkClass::kQuiet;
  planner.Submit(quiet, At(1));
  auto urgent = MakeGang("urgent", "c", 1, 8);
  urgent.work_class = base::WorkClass::kUrgent;
  planner.Submit(urgent, At(3 * 3600));
  planner.ReportEnded(JobName("running"), At(3 * 3600));
  CHECK(StartedJobs(planner.Decide(At(3 * 3600))) == Jobs{"quiet"});
}

TEST_CASE("running accelerators of an organisation stay within its limit") {
  auto planner = MakeCell(4);
  planner.SetOrganisations({{base::OrganisationName("a"), 1, 12}});
  planner.Submit(MakeGang("first", "a", 1, 8), At(0));
  planner.Submit(MakeGang("second", "a", 1, 8), At(1));
  CHECK(StartedJobs(planner.Decide(At(2))) == Jobs{"first"});
  CHECK(planner.Explain(JobName("second"), At(2)).reason ==
        "organisation a has 8 of at most 12 accelerators running");
  CHECK(planner.Submit(MakeGang("never", "a", 2, 8), At(3))
            .find("may have only 12 running") != std::string::npos);
}

TEST_CASE("impossible gangs are refused with a reason") {
  auto planner = MakeCell(4, 2);
  CHECK(planner.Submit(MakeGang("a", "a", 1, 9), At(0))
            .find("the largest worker has 8 accelerators") !=
        std::string::npos);
  CHECK(planner.Submit(MakeGang("b", "a", 3, 8), At(0)).find("in one rack") !=
        std::string::npos);
  CHECK(planner.Submit(MakeGang("c", "a", 3, 8, Adjacency::kDomain), At(0))
            .empty());
  auto greedy = MakeGang("d", "a", 1, 1);
  greedy.needs.memory_mb = 1'000'000;
  CHECK(planner.Submit(greedy, At(0)).find("1000000 MB") != std::string::npos);
  auto fragile = MakeGang("e", "a", 1, 1);
  fragile.checkpointable = false;
  fragile.idempotent = false;
  CHECK(planner.Submit(fragile, At(0)).find("has no guarantee here") !=
        std::string::npos);
  fragile.may_be_lost = true;
  CHECK(planner.Submit(fragile, At(0)).empty());
}

TEST_CASE("a queued gang is refused when its cell loses the workers it needs") {
  auto planner = MakeCell(2);
  planner.Submit(MakeGang("first", "a", 2, 8), At(0));
  planner.Submit(MakeGang("second", "a", 2, 8), At(0));
  planner.Decide(At(0));
  planner.RemoveWorker(MakeWorker(1).name);
  const auto decisions = planner.Decide(At(1));
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<RefuseGang>(decisions[0]).job == JobName("second"));
}

TEST_CASE(
    "a gang that fitted before is refused when the workers have changed") {
  auto planner = MakeCell(2);
  CHECK(planner.Submit(MakeGang("first", "a", 2, 8), At(0)).empty());
  planner.RemoveWorker(MakeWorker(1).name);
  CHECK_FALSE(planner.Submit(MakeGang("second", "a", 2, 8), At(1)).empty());
  planner.PutWorker(MakeWorker(1));
  CHECK(planner.Submit(MakeGang("third", "a", 2, 8), At(2)).empty());
  planner.PutWorker(MakeWorker(1, 8, 4));
  CHECK_FALSE(planner.Submit(MakeGang("fourth", "a", 2, 8), At(3)).empty());
}

TEST_CASE(
    "a task that needs more than its share is charged more accelerators") {
  auto planner = MakeCell(1);
  auto gang = MakeGang("a", "a", 1, 1);
  gang.needs.memory_mb = 4 * kShareMb;
  planner.Submit(gang, At(0));
  planner.Submit(MakeGang("b", "a", 1, 8), At(1));
  planner.Submit(MakeGang("c", "a", 1, 4), At(2));
  CHECK(StartedJobs(planner.Decide(At(3))) == Jobs{"a", "c"});
  CHECK(planner.free_accelerators() == 0);
}

TEST_CASE("work that can't be stopped or repeated never borrows capacity") {
  auto planner = MakeCell(2);
  REQUIRE(planner.SetGuarantees(
              {MakeGuarantee("a", 8, Adjacency::kWorker, 1)}) == kNoProblem);
  auto claim = MakeGang("claim", "a", 1, 8);
  claim.checkpointable = false;
  claim.idempotent = false;
  auto second = claim;
  second.job = JobName("second");
  planner.Submit(claim, At(0));
  planner.Submit(second, At(0));
  const auto decisions = planner.Decide(At(1));
  REQUIRE(StartedJobs(decisions).size() == 1);
  CHECK_FALSE(std::get<StartGang>(decisions[0]).placement.borrowed);
  planner.ReportEnded(claim.job, At(100'000));
  CHECK(StartedJobs(planner.Decide(At(100'000))) == Jobs{"second"});
}

TEST_CASE("an unused block moves to free capacity instead of evicting") {
  auto planner = MakeCell(2);
  REQUIRE(planner.SetGuarantees({MakeGuarantee("owner", 8, Adjacency::kWorker,
                                               1)}) == kNoProblem);
  planner.Submit(MakeGang("borrowed", "other", 1, 8), At(0));
  planner.Decide(At(0));
  planner.Submit(MakeGang("owned", "owner", 1, 8), At(1));
  const auto decisions = planner.Decide(At(1));
  CHECK(StartedJobs(decisions) == Jobs{"owned"});
  CHECK(EvictedJobs(decisions).empty());
  CHECK(planner.CheckInvariant() == kNoProblem);
}

TEST_CASE("the gang that loses the least work is evicted") {
  auto planner = MakeCell(2);
  REQUIRE(planner.SetGuarantees({MakeGuarantee("owner", 8, Adjacency::kWorker,
                                               1)}) == kNoProblem);
  auto old = MakeGang("old", "other", 1, 8);
  old.checkpointable = false;
  auto young = MakeGang("young", "other", 1, 8);
  young.checkpointable = false;
  planner.Submit(old, At(0));
  planner.Decide(At(0));
  planner.Submit(young, At(5000));
  planner.Decide(At(5000));
  planner.Submit(MakeGang("owned", "owner", 1, 8), At(6000));
  CHECK(EvictedJobs(planner.Decide(At(6000))) == Jobs{"young"});
}

TEST_CASE("a gang that waits for evictions is not overtaken by a later one") {
  auto planner = MakeCell(1);
  REQUIRE(planner.SetGuarantees(
              {MakeGuarantee("first", 4, Adjacency::kWorker, 1),
               MakeGuarantee("later", 2, Adjacency::kWorker, 1)}) ==
          kNoProblem);
  for (int i = 0; i < 4; ++i) {
    planner.Submit(MakeGang("b" + std::to_string(i), "other", 1, 2), At(0));
  }
  planner.Decide(At(0));
  planner.Submit(MakeGang("four", "first", 1, 4), At(100));
  const auto for_four = EvictedJobs(planner.Decide(At(100)));
  REQUIRE(for_four.size() == 2);
  planner.Submit(MakeGang("two", "later", 1, 2), At(102));
  REQUIRE(EvictedJobs(planner.Decide(At(102))).size() == 1);
  planner.ReportEnded(JobName(for_four[0]), At(103));
  CHECK(StartedJobs(planner.Decide(At(103))).empty());
  planner.ReportEnded(JobName(for_four[1]), At(104));
  CHECK(StartedJobs(planner.Decide(At(104))) == Jobs{"four"});
}

TEST_CASE("evicted quiet work queues behind work that has not run yet") {
  auto planner = MakeCell(1);
  planner.SetGuarantees({MakeGuarantee("owner", 8, Adjacency::kWorker, 1)});
  auto old = MakeGang("old", "a", 1, 8);
  old.work_class = base::WorkClass::kQuiet;
  old.submitted = At(0);
  planner.Submit(old, At(0));
  CHECK(StartedJobs(planner.Decide(At(0))) == Jobs{"old"});
  auto fresh = MakeGang("fresh", "b", 1, 8);
  fresh.work_class = base::WorkClass::kQuiet;
  planner.Submit(fresh, At(5));
  planner.Submit(MakeGang("owned", "owner", 1, 8), At(10));
  CHECK(EvictedJobs(planner.Decide(At(10))) == Jobs{"old"});
  planner.ReportEnded(JobName("old"), At(12));
  planner.Submit(old, At(12));
  CHECK(StartedJobs(planner.Decide(At(12))) == Jobs{"owned"});
  planner.ReportEnded(JobName("owned"), At(60));
  CHECK(StartedJobs(planner.Decide(At(60))) == Jobs{"fresh"});
}

TEST_CASE("a small urgent gang borrows before it pins a larger block") {
  auto planner = MakeCell(2);
  planner.SetGuarantees({MakeGuarantee("owner", 8, Adjacency::kWorker, 1)});
  planner.Submit(MakeGang("other", "a", 1, 4), At(0));
  CHECK(StartedJobs(planner.Decide(At(0))) == Jobs{"other"});
  auto urgent = MakeGang("urgent", "owner", 1, 1);
  urgent.work_class = base::WorkClass::kUrgent;
  planner.Submit(urgent, At(1));
  const auto decisions = planner.Decide(At(1));
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<StartGang>(decisions[0]).placement.borrowed);
}

TEST_CASE("a gang that waits for evictions does not wait for later ones") {
  auto planner = MakeCell(1);
  planner.SetGuarantees({MakeGuarantee("first", 4, Adjacency::kWorker, 1),
                         MakeGuarantee("second", 1, Adjacency::kWorker, 1)});
  for (const auto* name : {"quiet0", "quiet1"}) {
    auto quiet = MakeGang(name, "other", 1, 2);
    quiet.work_class = base::WorkClass::kQuiet;
    planner.Submit(quiet, At(0));
  }
  planner.Submit(MakeGang("normal", "other", 1, 4), At(0));
  CHECK(StartedJobs(planner.Decide(At(0))).size() == 3);
  planner.Submit(MakeGang("claims", "first", 1, 4), At(100));
  CHECK(EvictedJobs(planner.Decide(At(100))).size() == 2);
  planner.ReportEnded(JobName("quiet0"), At(101));
  CHECK(planner.Decide(At(101)).empty());
  planner.Submit(MakeGang("later", "second", 1, 1), At(102));
  planner.Submit(MakeGang("small", "third", 1, 2), At(102));
  const auto decisions = planner.Decide(At(102));
  CHECK(EvictedJobs(decisions) == Jobs{"normal"});
  CHECK(StartedJobs(decisions).empty());
  planner.ReportEnded(JobName("quiet1"), At(103));
  CHECK(StartedJobs(planner.Decide(At(103))) == Jobs{"claims"});
}

TEST_CASE("urgent work takes over the guarantee of its own quiet work") {
  auto planner = MakeCell(2);
  REQUIRE(planner.SetGuarantees({MakeGuarantee("owner", 8, Adjacency::kWorker,
                                               1)}) == kNoProblem);
  auto quiet = MakeGang("quiet", "owner", 1, 8);
  quiet.work_class = base::WorkClass::kQuiet;
  planner.Submit(quiet, At(0));
  planner.Submit(MakeGang("other", "other", 1, 8), At(0));
  CHECK(StartedJobs(planner.Decide(At(0))).size() == 2);
  auto urgent = MakeGang("urgent", "owner", 1, 8);
  urgent.work_class = base::WorkClass::kUrgent;
  planner.Submit(urgent, At(1000));
  CHECK(EvictedJobs(planner.Decide(At(1000))).size() == 1);
  CHECK(planner.CheckInvariant() == kNoProblem);
}

TEST_CASE("many gangs that end together free whole blocks at once") {
  auto planner = MakeCell(8);
  for (int i = 0; i < 64; ++i) {
    planner.Submit(MakeGang("j" + std::to_string(i), "a", 1, 1), At(0));
  }
  planner.Submit(MakeGang("large", "b", 8, 8), At(1));
  CHECK(StartedJobs(planner.Decide(At(1))).size() == 64);
  for (int i = 0; i < 64; ++i) {
    planner.ReportEnded(JobName("j" + std::to_string(i)), At(2));
  }
  CHECK(StartedJobs(planner.Decide(At(2))) == Jobs{"large"});
}

TEST_CASE("a starving gang gets a place from gangs that never end") {
  auto planner = MakeCell(2);
  for (int i = 0; i < 4; ++i) {
    planner.Submit(MakeGang("small" + std::to_string(i), "a", 1, 4), At(0));
  }
  CHECK(StartedJobs(planner.Decide(At(0))).size() == 4);
  auto large = MakeGang("large", "b", 2, 8);
  large.declared_runtime = base::Duration(1);
  planner.Submit(large, At(10));
  CHECK(planner.Decide(At(10)).empty());
  CHECK(planner.Decide(At(300)).empty());
  const auto evicted = EvictedJobs(planner.Decide(At(3000)));
  CHECK(evicted.size() == 4);
  for (const auto& it : evicted) planner.ReportEnded(JobName(it), At(3005));
  CHECK(StartedJobs(planner.Decide(At(3005))) == Jobs{"large"});
}

TEST_CASE("a starving gang finds a place in any rack of a large cell") {
  // More racks than one decision examines.
  constexpr int kWorkers = 4000;
  for (const int healthy : {0, 1600, kWorkers - 1}) {
    auto planner = MakeCell(kWorkers);
    for (int i = 0; i < kWorkers; ++i) {
      if (i == healthy) continue;
      planner.SetHealth(MakeWorker(i).name, WorkerHealth::kDraining);
    }
    planner.Submit(MakeGang("small", "a", 1, 4), At(0));
    CHECK(StartedJobs(planner.Decide(At(0))) == Jobs{"small"});
    planner.Submit(MakeGang("large", "b", 1, 8), At(10));
    Jobs evicted;
    for (int now = 1000; now < 1100 && evicted.empty(); now += 10) {
      evicted = EvictedJobs(planner.Decide(At(now)));
    }
    CHECK(evicted == Jobs{"small"});
  }
}

TEST_CASE("a starving gang gets a place from work without checkpoints") {
  auto planner = MakeCell(1);
  auto endless = MakeGang("endless", "a", 1, 8);
  endless.checkpointable = false;
  planner.Submit(endless, At(0));
  planner.Decide(At(0));
  planner.Submit(MakeGang("waiting", "b", 1, 8), At(10));
  int now = 10;
  while (now < 48 * 3600 && EvictedJobs(planner.Decide(At(now))).empty()) {
    now += 60;
  }
  CHECK(now < 48 * 3600);
}

TEST_CASE("two starving gangs alternate with increasing run times") {
  auto planner = MakeCell(1);
  planner.Submit(MakeGang("a", "a", 1, 8), At(0));
  planner.Submit(MakeGang("b", "b", 1, 8), At(0));
  std::string running = StartedJobs(planner.Decide(At(0))).front();
  std::vector<int> run_times;
  int started = 0;
  for (int now = 10; now < 40'000; now += 10) {
    for (const auto& it : EvictedJobs(planner.Decide(At(now)))) {
      CHECK(it == running);
      planner.ReportEnded(JobName(it), At(now));
      const auto next = StartedJobs(planner.Decide(At(now)));
      REQUIRE(next.size() == 1);
      running = next.front();
      run_times.push_back(now - started);
      started = now;
      planner.Submit(MakeGang(it, it, 1, 8), At(now));
    }
  }
  REQUIRE(run_times.size() >= 6);
  CHECK(run_times.back() >= 4 * run_times.front());
}

TEST_CASE("scattered small gangs are moved together for a large one") {
  auto planner = MakeCell(3);
  const Jobs names = {"s0", "s1", "s2", "s3", "s4", "s5"};
  for (const auto& it : names) {
    planner.Submit(MakeGang(it, "a", 1, 4), At(0));
  }
  planner.Decide(At(0));
  // Frees one half of each worker.
  const auto snapshot = planner.Snapshot();
  std::vector<base::WorkerName> seen;
  for (const auto& it : snapshot.gangs) {
    const auto& worker = it.placement.tasks[0].worker;
    if (std::find(seen.begin(), seen.end(), worker) != seen.end()) continue;
    seen.push_back(worker);
    planner.ReportEnded(it.gang.job, At(100));
  }
  REQUIRE(planner.free_accelerators() == 12);
  planner.Submit(MakeGang("large", "b", 1, 8), At(100));
  CHECK(planner.Decide(At(100)).empty());
  const auto evicted = EvictedJobs(planner.Decide(At(1000)));
  REQUIRE(evicted.size() == 1);
  planner.ReportEnded(JobName(evicted[0]), At(1005));
  planner.Submit(MakeGang(evicted[0], "a", 1, 4), At(1005));
  CHECK(StartedJobs(planner.Decide(At(1005))).size() == 2);
}

TEST_CASE("the gang beyond its declared memory is evicted from a full worker") {
  auto planner = MakeCell(1);
  for (const auto* it : {"modest", "greedy"}) {
    auto gang = MakeGang(it, "a", 1, 1);
    gang.needs.memory_mb = 20'000;
    planner.Submit(gang, At(0));
    planner.Decide(At(0));
    const bool greedy = std::string(it) == "greedy";
    planner.ReportUsage(MakeWorker(0).name, 8, greedy ? 240'000 : 20'000);
  }
  CHECK(planner.Decide(At(30)).empty());
  planner.ReportUsage(MakeWorker(0).name, 8, 255'000);
  CHECK(EvictedJobs(planner.Decide(At(60))) == Jobs{"greedy"});
  planner.ReportEnded(JobName("greedy"), At(65));
  auto again = MakeGang("greedy", "a", 1, 1);
  again.needs.memory_mb = 20'000;
  REQUIRE(planner.Submit(again, At(65)).empty());
  planner.Decide(At(66));
  // The charge is based on measured, not on declared memory.
  CHECK(planner.free_accelerators() <= 1);
}

TEST_CASE("a lost worker causes a shortfall until it is healthy again") {
  auto planner = MakeCell(2);
  REQUIRE(planner.SetGuarantees(
              {MakeGuarantee("a", 16, Adjacency::kRack, 1)}) == kNoProblem);
  planner.SetHealth(MakeWorker(1).name, WorkerHealth::kUnreachable);
  REQUIRE(planner.Shortfalls().size() == 1);
  CHECK(planner.Shortfalls()[0].missing == 1);
  planner.SetHealth(MakeWorker(1).name, WorkerHealth::kHealthy);
  CHECK(planner.Shortfalls().empty());
}

}  // namespace
}  // namespace lapishatch::placement
