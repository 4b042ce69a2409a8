// Guaranteed capacity comes back, and workers are relieved.

#include <catch2/catch.hpp>

#include "owner_rig.h"

namespace lapishatch::scheduler {
namespace {

using config::JobPhase;

constexpr base::Duration kSecond{1'000};
constexpr base::Duration kMinute{60'000};

/// Longest time from the acceptance of urgent work to its running.
constexpr base::Duration kUrgentWithin{7'100};

/// Two workers that are guaranteed to fianza, and filled by bertolini.
void Fill(OwnerRig& rig, bool checkpoint, bool idempotent) {
  CellConfiguration configuration;
  configuration.guarantees.push_back({base::OrganisationName("fianza"),
                                      {8, placement::Adjacency::kWorker},
                                      2});
  rig.feed.SetConfiguration(configuration);
  auto job = rig.Job("borrower", 2, 8, idempotent);
  job.spec.checkpoint = checkpoint;
  job.spec.payload = R"({"run_ms":600000})";
  rig.feed.Accept(job);
}

AcceptedJob Urgent(const OwnerRig& rig) {
  auto job = rig.Job("urgent", 1, 8, false);
  job.spec.organisation = base::OrganisationName("fianza");
  job.spec.work_class = base::WorkClass::kUrgent;
  job.spec.adjacency = placement::Adjacency::kWorker;
  job.spec.may_be_lost = false;
  return job;
}

TEST_CASE("urgent work starts in time, and what it evicts goes on later") {
  OwnerRig rig(2);
  const auto process = rig.StartProcess();
  Fill(rig, true, false);
  REQUIRE(rig.RunUntilPhase("borrower", JobPhase::kRunning, kSecond * 20));
  rig.feed.Accept(Urgent(rig));
  REQUIRE(rig.RunUntilPhase("urgent", JobPhase::kRunning, kUrgentWithin));
  CHECK(rig.HasPhase("borrower", JobPhase::kQueued));
  const auto checkpoint = rig.StatusOf("borrower")->checkpoint;
  CHECK_FALSE(checkpoint.empty());
  REQUIRE(rig.RunUntilPhase("urgent", JobPhase::kFinished, kMinute * 2));
  REQUIRE(rig.RunUntilPhase("borrower", JobPhase::kRunning, kMinute));
  CHECK(rig.IntentOf("borrower")->checkpoint == checkpoint);
  CHECK(rig.RunUntilPhase("borrower", JobPhase::kFinished, kMinute * 12));
}

TEST_CASE("urgent work starts in time though a checkpoint takes too long") {
  RigOptions options;
  options.workers = 2;
  options.checkpoint_time = kMinute;
  OwnerRig rig(options);
  const auto process = rig.StartProcess();
  Fill(rig, true, true);
  REQUIRE(rig.RunUntilPhase("borrower", JobPhase::kRunning, kSecond * 20));
  rig.feed.Accept(Urgent(rig));
  REQUIRE(rig.RunUntilPhase("urgent", JobPhase::kRunning, kUrgentWithin));
  CHECK(rig.StatusOf("borrower")->checkpoint.empty());
  // It is idempotent: it begins again.
  REQUIRE(rig.RunUntilPhase("borrower", JobPhase::kRunning, kMinute * 3));
}

TEST_CASE("urgent work starts in time though an order is lost on the way") {
  for (int at = 0; at < 6; ++at) {
    CAPTURE(at);
    OwnerRig rig(2);
    const auto process = rig.StartProcess();
    Fill(rig, true, true);
    REQUIRE(rig.RunUntilPhase("borrower", JobPhase::kRunning, kSecond * 20));
    int orders = 0;
    rig.workers.SetFault([&](const auto&, const auto&) {
      return orders++ == at ? fakes::OrderFault::kAnswerLost
                            : fakes::OrderFault::kNone;
    });
    rig.feed.Accept(Urgent(rig));
    CHECK(rig.RunUntilPhase("urgent", JobPhase::kRunning, kUrgentWithin));
  }
}

TEST_CASE("a worker over its cores is throttled") {
  OwnerRig rig(1);
  const auto process = rig.StartProcess();
  auto job = rig.Job("greedy", 1, 4);
  job.spec.payload = R"({"run_ms":600000,"use_cores":100})";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("greedy", JobPhase::kRunning, kSecond * 20));
  auto& model = rig.workers.model(OwnerRig::EndpointOf(0));
  int throttles = 0;
  rig.workers.SetFault([&](const auto&, const lifecycle::WorkerOrder& order) {
    for (const auto& it : order.commands) {
      const auto* throttle = std::get_if<lifecycle::ThrottleTask>(&it);
      if (throttle == nullptr) continue;
      ++throttles;
      CHECK(throttle->cores == job.spec.needs.cores);
    }
    return fakes::OrderFault::kNone;
  });
  rig.time.RunFor(kMinute);
  CHECK(throttles >= 1);
  model.Advance(rig.time.Now());
  CHECK(model.Report(0).used_cores == job.spec.needs.cores);
  CHECK(rig.RunningTasksOf("greedy") == 1);
}

TEST_CASE("a worker over its memory is relieved before it ends tasks itself") {
  OwnerRig rig(2);
  const auto process = rig.StartProcess();
  auto job = rig.Job("greedy", 1, 4);
  job.spec.checkpoint = true;
  job.spec.payload = R"({"run_ms":600000,"use_memory_mb":300000})";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("greedy", JobPhase::kRunning, kSecond * 20));
  // The worker itself would end the task twenty seconds later, and no
  // checkpoint would be there.
  REQUIRE(rig.time.RunUntil(
      [&] { return !rig.StatusOf("greedy")->checkpoint.empty(); },
      kSecond * 20));
}

}  // namespace
}  // namespace lapishatch::scheduler
