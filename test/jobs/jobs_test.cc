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

TEST_CASE("a job is unchanged by encoding and decoding") {
  const auto job = MakeJob("0123456789abcdef");
  const auto read = DecodeJob(EncodeJob(job));
  REQUIRE(read);
  CHECK(*read == job);
}

TEST_CASE("malformed rows are not decoded") {
  for (const auto* text : {"", "x", "[]", R"({"steps":1})", R"({"name":2})"}) {
    CHECK_FALSE(DecodeJob(text));
  }
  CHECK_FALSE(DecodeProgress(R"({"state":1,"units":[[1]]})"));
  CHECK_FALSE(DecodeWaitingCounts("[]"));
}

TEST_CASE("completed units of a wide job are stored compactly") {
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

TEST_CASE("worker losses of the tasks of a unit are stored in its record") {
  JobProgress progress;
  UnitRecord unit;
  unit.last_run = 4;
  const SilentWorker known{base::WorkerName("i-1"), {"10.0.0.1", 80}, 17, true};
  const SilentWorker unknown{
      base::WorkerName("i-2"), {"10.0.0.2", 80}, 0, false};
  unit.losses = {{0, 2, 3, 0, 0, {}}, {5, 1, 0, 1, 2, {known, unknown}}};
  progress.units.push_back(unit);
  CHECK(DecodeProgress(EncodeProgress(progress)) == progress);
  CHECK_FALSE(DecodeProgress(
      R"({"state":1,"units":[[0,0,0,0,1,0,0,"",[],[0,1]]],"done":[]})"));
}

TEST_CASE("worker losses that an earlier version counted are read") {
  const auto progress = DecodeProgress(
      R"({"state":1,"units":[[0,0,0,0,4,0,0,"",[],[0,3,3,1,2,0]]],"done":[]})");
  REQUIRE(progress);
  const auto& losses = progress->units.at(0).losses;
  REQUIRE(losses.size() == 2);
  CHECK(losses[0] == TaskLosses{0, 2, 3, 1, 0, {}});
  CHECK(losses[1] == TaskLosses{1, 0, 0, 2, 0, {}});
}

TEST_CASE("an earlier version reads the count by which it limits a task") {
  JobProgress progress;
  UnitRecord unit;
  unit.last_run = 6;
  const SilentWorker silent{base::WorkerName("i-1"), {"10.0.0.1", 80}, 0, true};
  unit.losses = {{0, 2, 2, 0, 0, {}}, {1, 3, 0, 0, 2, {silent}}};
  progress.units.push_back(unit);
  CHECK(EncodeProgress(progress).find("[0,2,2,1,5,0]") != std::string::npos);
}

TEST_CASE("the record of a large outage fits a row") {
  JobProgress progress;
  constexpr int kTasks = 500;
  for (int i = 0; i < kTasks; ++i) {
    UnitRecord unit;
    unit.index = i;
    unit.last_run = 4;
    const auto name = "i-" + std::to_string(1'000'000'000 + i);
    for (std::uint16_t n = 0; n < 3; ++n) {
      const SilentWorker silent{
          base::WorkerName(name), {"10.100.100.100", n}, 0, true};
      if (n == 0) unit.losses.push_back({0, 0, 0, 0, 0, {}});
      unit.losses[0].silent.push_back(silent);
    }
    progress.units.push_back(unit);
  }
  constexpr std::size_t kMaxRowBytes = 65'536;
  const auto text = EncodeProgress(progress);
  CHECK(text.size() < kMaxRowBytes);
  CHECK(DecodeProgress(text)->units.size() == kTasks);
}

TEST_CASE("malformed ranges of completed units are not decoded") {
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

TEST_CASE("jobs are spread over all progress partitions of their service") {
  std::set<std::string> partitions;
  for (int i = 0; i < 200; ++i) {
    partitions.insert(ProgressPartition(
        base::ServiceName("s"), base::JobName("job" + std::to_string(i))));
  }
  const auto all = ProgressPartitions(base::ServiceName("s"));
  CHECK(partitions == std::set<std::string>(all.begin(), all.end()));
}

TEST_CASE("a queue is found by its host and the longest path prefix") {
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

struct JobServiceFixture {
  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  JobService service{store.For("entry")};
  std::optional<SubmitResult> submitted;
  std::optional<StateResult> state;
  std::optional<CancelResult> cancelled;

  JobServiceFixture() {
    service.Prepare(MakeJob("a").service);
    time.RunFor(base::Duration(100));
  }

  void Submit(const Job& job, int ms = 3'000) {
    submitted.reset();
    service.Submit(job, [this](const SubmitResult& it) { submitted = it; });
    time.RunFor(base::Duration(ms));
  }
  void ReadState(const Job& job) {
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

TEST_CASE("a job submitted repeatedly is accepted and stored once") {
  JobServiceFixture fixture;
  const auto job = MakeJob("a");
  fixture.Submit(job);
  CHECK(std::holds_alternative<JobAccepted>(*fixture.submitted));
  fixture.Submit(job);
  CHECK(std::holds_alternative<JobAccepted>(*fixture.submitted));
  CHECK(fixture.store.rows_in("requests") == 1);
  fixture.ReadState(job);
  CHECK(std::get<JobState>(*fixture.state) == JobState::kQueued);
}

TEST_CASE("a job whose write the store rejects is not accepted") {
  JobServiceFixture fixture;
  fixture.store.SetFault("entry", StoreFault::kBusy);
  fixture.Submit(MakeJob("a"));
  CHECK(std::holds_alternative<JobNotAccepted>(*fixture.submitted));
  CHECK(fixture.store.rows_in("requests") == 0);
}

TEST_CASE("a lost store response is never reported as not accepted") {
  JobServiceFixture fixture;
  const auto job = MakeJob("a");
  // The write succeeds without a response and is visible to the later read.
  fixture.store.SetFault("entry", StoreFault::kAnswersLost);
  fixture.Submit(job, 1'900);
  fixture.store.SetFault("entry", StoreFault::kNone);
  fixture.time.RunFor(base::Duration(1'000));
  CHECK(std::holds_alternative<JobAccepted>(*fixture.submitted));

  // The write takes effect only after the read, so the outcome is unknown.
  const auto other = MakeJob("b");
  fixture.store.SetFault("entry", StoreFault::kLate);
  fixture.Submit(other, 1'900);
  fixture.store.SetFault("entry", StoreFault::kNone);
  fixture.time.RunFor(base::Duration(500));
  CHECK(std::holds_alternative<JobOutcomeUnknown>(*fixture.submitted));
  fixture.time.RunFor(base::Duration(3'000));
  fixture.ReadState(other);
  CHECK(std::get<JobState>(*fixture.state) == JobState::kQueued);
}

TEST_CASE("only an existing job can be cancelled") {
  JobServiceFixture fixture;
  const auto job = MakeJob("a");
  fixture.Cancel(job);
  CHECK(std::holds_alternative<NoSuchJob>(*fixture.cancelled));
  fixture.ReadState(job);
  CHECK(std::holds_alternative<NoSuchJob>(*fixture.state));
  fixture.Submit(job);
  fixture.Cancel(job);
  CHECK(std::holds_alternative<JobCancelled>(*fixture.cancelled));
  CHECK(fixture.store.rows_in("requests") == 2);
}

}  // namespace
}  // namespace lapishatch::jobs
