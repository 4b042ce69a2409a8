#include "platform/standin/standin_codec.h"

#include <catch2/catch.hpp>

#include "platform/http_row_store.h"
#include "platform/http_worker_client.h"
#include "platform/job_body.h"
#include "platform/operator_rows.h"
#include "platform/worker_registrations.h"

namespace lapishatch::platform::standin {
namespace {

// The stand-in decodes what the adapter encodes and vice versa, so that a run
// against the stand-in exercises the adapter's wire format.

TEST_CASE("the stand-in decodes the adapter's transactions") {
  const store::RowTransaction sent{
      "p7", {{"t", "k", 3}}, {{"t", "k", "v"}}, {{"u", "gone"}}};
  const auto read = DecodeTransaction(EncodeTransaction(sent));
  CHECK(read.part == "p7");
  REQUIRE(read.conditions.size() == 1);
  CHECK(read.conditions[0].version == 3);
  REQUIRE(read.puts.size() == 1);
  CHECK(read.puts[0].value == "v");
  REQUIRE(read.removals.size() == 1);
  CHECK(read.removals[0].key == "gone");
}

TEST_CASE("the adapter decodes the stand-in's response to a poll order") {
  dispatch::WorkerReport report;
  report.worker_time = 482'113;
  const jobs::TaskName task{base::JobName("00ff"), 0, 1, 17};
  report.running.push_back({task, 2, "c1", 41});
  report.ended.push_back(
      {58, task, 1, dispatch::TaskOutcome::kLeaseExpired, "c0"});
  const auto response = EncodeResponse(dispatch::PollResult{report});
  CHECK(response.status == 200);
  const auto read = DecodePollResponse(response.body);
  const auto& decoded = std::get<dispatch::WorkerReport>(read);
  CHECK(decoded.worker_time == report.worker_time);
  REQUIRE(decoded.running.size() == 1);
  CHECK(decoded.running[0].task == task);
  CHECK(decoded.running[0].percent == 41);
  REQUIRE(decoded.ended.size() == 1);
  CHECK(decoded.ended[0].outcome == dispatch::TaskOutcome::kLeaseExpired);
  CHECK(decoded.ended[0].sequence_number == 58);
}

TEST_CASE("the adapter decodes the stand-in's worker and configuration rows") {
  dispatch::WorkerRegistration registration;
  registration.name = base::WorkerName("w1");
  registration.service = base::ServiceName("survey");
  registration.endpoint = {"127.0.0.1", 4000};
  registration.rack = base::RackName("r2");
  registration.labels = {"a", "r2"};
  registration.capacity = {64'000, 1'000, 8};
  registration.is_draining = true;
  registration.remaining_time = base::Duration(2'000);
  store::StoredRow row;
  row.address.key = "w1";
  row.value = EncodeWorkerRegistration(registration);
  CHECK(std::get<dispatch::WorkerRegistration>(DecodeWorkerRegistration(row)) ==
        registration);

  jobs::QueueConfiguration configuration;
  configuration.version = 7;
  jobs::Queue queue;
  queue.name = jobs::QueueName("q");
  queue.host = "h";
  queue.path_prefix = "/p/";
  queue.max_attempts = 3;
  queue.is_public = true;
  configuration.queues.push_back(queue);
  const auto read =
      DecodeQueueConfiguration(EncodeConfiguration(configuration));
  REQUIRE(read);
  CHECK(read->version == 7);
  REQUIRE(read->queues.size() == 1);
  CHECK(read->queues[0].max_attempts == 3);
  CHECK(read->queues[0].is_public);
}

TEST_CASE("the adapter decodes the stand-in's job submissions") {
  jobs::Job job;
  job.spec = "s";
  jobs::Step step;
  step.tasks = 4;
  step.is_gang = true;
  step.needs = {500, 256, 2};
  step.run_time_estimate = base::Duration(900);
  job.steps = {step, step};
  job.steps[1].depends_on = {0};
  const auto read = DecodeJobBody(EncodeJobBody(job));
  const auto& body = std::get<JobBody>(read);
  CHECK(body.spec == "s");
  CHECK(body.steps == job.steps);
}

}  // namespace
}  // namespace lapishatch::platform::standin
