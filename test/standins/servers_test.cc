#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "backends/backends.h"
#include "runner/runner.h"
#include "worker/worker.h"

namespace lapishatch::standins {
namespace {

using backends::RunnerNotReached;
using backends::RunnerOutcome;
using backends::RunnerRefused;
using backends::RunnerResponse;
using backends::RunnerResponseLost;
using base::Duration;

constexpr std::chrono::seconds kLimit{20};

/// Threads that serve, and a client of its own for each protocol.
struct Bench {
  Bench() {
    threads.emplace_back([this] { io.run(); });
    threads.emplace_back([this] { io.run(); });
  }
  ~Bench() {
    io.stop();
    threads.clear();
  }

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      boost::asio::make_work_guard(io)};
  http::Client client{io, http::ClientLimits{}};
  std::vector<std::jthread> threads;
};

/// The result of a call that ends in a callback.
template <typename T, typename Call>
T Await(Call call) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  call([promise](T result) { promise->set_value(std::move(result)); });
  REQUIRE(future.wait_for(kLimit) == std::future_status::ready);
  return future.get();
}

/// Repeats a call until its result is a T: a port that closes or opens does so
/// a little after the fault was put on.
template <typename T, typename Call>
T Until(Call call) {
  const auto limit = std::chrono::steady_clock::now() + kLimit;
  while (std::chrono::steady_clock::now() < limit) {
    auto result = call();
    if (auto* it = std::get_if<T>(&result)) return std::move(*it);
  }
  FAIL("the expected result never came");
  std::abort();
}

struct RunnerBench : Bench {
  RunnerBench() {
    options.name = "r";
    options.service = base::ServiceName("align");
    options.service_time = Duration(1);
    server = std::make_unique<RunnerServer>(io, http::Endpoint{"127.0.0.1", 0},
                                            options, 64, log);
  }
  ~RunnerBench() {
    io.stop();
    threads.clear();
  }

  RunnerOutcome Send(std::string body, Duration deadline = Duration(10'000)) {
    backends::RunnerRequest request;
    request.id = base::RequestId("id-" + std::to_string(++sent));
    request.service = options.service;
    request.deadline = deadline;
    request.body = std::move(body);
    return Await<RunnerOutcome>([&](auto done) {
      runners->Send(server->endpoint(), std::move(request), done);
    });
  }

  backends::PingResult Ping() {
    return Await<backends::PingResult>([&](auto done) {
      runners->Ping(server->endpoint(), Duration(2'000), done);
    });
  }

  /// Puts a fault on and waits until it is in force.
  void Fault(RunnerFault fault, Duration time = Duration(0)) {
    server->Apply(fault, time);
    Await<boost::json::object>([&](auto done) { server->Stats(done); });
    // A connection of before a crash may not yet be known to be broken.
    client.Forget(server->endpoint());
  }

  RunLog log{1'000};
  RunnerModelOptions options;
  std::unique_ptr<RunnerServer> server;
  std::unique_ptr<backends::RunnerClient> runners{
      backends::MakeHttpRunnerClient(client)};
  int sent = 0;
};

TEST_CASE("a runner's whole answer comes back, byte for byte") {
  RunnerBench it;
  const std::string body("a\0b\r\n\xff", 6);
  const auto answer = std::get<RunnerResponse>(it.Send(body));
  CHECK(answer.status == 200);
  CHECK(answer.body == body);
  CHECK(answer.load.slots == 8);
  CHECK(it.log.total() == 1);
}

TEST_CASE("a refusal is the runner's own word, and nothing ran") {
  RunnerBench it;
  it.Fault(RunnerFault::kRefuse);
  CHECK(std::holds_alternative<RunnerRefused>(it.Send("x")));
  it.Fault(RunnerFault::kNone);
  it.Fault(RunnerFault::kLeave);
  const auto refused = std::get<RunnerRefused>(it.Send("x"));
  CHECK(refused.load.leaving);
  CHECK(it.log.total() == 0);
}

TEST_CASE("a request of another service is not taken for run") {
  RunnerBench it;
  backends::RunnerRequest request;
  request.id = base::RequestId("id");
  request.service = base::ServiceName("other");
  request.deadline = Duration(10'000);
  const auto outcome = Await<RunnerOutcome>([&](auto done) {
    it.runners->Send(it.server->endpoint(), request, done);
  });
  CHECK(std::holds_alternative<RunnerRefused>(outcome));
}

TEST_CASE("a runner that nobody listens for was not reached") {
  RunnerBench it;
  it.Fault(RunnerFault::kKill);
  Until<RunnerNotReached>([&] { return it.Send("x"); });
  CHECK(std::holds_alternative<RunnerNotReached>(it.Ping()));
  CHECK(it.log.total() == 0);
  it.Fault(RunnerFault::kNone);
  Until<RunnerResponse>([&] { return it.Send("x"); });
  CHECK(it.log.total() == 1);
}

TEST_CASE(
    "after a byte was sent a lost answer is lost, whether it ran or not") {
  RunnerBench it;
  it.Fault(RunnerFault::kLoseAnswers);
  const auto lost = std::get<RunnerResponseLost>(it.Send("ran", Duration(300)));
  CHECK(lost.timed_out);
  CHECK(it.log.RunsOfBody("ran") == 1);
  it.Fault(RunnerFault::kNone);
  it.Fault(RunnerFault::kSilent);
  CHECK(std::get<RunnerResponseLost>(it.Send("not", Duration(300))).timed_out);
  CHECK(it.log.RunsOfBody("not") == 0);
  it.Fault(RunnerFault::kNone);
  it.Fault(RunnerFault::kCrashBefore);
  CHECK(std::holds_alternative<RunnerResponseLost>(it.Send("before")));
  CHECK(it.log.RunsOfBody("before") == 0);
  it.Fault(RunnerFault::kNone);
  Until<backends::RunnerLoad>([&] { return it.Ping(); });
  it.Fault(RunnerFault::kCrashAfter);
  CHECK(std::holds_alternative<RunnerResponseLost>(it.Send("after")));
  CHECK(it.log.RunsOfBody("after") == 1);
}

TEST_CASE("a runner that fails everything quickly is run and answered") {
  RunnerBench it;
  it.Fault(RunnerFault::kFailFast);
  CHECK(std::get<RunnerResponse>(it.Send("x")).status == 500);
  CHECK(it.log.total() == 1);
}

TEST_CASE("an answer that belongs to another request is lost") {
  Bench it;
  http::Server crossed(it.io, {"127.0.0.1", 0}, {},
                       [](const http::ExchangePtr& exchange) {
                         exchange->Respond(backends::EncodeRunnerResponse(
                             base::RequestId("theirs"), {200, "", "x", {}}));
                       });
  crossed.Start();
  const auto runners = backends::MakeHttpRunnerClient(it.client);
  backends::RunnerRequest request;
  request.id = base::RequestId("mine");
  request.service = base::ServiceName("align");
  request.deadline = Duration(10'000);
  const auto outcome = Await<RunnerOutcome>(
      [&](auto done) { runners->Send(crossed.endpoint(), request, done); });
  CHECK_FALSE(std::get<RunnerResponseLost>(outcome).timed_out);
}

TEST_CASE("a reset connection does not keep a runner from the next request") {
  RunnerBench it;
  CHECK(std::holds_alternative<RunnerResponse>(it.Send("x")));
  it.Fault(RunnerFault::kReset);
  Until<RunnerResponse>([&] { return it.Send("y"); });
  CHECK(it.log.RunsOfBody("y") == 1);
}

struct WorkerBench : Bench {
  WorkerBench() {
    WorkerModelOptions options;
    options.name = base::WorkerName("w");
    options.usage_lag = Duration(0);
    options.checkpoint_time = Duration(1);
    options.external_checkpoints = true;
    server = std::make_unique<WorkerServer>(io, http::Endpoint{"127.0.0.1", 0},
                                            options, objects);
    backends::HttpWorkerOptions times;
    times.order_timeout = Duration(500);
    workers = backends::MakeHttpWorkerClient(client, times);
  }
  ~WorkerBench() {
    io.stop();
    threads.clear();
  }

  lifecycle::OrderOutcome Order(
      std::vector<lifecycle::WorkerCommand> commands) {
    return Await<lifecycle::OrderOutcome>([&](auto done) {
      workers->Send(server->endpoint(),
                    {base::CellName("c"), epoch, incarnation, commands}, done);
    });
  }

  backends::ReportResult Report(std::uint64_t since, Duration wait) {
    backends::ReportQuery query;
    query.since = since;
    query.incarnation = incarnation;
    query.wait = wait;
    query.epoch = epoch;
    return Await<backends::ReportResult>([&](auto done) {
      workers->FetchReport(server->endpoint(), query, done);
    });
  }

  lifecycle::WorkerReport Learn() {
    auto report = std::get<lifecycle::WorkerReport>(Report(0, Duration(0)));
    incarnation = report.incarnation;
    return report;
  }

  bool Runs(const std::string& payload, const std::string& attempt = "a") {
    key.attempt = base::AttemptId(attempt);
    const auto outcome = Order(
        {lifecycle::ReserveTask{key, 1, 1, 1, Duration(5'000)},
         lifecycle::StartTask{key, Duration(60'000), payload, checkpoint}});
    return std::get<lifecycle::OrderDone>(outcome).results.at(1).done;
  }

  void Fault(WorkerFault fault, Duration time = Duration(0)) {
    server->Apply(fault, time);
    Await<boost::json::object>([&](auto done) { server->Stats(done); });
    // A connection of before a crash may not yet be known to be broken.
    client.Forget(server->endpoint());
  }

  MemoryObjectStore objects;
  std::unique_ptr<WorkerServer> server;
  std::unique_ptr<backends::WorkerClient> workers;
  base::Incarnation incarnation;
  lifecycle::Epoch epoch = 1;
  lifecycle::TaskKey key{base::JobName("j"), base::AttemptId("a"), 0};
  std::string checkpoint;
};

TEST_CASE("a worker runs a task and tells its end to the waiting report") {
  WorkerBench it;
  it.Learn();
  REQUIRE(it.Runs(R"({"run_ms":50,"exit_code":4})"));
  auto report =
      std::get<lifecycle::WorkerReport>(it.Report(0, Duration(10'000)));
  while (report.tasks.empty() ||
         report.tasks.at(0).state == lifecycle::TaskState::kRunning) {
    report = std::get<lifecycle::WorkerReport>(
        it.Report(report.sequence, Duration(10'000)));
  }
  CHECK(report.tasks.at(0).state == lifecycle::TaskState::kFailed);
  CHECK(report.tasks.at(0).exit_code == 4);
}

TEST_CASE("a report without news comes at the end of its wait") {
  WorkerBench it;
  const auto since = it.Learn().sequence;
  const auto began = std::chrono::steady_clock::now();
  CHECK(std::holds_alternative<lifecycle::WorkerReport>(
      it.Report(since, Duration(120))));
  CHECK(std::chrono::steady_clock::now() - began >=
        std::chrono::milliseconds(120));
}

TEST_CASE("epochs and incarnations are refused over HTTP as in the model") {
  WorkerBench it;
  it.Learn();
  it.epoch = 5;
  CHECK(std::holds_alternative<lifecycle::OrderDone>(it.Order({})));
  it.epoch = 4;
  CHECK(std::get<lifecycle::StaleEpoch>(it.Order({})).epoch_seen == 5);
  it.epoch = 5;
  it.Fault(WorkerFault::kRestart);
  const auto other =
      Until<lifecycle::IncarnationMismatch>([&] { return it.Order({}); });
  CHECK(other.incarnation != it.incarnation);
  CHECK(it.Learn().incarnation == other.incarnation);
}

TEST_CASE("a lost answer leaves the order's outcome unknown, and done") {
  WorkerBench it;
  it.Learn();
  it.Fault(WorkerFault::kLoseAnswers);
  const auto outcome =
      it.Order({lifecycle::ReserveTask{it.key, 1, 1, 1, Duration(60'000)}});
  CHECK(std::holds_alternative<lifecycle::OrderOutcomeUnknown>(outcome));
  it.Fault(WorkerFault::kNone);
  CHECK(it.Learn().tasks.size() == 1);
}

TEST_CASE("a dead worker is not sent to, and comes back as another") {
  WorkerBench it;
  it.Learn();
  const auto before = it.incarnation;
  it.Fault(WorkerFault::kKill);
  Until<lifecycle::OrderNotSent>([&] { return it.Order({}); });
  CHECK(std::holds_alternative<backends::ReportFailed>(
      it.Report(0, Duration(0))));
  it.Fault(WorkerFault::kNone);
  const auto report =
      Until<lifecycle::WorkerReport>([&] { return it.Report(0, Duration(0)); });
  CHECK(report.incarnation != before);
}

TEST_CASE("a silent worker carries nothing out") {
  WorkerBench it;
  it.Learn();
  it.Fault(WorkerFault::kSilent);
  CHECK(std::holds_alternative<lifecycle::OrderOutcomeUnknown>(
      it.Order({lifecycle::ReserveTask{it.key, 1, 1, 1, Duration(60'000)}})));
  it.Fault(WorkerFault::kNone);
  CHECK(it.Learn().tasks.empty());
}

TEST_CASE("a paused worker carries out late what it was sent") {
  WorkerBench it;
  it.Learn();
  it.Fault(WorkerFault::kPause);
  CHECK(std::holds_alternative<lifecycle::OrderOutcomeUnknown>(
      it.Order({lifecycle::ReserveTask{it.key, 1, 1, 1, Duration(60'000)}})));
  it.Fault(WorkerFault::kNone);
  CHECK(it.Learn().tasks.size() == 1);
}

TEST_CASE("a checkpoint goes through the object store to another attempt") {
  WorkerBench it;
  it.Learn();
  REQUIRE(it.Runs(R"({"run_ms":600000})"));
  const auto done = std::get<lifecycle::OrderDone>(
      it.Order({lifecycle::CheckpointTask{it.key, "o"}}));
  REQUIRE(done.results.at(0).done);
  auto report = it.Learn();
  while (report.tasks.at(0).checkpoint.empty()) {
    report = std::get<lifecycle::WorkerReport>(
        it.Report(report.sequence, Duration(10'000)));
    if (report.tasks.empty()) report = it.Learn();
  }
  CHECK(report.tasks.at(0).checkpoint == "o");
  it.Order({lifecycle::StopTask{it.key}});
  it.checkpoint = "o";
  CHECK(it.Runs(R"({"run_ms":600000})", "b"));
  it.Order({lifecycle::StopTask{it.key}});
  it.checkpoint = "nowhere";
  CHECK(it.Runs(R"({"run_ms":600000})", "c"));
  bool failed = false;
  while (!failed) {
    for (const auto& task : it.Learn().tasks) {
      failed = failed || task.detail == "checkpoint cannot be read";
    }
  }
  CHECK(failed);
}

TEST_CASE("malformed orders and queries are refused with the field") {
  WorkerBench it;
  const auto send = [&](http::Request request) {
    return std::get<http::Response>(Await<http::ClientResult>([&](auto done) {
      it.client.Send(it.server->endpoint(), std::move(request),
                     Duration(10'000), done);
    }));
  };
  http::Request order;
  order.method = "POST";
  order.target = backends::kOrdersPath;
  order.body = R"({"cell":"c","epoch":"x"})";
  CHECK(send(order).status == 400);
  CHECK(send(order).body.find("epoch") != std::string::npos);
  http::Request report;
  report.target = "/v1/report?since=-1";
  CHECK(send(report).status == 400);
  report.target = "/v1/nothing";
  CHECK(send(report).status == 404);
}

}  // namespace
}  // namespace lapishatch::standins
