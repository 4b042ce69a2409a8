#include "jobs/jobs.h"

#include <catch2/catch.hpp>
#include <set>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"

namespace lapishatch::jobs {
namespace {

using fakes::StoreFault;

Job MakeJob(const std::string& name) {
  Job out;
  out.name = base::JobName(name);
  out.spec = "roof \"7\"";
  out.queue = QueueName("plans");
  out.service = base::ServiceName("survey");
  out.organisation = base::OrganisationName("crews");
  out.priority = 2;
  out.max_attempts = 4;
  out.slack_factor = 1.5;
  out.target_latency = base::Duration(250);
  out.accepted_ms = 1'700'000'000'000;
  out.schedule = {3, 1'700'000'001'000, 500};
  Step step;
  step.tasks = 5;
  step.needs = {7'500, 39'000, 8};
  step.run_time_estimate = base::Duration(2'500);
  step.supports_checkpoints = step.is_gang = step.prefers_single_rack = true;
  step.allows_speculative_copies = step.is_service = step.uses_spare_cpu = true;
  step.required_label = "a";
  step.preferred_rack = base::RackName("r1-2");
  step.max_tasks_per_worker = 2;
  out.steps = {step, step};
  out.steps[1].depends_on = {0};
  return out;
}

TEST_CASE("a job survives being written and read") {
  const auto job = MakeJob("0123456789abcdef");
  const auto read = DecodeJob(EncodeJob(job));
  REQUIRE(read);
  CHECK(*read == job);
}

TEST_CASE("rows that make no sense give nothing") {
  for (const auto* text : {"", "x", "[]", R"({"steps":1})", R"({"name":2})"}) {
    CHECK_FALSE(DecodeJob(text));
  }
  CHECK_FALSE(DecodeProgress(R"({"state":1,"units":[[1]]})"));
  CHECK_FALSE(DecodeWaitingCounts("[]"));
}

TEST_CASE("what is done of a wide job takes little of its row") {
  JobProgress progress;
  constexpr int kTasks = 400;
  constexpr int kRuns = 200;
  for (int i = 0; i < kTasks; ++i) {
    UnitRecord unit;
    unit.step = i < kTasks / 2 ? 0 : 1;
    unit.index = i % (kTasks / 2);
    unit.phase = i == kRuns ? UnitPhase::kWaiting : UnitPhase::kDone;
    if (i == kRuns) unit.last_run = 3;
    progress.units.push_back(unit);
  }
  const auto text = EncodeProgress(progress);
  CHECK(text.size() < 120);
  CHECK(DecodeProgress(text) == progress);
}

TEST_CASE("worker losses of the tasks of a unit are stored in its row") {
  JobProgress progress;
  UnitRecord unit;
  unit.last_run = 4;
  unit.losses = {{0, 2, 3}, {5, 1, 0}};
  progress.units.push_back(unit);
  CHECK(DecodeProgress(EncodeProgress(progress)) == progress);
  CHECK_FALSE(DecodeProgress(
      R"({"state":1,"units":[[0,0,0,0,1,0,0,"",[],[0,1]]],"done":[]})"));
}

TEST_CASE("ranges of units that make no sense give nothing") {
  for (const auto* text : {
           R"({"state":1,"units":[],"done":[[0,0,1]]})",
           R"({"state":1,"units":[],"done":[[0,0,1,-1]]})",
           R"({"state":1,"units":[],"done":[[0,0,1,2000000000]]})",
           R"({"state":1,"units":[],"done":[[0,"x",1,1]]})",
           R"({"state":1,"units":[],"done":[7]})",
       }) {
    INFO(text);
    CHECK_FALSE(DecodeProgress(text));
  }
}

TEST_CASE("jobs spread over all parts of their service") {
  std::set<std::string> parts;
  for (int i = 0; i < 200; ++i) {
    parts.insert(ProgressPartition(base::ServiceName("s"),
                                   base::JobName("job" + std::to_string(i))));
  }
  const auto all = ProgressPartitions(base::ServiceName("s"));
  CHECK(parts == std::set<std::string>(all.begin(), all.end()));
}

TEST_CASE("the longest prefix of the right host finds the queue") {
  QueueConfiguration configuration;
  for (const auto* prefix : {"/a/", "/a/b/", "/c/"}) {
    Queue queue;
    queue.name = QueueName(prefix);
    queue.host = prefix[1] == 'c' ? "two.example" : "one.example";
    queue.path_prefix = prefix;
    configuration.queues.push_back(queue);
  }
  QueueOrganisation crews;
  crews.name = base::OrganisationName("crews");
  crews.api_keys = {"k1", "k2"};
  configuration.organisations.push_back(crews);
  const QueueTable table(configuration);
  CHECK(table.FindQueue("one.example", "/a/b/x")->path_prefix == "/a/b/");
  CHECK(table.FindQueue("one.example:80", "/a/x")->path_prefix == "/a/");
  CHECK(table.FindQueue("one.example", "/c/x") == nullptr);
  CHECK(table.FindQueue("three.example", "/a/x") == nullptr);
  CHECK(table.FindOrganisationByKey("k2")->name.str() == "crews");
  CHECK(table.FindOrganisationByKey("") == nullptr);
}

struct World {
  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  JobService service{store.For("entry")};
  std::optional<SubmitResult> submitted;
  std::optional<StateResult> state;
  std::optional<CancelResult> cancelled;

  void Submit(const Job& job, int ms = 3'000) {
    submitted.reset();
    service.Submit(job, [this](const SubmitResult& it) { submitted = it; });
    time.RunFor(base::Duration(ms));
  }
  void Look(const Job& job) {
    service.ReadState(job.service, job.name,
                      [this](const StateResult& it) { state = it; });
    time.RunFor(base::Duration(100));
  }
  void Cancel(const Job& job) {
    service.Cancel(job.service, job.name,
                   [this](const CancelResult& it) { cancelled = it; });
    time.RunFor(base::Duration(100));
  }
};

TEST_CASE("a job is accepted once, however often it is sent") {
  World world;
  const auto job = MakeJob("a");
  world.Submit(job);
  CHECK(std::holds_alternative<JobAccepted>(*world.submitted));
  world.Submit(job);
  CHECK(std::holds_alternative<JobAccepted>(*world.submitted));
  CHECK(world.store.rows_in("requests") == 1);
  world.Look(job);
  CHECK(std::get<JobState>(*world.state) == JobState::kQueued);
}

TEST_CASE("a job that the store refused is not accepted") {
  World world;
  world.store.SetFault("entry", StoreFault::kBusy);
  world.Submit(MakeJob("a"));
  CHECK(std::holds_alternative<JobNotAccepted>(*world.submitted));
  CHECK(world.store.rows_in("requests") == 0);
}

TEST_CASE("a lost answer is never told as not accepted") {
  World world;
  const auto job = MakeJob("a");
  // Done without an answer, and readable by the time it is looked up.
  world.store.SetFault("entry", StoreFault::kAnswersLost);
  world.Submit(job, 1'900);
  world.store.SetFault("entry", StoreFault::kNone);
  world.time.RunFor(base::Duration(1'000));
  CHECK(std::holds_alternative<JobAccepted>(*world.submitted));

  // Done only later: nobody knows yet.
  const auto other = MakeJob("b");
  world.store.SetFault("entry", StoreFault::kLate);
  world.Submit(other, 1'900);
  world.store.SetFault("entry", StoreFault::kNone);
  world.time.RunFor(base::Duration(500));
  CHECK(std::holds_alternative<JobOutcomeUnknown>(*world.submitted));
  world.time.RunFor(base::Duration(3'000));
  world.Look(other);
  CHECK(std::get<JobState>(*world.state) == JobState::kQueued);
}

TEST_CASE("only a job that is there can be cancelled") {
  World world;
  const auto job = MakeJob("a");
  world.Cancel(job);
  CHECK(std::holds_alternative<NoSuchJob>(*world.cancelled));
  world.Look(job);
  CHECK(std::holds_alternative<NoSuchJob>(*world.state));
  world.Submit(job);
  world.Cancel(job);
  CHECK(std::holds_alternative<JobCancelled>(*world.cancelled));
  CHECK(world.store.rows_in("requests") == 2);
}

}  // namespace
}  // namespace lapishatch::jobs
