#include <boost/leaf.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "rapidcheck.h"

namespace lapishatch::backends {
namespace {

namespace leaf = boost::leaf;
using lifecycle::OrderDone;
using lifecycle::OrderOutcomeUnknown;
using lifecycle::TaskKey;
using lifecycle::TaskReport;
using lifecycle::WorkerCommand;
using lifecycle::WorkerOrder;
using lifecycle::WorkerReport;

/// Returns the decoded message. If decoding fails, returns nothing and stores
/// the error's text in `error`.
template <typename T, typename Decode>
std::optional<T> TryDecode(Decode decode, std::string* error = nullptr) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(out, decode());
        return std::optional<T>(std::move(out));
      },
      [&](const CodecError& it) -> std::optional<T> {
        if (error != nullptr) *error = TextOf(it);
        return std::nullopt;
      },
      []() -> std::optional<T> { return std::nullopt; });
}

std::string ArbitraryBytes() { return *rc::gen::string<std::string>(); }

/// Returns a string of ASCII characters, since JSON strings hold Unicode text
/// and cannot represent arbitrary bytes.
std::string ArbitraryAscii() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '\x7f'));
}

TaskKey ArbitraryTaskKey() {
  return {base::JobName(ArbitraryAscii()), base::AttemptId(ArbitraryAscii()),
          *rc::gen::inRange(0, 128)};
}

base::Duration ArbitraryDuration() {
  return base::Duration(*rc::gen::inRange(0, 1'000'000'000));
}

WorkerCommand ArbitraryCommand() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return lifecycle::ReserveTask{
          ArbitraryTaskKey(), *rc::gen::arbitrary<std::uint64_t>(),
          *rc::gen::inRange(0, 1'000), *rc::gen::inRange(0, 1'000'000),
          ArbitraryDuration()};
    case 1:
      return lifecycle::StartTask{
          ArbitraryTaskKey(), ArbitraryDuration(),
          *rc::gen::element<std::string>("", R"({"run_ms":5,"a":[1,null]})",
                                         R"("text")", "17"),
          ArbitraryAscii()};
    case 2:
      return lifecycle::RenewTask{ArbitraryTaskKey(), ArbitraryDuration()};
    case 3:
      return lifecycle::CheckpointTask{ArbitraryTaskKey(), ArbitraryAscii()};
    case 4:
      return lifecycle::ThrottleTask{ArbitraryTaskKey(),
                                     *rc::gen::inRange(0, 1'000)};
    default:
      return lifecycle::StopTask{ArbitraryTaskKey()};
  }
}

TaskReport ArbitraryTaskReport() {
  TaskReport out;
  out.key = ArbitraryTaskKey();
  out.state = static_cast<lifecycle::TaskState>(*rc::gen::inRange(
      0, static_cast<int>(base::kEnumSize<lifecycle::TaskState>)));
  out.accelerators = *rc::gen::arbitrary<std::uint64_t>();
  out.cores = *rc::gen::inRange(0, 1'000);
  out.memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.exit_code = *rc::gen::arbitrary<int>();
  out.detail = ArbitraryAscii();
  out.checkpoint = ArbitraryAscii();
  out.checkpoint_failed = *rc::gen::arbitrary<bool>();
  out.never_started = *rc::gen::arbitrary<bool>();
  return out;
}

WorkerReport ArbitraryWorkerReport() {
  WorkerReport out;
  out.worker = base::WorkerName(ArbitraryAscii());
  out.incarnation = base::Incarnation(ArbitraryAscii());
  out.epoch_seen = *rc::gen::arbitrary<std::uint64_t>();
  out.rack = base::RackName(ArbitraryAscii());
  out.accelerators = *rc::gen::inRange(0, 64);
  out.cores = *rc::gen::inRange(0, 256);
  out.memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.used_cores = *rc::gen::inRange(0, 256);
  out.used_memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.leaving = *rc::gen::arbitrary<bool>();
  out.sequence = *rc::gen::arbitrary<std::uint64_t>();
  const auto n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i) out.tasks.push_back(ArbitraryTaskReport());
  return out;
}

TEST_CASE("an order is unchanged by encoding and decoding") {
  CHECK(rc::check([] {
    WorkerOrder order{base::CellName(ArbitraryAscii()),
                      *rc::gen::arbitrary<std::uint64_t>(),
                      base::Incarnation(ArbitraryAscii()),
                      {}};
    const auto n = *rc::gen::inRange(0, 5);
    for (int i = 0; i < n; ++i) order.commands.push_back(ArbitraryCommand());
    const auto text = EncodeOrder(order);
    const auto decoded =
        TryDecode<WorkerOrder>([&] { return DecodeOrder(text); });
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->cell == order.cell);
    RC_ASSERT(decoded->epoch == order.epoch);
    RC_ASSERT(decoded->worker_incarnation == order.worker_incarnation);
    RC_ASSERT(decoded->commands.size() == order.commands.size());
    for (std::size_t i = 0; i < order.commands.size(); ++i) {
      RC_ASSERT(decoded->commands[i].index() == order.commands[i].index());
      RC_ASSERT(KeyOf(decoded->commands[i]) == KeyOf(order.commands[i]));
    }
    RC_ASSERT(EncodeOrder(*decoded) == text);
  }));
}

TEST_CASE("a report is unchanged by encoding and decoding") {
  CHECK(rc::check([] {
    const auto report = ArbitraryWorkerReport();
    const auto text = EncodeReport(report);
    const auto decoded =
        TryDecode<WorkerReport>([&] { return DecodeReport(text); });
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->worker == report.worker);
    RC_ASSERT(decoded->leaving == report.leaving);
    RC_ASSERT(decoded->tasks == report.tasks);
    RC_ASSERT(EncodeReport(*decoded) == text);
  }));
}

TEST_CASE(
    "a report query with arbitrary bytes in its names is unchanged by encoding "
    "and decoding") {
  CHECK(rc::check([] {
    ReportQuery query;
    query.since = *rc::gen::arbitrary<std::uint64_t>();
    query.incarnation = base::Incarnation(ArbitraryBytes());
    query.wait = ArbitraryDuration();
    query.epoch = *rc::gen::arbitrary<std::uint64_t>();
    query.cell = base::CellName(ArbitraryBytes());
    query.renew = ArbitraryDuration();
    const auto target = http::ParseTarget(EncodeReportQuery(query));
    RC_ASSERT("/" + target.segments[0] + "/" + target.segments[1] ==
              kReportPath);
    const auto decoded =
        TryDecode<ReportQuery>([&] { return DecodeReportQuery(target); });
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->since == query.since);
    RC_ASSERT(decoded->incarnation == query.incarnation);
    RC_ASSERT(decoded->wait == query.wait);
    RC_ASSERT(decoded->epoch == query.epoch);
    RC_ASSERT(decoded->cell == query.cell);
    RC_ASSERT(decoded->renew == query.renew);
  }));
}

TEST_CASE("the error for an invalid order names its first invalid field") {
  struct Case {
    std::string body;
    std::string error;
  };
  const std::vector<Case> cases = {
      {"{", "is not JSON"},
      {"[]", "must be an object"},
      {R"({"epoch":1,"worker_incarnation":"i","commands":[]})",
       "cell: is missing"},
      {R"({"cell":"c","epoch":-1,"worker_incarnation":"i","commands":[]})",
       "epoch: must be a whole number from 0 to 18446744073709551615"},
      {R"({"cell":"c","epoch":1.5,"worker_incarnation":"i","commands":[]})",
       "epoch: must be a whole number from 0 to 18446744073709551615"},
      {R"({"cell":"c","epoch":1,"worker_incarnation":"i","commands":{}})",
       "commands: must be an array"},
      {R"({"cell":"c","epoch":1,"worker_incarnation":"i","commands":[
          {"command":"stop","job":"j","attempt":"a","task":0},
          {"command":"stop","job":7,"attempt":"a","task":0}]})",
       "commands[1].job: must be a string"},
      {R"({"cell":"c","epoch":1,"worker_incarnation":"i","commands":[
          {"command":"unsupported","job":"j","attempt":"a","task":0}]})",
       "commands[0].command: must be one of reserve, start, renew, "
       "checkpoint, throttle, stop"},
  };
  for (const auto& it : cases) {
    std::string error;
    CHECK_FALSE(
        TryDecode<WorkerOrder>([&] { return DecodeOrder(it.body); }, &error));
    CHECK(error == it.error);
  }
}

TEST_CASE("JSON nested too deeply is rejected") {
  const std::string deep(100'000, '[');
  CHECK_FALSE(TryDecode<WorkerOrder>([&] { return DecodeOrder(deep); }));
}

TEST_CASE(
    "responses to an order are unchanged by encoding and decoding, and an "
    "invalid response is an unknown outcome") {
  const OrderDone done{{{true, ""}, {false, "no free cores"}}};
  const auto response = EncodeOrderResponse(done);
  const auto decoded = std::get<OrderDone>(DecodeOrderResponse(response, 2));
  CHECK(decoded.results[0].done);
  CHECK(decoded.results[1].reason == "no free cores");
  // If the number of results differs from the number of commands, it is unknown
  // which command each result belongs to.
  CHECK(std::holds_alternative<OrderOutcomeUnknown>(
      DecodeOrderResponse(response, 1)));
  CHECK(std::holds_alternative<OrderOutcomeUnknown>(
      DecodeOrderResponse(response, 3)));

  const auto stale = EncodeOrderResponse(lifecycle::StaleEpoch{9});
  CHECK(stale.status == 409);
  CHECK(std::get<lifecycle::StaleEpoch>(DecodeOrderResponse(stale, 2))
            .epoch_seen == 9);
  const auto mismatch = EncodeOrderResponse(
      lifecycle::IncarnationMismatch{base::Incarnation("i2")});
  CHECK(mismatch.status == 412);
  CHECK(
      std::get<lifecycle::IncarnationMismatch>(DecodeOrderResponse(mismatch, 2))
          .incarnation.str() == "i2");

  for (const int status : {200, 400, 404, 409, 412, 500, 503}) {
    for (const auto* body : {"", "{}", "[]", R"({"results":"x"})"}) {
      const http::Response invalid{status, {}, body};
      CHECK(std::holds_alternative<OrderOutcomeUnknown>(
          DecodeOrderResponse(invalid, 2)));
    }
  }
}

TEST_CASE("a request to a runner is unchanged by encoding and decoding") {
  CHECK(rc::check([] {
    RunnerRequest request;
    request.id = base::RequestId("r" + std::to_string(*rc::gen::inRange(0, 9)));
    request.service = base::ServiceName("align");
    request.organisation = base::OrganisationName("bertolini");
    request.work_class = static_cast<base::WorkClass>(*rc::gen::inRange(0, 3));
    request.deadline = ArbitraryDuration();
    request.content_type = "text/plain";
    request.body = ArbitraryBytes();
    const auto sent = EncodeRunnerRequest(request);
    const auto decoded =
        TryDecode<RunnerRequest>([&] { return DecodeRunnerRequest(sent); });
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->id == request.id);
    RC_ASSERT(decoded->service == request.service);
    RC_ASSERT(decoded->organisation == request.organisation);
    RC_ASSERT(decoded->work_class == request.work_class);
    RC_ASSERT(decoded->deadline == request.deadline);
    RC_ASSERT(decoded->content_type == request.content_type);
    RC_ASSERT(decoded->body == request.body);
  }));
}

TEST_CASE(
    "a runner's response is decoded as a response, a refusal or a lost "
    "response") {
  const base::RequestId mine("mine");
  const RunnerLoad load{8, 3, 2, true};

  const auto response = std::get<RunnerResponse>(DecodeRunnerResponse(
      mine, EncodeRunnerResponse(mine, {418, "x/y", "body", load})));
  CHECK(response.status == 418);
  CHECK(response.content_type == "x/y");
  CHECK(response.body == "body");
  CHECK(response.load.busy_slots == 3);
  CHECK(response.load.waiting == 2);
  CHECK(response.load.leaving);

  const auto refused = std::get<RunnerRefused>(
      DecodeRunnerResponse(mine, EncodeRunnerRefusal(mine, {"no slot", load})));
  CHECK(refused.load.slots == 8);

  // A response with the id of another request, or with none, does not show
  // whether this request ran, even if it is a refusal.
  const base::RequestId other("other");
  CHECK(std::holds_alternative<RunnerResponseLost>(DecodeRunnerResponse(
      mine, EncodeRunnerResponse(other, {200, "", "", load}))));
  CHECK(std::holds_alternative<RunnerResponseLost>(
      DecodeRunnerResponse(mine, EncodeRunnerRefusal(other, {"", load}))));
  CHECK(std::holds_alternative<RunnerResponseLost>(
      DecodeRunnerResponse(mine, http::Response{200, {}, "body"})));

  // A 503 response that does not state that the runner did not run the request
  // is no refusal, since the request may have run.
  http::Response unavailable =
      EncodeRunnerResponse(mine, {503, "", "busy", load});
  CHECK(std::get<RunnerResponse>(DecodeRunnerResponse(mine, unavailable))
            .status == 503);
}

TEST_CASE(
    "a ping response carries the load, and any other response counts as not "
    "reached") {
  const auto load = std::get<RunnerLoad>(
      DecodePingResponse(EncodePingResponse({8, 1, 0, false})));
  CHECK(load.slots == 8);
  CHECK(load.busy_slots == 1);
  CHECK(std::holds_alternative<RunnerNotReached>(
      DecodePingResponse(http::Response{200, {}, "hello"})));
  CHECK(std::holds_alternative<RunnerNotReached>(
      DecodePingResponse(http::Response{404, {}, ""})));
}

}  // namespace
}  // namespace lapishatch::backends
