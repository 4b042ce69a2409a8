// Gangs under faults of orders, workers and the table.

#include <catch2/catch.hpp>

#include "owner_rig.h"

namespace lapishatch::scheduler {
namespace {

using config::JobPhase;
using fakes::OrderFault;
using fakes::TableFault;

constexpr base::Duration kSecond{1'000};
constexpr base::Duration kMinute{60'000};

bool IsOver(const OwnerRig& rig, const std::string& job) {
  const auto status = rig.StatusOf(job);
  return status && config::IsFinal(status->phase);
}

/// Whether `order` has a command of kind `Command`.
template <typename Command>
bool Has(const lifecycle::WorkerOrder& order) {
  for (const auto& it : order.commands) {
    if (std::holds_alternative<Command>(it)) return true;
  }
  return false;
}

TEST_CASE("every order fault at every order leaves a gang whole or gone") {
  for (const auto fault :
       {OrderFault::kNotSent, OrderFault::kOrderLost, OrderFault::kAnswerLost,
        OrderFault::kDoubled, OrderFault::kLate}) {
    for (const bool idempotent : {true, false}) {
      // Three reservations, three starts, three renewals, some stops.
      for (int at = 0; at < 12; ++at) {
        CAPTURE(static_cast<int>(fault), idempotent, at);
        OwnerRig rig(6);
        const auto process = rig.StartProcess();
        REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
        int orders = 0;
        rig.workers.SetFault([&](const auto&, const auto&) {
          return orders++ == at ? fault : OrderFault::kNone;
        });
        rig.feed.Accept(rig.Job("job", 3, 8, idempotent));
        REQUIRE(rig.time.RunUntil([&] { return IsOver(rig, "job"); },
                                  kMinute * 10));
        rig.time.RunFor(kSecond * 30);
        CHECK(rig.RunningTasksOf("job") == 0);
        CHECK_FALSE(rig.IntentOf("job").has_value());
        const bool finished = rig.HasPhase("job", JobPhase::kFinished);
        if (idempotent) CHECK(finished);
        if (!idempotent) CHECK(rig.StartsOf("job") <= 3);
        if (finished) CHECK(rig.StartsOf("job") >= 3);
      }
    }
  }
}

TEST_CASE("a lost answer of the table at any write is read back") {
  for (const auto fault : {TableFault::kRequestLost, TableFault::kAnswerLost,
                           TableFault::kRefused, TableFault::kSlow}) {
    for (int at = 0; at < 8; ++at) {
      CAPTURE(static_cast<int>(fault), at);
      OwnerRig rig(4);
      int commits = 0;
      // The lease's own writes count too: the first is the take.
      rig.table.SetCommitFault([&](const auto&) {
        return commits++ == at ? fault : TableFault::kNone;
      });
      const auto process = rig.StartProcess();
      REQUIRE(rig.RunUntilOwning(*process, kSecond * 15));
      rig.feed.Accept(rig.Job("claim", 3, 8, false));
      REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute * 3));
      CHECK(rig.StartsOf("claim") == 3);
      CHECK_FALSE(rig.IntentOf("claim").has_value());
      CHECK(process->owner->Status().epoch <= 2);
    }
  }
}

TEST_CASE("a start that was lost on its way is proved not to have run") {
  OwnerRig rig(4);
  const auto process = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
  // Every start of the first attempt is lost.
  rig.workers.SetFault([&](const auto&, const lifecycle::WorkerOrder& order) {
    const bool first_attempt =
        rig.IntentOf("claim") && rig.IntentOf("claim")->attempts == 1;
    const bool lose = Has<lifecycle::StartTask>(order) && first_attempt;
    return lose ? OrderFault::kOrderLost : OrderFault::kNone;
  });
  rig.feed.Accept(rig.Job("claim", 2, 8, false));
  REQUIRE(rig.RunUntilPhase("claim", JobPhase::kFinished, kMinute * 5));
  CHECK(rig.StartsOf("claim") == 2);
  CHECK(rig.StatusOf("claim")->attempts > 1);
}

TEST_CASE("a dead worker stops its whole gang, and the bound holds") {
  OwnerRig rig(6);
  const auto process = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
  auto job = rig.Job("map", 3, 8);
  job.spec.payload = R"({"run_ms":3600000})";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  rig.time.RunFor(kMinute);
  const auto first_intent = *rig.IntentOf("map");
  const auto dead = rig.WorkerOf("map", 0);
  rig.workers.SetReachable(dead, false);
  const auto cut_at = rig.time.Now();
  const auto runs = [&](std::size_t task) {
    const auto worker =
        std::stoi(first_intent.members.at(task).worker.str().substr(1));
    for (const auto& it :
         rig.workers.model(OwnerRig::EndpointOf(worker)).Running()) {
      if (it.key.attempt == first_intent.attempt) return true;
    }
    return false;
  };
  REQUIRE(rig.time.RunUntil([&] { return !runs(1) && !runs(2); }, kMinute * 5));
  // A silent report ends with its wait, then is tried again.
  CHECK(rig.time.Now() - cut_at <= kSecond * 30);
  REQUIRE(rig.time.RunUntil([&] { return !runs(0); }, kMinute * 5));
  const OwnerOptions options;
  CHECK(rig.time.Now() - cut_at <= options.running_lease);
  // Idempotent: it runs again elsewhere.
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kMinute));
  CHECK(rig.IntentOf("map")->attempts == 2);
}

TEST_CASE("a worker that returns with tasks of a stopped gang is cleared") {
  OwnerRig rig(3);
  const auto process = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
  auto job = rig.Job("map", 3, 8, false);
  job.spec.payload = R"({"run_ms":3600000})";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  // Its worker has told of it long ago.
  rig.time.RunFor(kSecond * 30);
  const auto dead = rig.WorkerOf("map", 0);
  rig.workers.SetReachable(dead, false);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kUnknown, kMinute));
  // Long after the last stop that was tried, and before its lease lapses.
  rig.time.RunFor(kSecond * 5);
  REQUIRE(rig.RunningTasksOf("map") == 1);
  rig.workers.SetReachable(dead, true);
  REQUIRE(rig.time.RunUntil([&] { return rig.RunningTasksOf("map") == 0; },
                            kSecond * 12));
  CHECK(rig.StartsOf("map") == 3);
}

TEST_CASE("a restarted worker gets the epoch again before it is used") {
  OwnerRig rig(3);
  const auto process = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
  auto job = rig.Job("map", 3, 8);
  job.spec.payload = R"({"run_ms":600000})";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  const auto worker = rig.WorkerOf("map", 1);
  bool used_too_early = false;
  rig.workers.SetFault([&](const http::Endpoint& to, const auto&) {
    if (to == worker && rig.workers.model(to).epoch_seen() == 0) {
      used_too_early = true;
    }
    return OrderFault::kNone;
  });
  rig.workers.model(worker).Restart();
  REQUIRE(rig.time.RunUntil(
      [&] {
        const auto intent = rig.IntentOf("map");
        return intent && intent->attempts == 2 &&
               rig.RunningTasksOf("map") == 3;
      },
      kMinute * 2));
  CHECK(rig.workers.model(worker).epoch_seen() == 1);
  CHECK_FALSE(used_too_early);
}

TEST_CASE("what a stale owner left on a restarted worker is cleared") {
  OwnerRig rig(2);
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  rig.Kill(first);
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*second, kSecond * 20));
  auto& model = rig.workers.model(OwnerRig::EndpointOf(0));
  model.Restart();
  lifecycle::WorkerOrder stale;
  stale.epoch = 1;
  stale.worker_incarnation = model.incarnation();
  const lifecycle::TaskKey key{base::JobName("old"), base::AttemptId("old"), 0};
  stale.commands = {
      lifecycle::ReserveTask{key, 1, 1, 1, kSecond * 5},
      lifecycle::StartTask{key, kMinute * 10, R"({"run_ms":600000})", ""}};
  const auto outcome = model.Handle(stale, rig.time.Now());
  REQUIRE(std::holds_alternative<lifecycle::OrderDone>(outcome));
  REQUIRE(rig.RunningTasksOf("old") == 1);
  REQUIRE(rig.time.RunUntil([&] { return rig.RunningTasksOf("old") == 0; },
                            kSecond * 30));
  CHECK(model.epoch_seen() == 2);
}

TEST_CASE("members that finish early are recorded, and a next owner knows") {
  // What runs on the first worker ends long before what runs on the second.
  OwnerRig rig(RigOptions{2, kSecond * 20, kMinute * 2});
  auto first = rig.StartProcess();
  REQUIRE(rig.RunUntilOwning(*first, kSecond * 10));
  auto job = rig.Job("map", 2, 8, false);
  job.spec.payload = "{}";
  rig.feed.Accept(job);
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kRunning, kSecond * 10));
  REQUIRE(rig.time.RunUntil(
      [&] {
        const auto members = rig.IntentOf("map")->members;
        return members.at(0).finished != members.at(1).finished;
      },
      kSecond * 30));
  // The worker forgets it with the next report.
  const auto told = [&] {
    std::size_t n = 0;
    for (const auto& it : rig.workers.endpoints()) {
      n += rig.workers.model(it).Report(0).tasks.size();
    }
    return n;
  };
  REQUIRE(rig.time.RunUntil([&] { return told() == 1; }, kSecond * 30));
  rig.Kill(first);
  const auto second = rig.StartProcess();
  REQUIRE(rig.RunUntilPhase("map", JobPhase::kFinished, kMinute * 3));
  CHECK(rig.StartsOf("map") == 2);
}

TEST_CASE("a worker that fails everything is quarantined") {
  OwnerRig rig(5);
  const auto process = rig.StartProcess();
  rig.workers.model(OwnerRig::EndpointOf(2)).SetRefusesStarts(true);
  REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
  for (int i = 0; i < 20; ++i) {
    rig.feed.Accept(rig.Job("job" + std::to_string(i), 1, 8));
  }
  for (int i = 0; i < 20; ++i) {
    REQUIRE(rig.RunUntilPhase("job" + std::to_string(i), JobPhase::kFinished,
                              kMinute * 10));
  }
  int failed_starts = 0;
  for (int i = 0; i < 20; ++i) {
    failed_starts += rig.StartsOf("job" + std::to_string(i)) - 1;
  }
  CHECK(failed_starts >= 3);
  CHECK(failed_starts <= 8);
}

TEST_CASE("a cancellation takes effect at once in every stage") {
  for (int after_ms = 0; after_ms < 60; after_ms += 3) {
    CAPTURE(after_ms);
    OwnerRig rig(3);
    const auto process = rig.StartProcess();
    REQUIRE(rig.RunUntilOwning(*process, kSecond * 10));
    rig.feed.Accept(rig.Job("job", 3, 8, false));
    rig.time.RunFor(base::Duration(after_ms));
    rig.feed.Cancel(base::JobName("job"));
    REQUIRE(rig.RunUntilPhase("job", JobPhase::kCancelled, kSecond * 3));
    CHECK(rig.RunningTasksOf("job") == 0);
  }
}

}  // namespace
}  // namespace lapishatch::scheduler
