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

/// The decoded message, or the error's text through `error`.
template <typename T, typename Decode>
std::optional<T> Decoded(Decode decode, std::string* error = nullptr) {
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

std::string AnyText() { return *rc::gen::string<std::string>(); }

/// JSON strings hold Unicode text, so ids and texts are drawn from ASCII.
std::string AnyName() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '\x7f'));
}

TaskKey AnyKey() {
  return {base::JobName(AnyName()), base::AttemptId(AnyName()),
          *rc::gen::inRange(0, 128)};
}

base::Duration AnyLease() {
  return base::Duration(*rc::gen::inRange(0, 1'000'000'000));
}

WorkerCommand AnyCommand() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return lifecycle::ReserveTask{
          AnyKey(), *rc::gen::arbitrary<std::uint64_t>(),
          *rc::gen::inRange(0, 1'000), *rc::gen::inRange(0, 1'000'000),
          AnyLease()};
    case 1:
      return lifecycle::StartTask{
          AnyKey(), AnyLease(),
          *rc::gen::element<std::string>("", R"({"run_ms":5,"a":[1,null]})",
                                         R"("text")", "17"),
          AnyName()};
    case 2:
      return lifecycle::RenewTask{AnyKey(), AnyLease()};
    case 3:
      return lifecycle::CheckpointTask{AnyKey(), AnyName()};
    case 4:
      return lifecycle::ThrottleTask{AnyKey(), *rc::gen::inRange(0, 1'000)};
    default:
      return lifecycle::StopTask{AnyKey()};
  }
}

TaskReport AnyTask() {
  TaskReport out;
  out.key = AnyKey();
  out.state = static_cast<lifecycle::TaskState>(*rc::gen::inRange(
      0, static_cast<int>(base::kEnumSize<lifecycle::TaskState>)));
  out.accelerators = *rc::gen::arbitrary<std::uint64_t>();
  out.cores = *rc::gen::inRange(0, 1'000);
  out.memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.exit_code = *rc::gen::arbitrary<int>();
  out.detail = AnyName();
  out.checkpoint = AnyName();
  out.checkpoint_failed = *rc::gen::arbitrary<bool>();
  out.never_started = *rc::gen::arbitrary<bool>();
  return out;
}

WorkerReport AnyReport() {
  WorkerReport out;
  out.worker = base::WorkerName(AnyName());
  out.incarnation = base::Incarnation(AnyName());
  out.epoch_seen = *rc::gen::arbitrary<std::uint64_t>();
  out.rack = base::RackName(AnyName());
  out.accelerators = *rc::gen::inRange(0, 64);
  out.cores = *rc::gen::inRange(0, 256);
  out.memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.used_cores = *rc::gen::inRange(0, 256);
  out.used_memory_mb = *rc::gen::inRange(0, 1'000'000);
  out.leaving = *rc::gen::arbitrary<bool>();
  out.sequence = *rc::gen::arbitrary<std::uint64_t>();
  const auto n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i) out.tasks.push_back(AnyTask());
  return out;
}

TEST_CASE("an order survives its encoding") {
  CHECK(rc::check([] {
    WorkerOrder order{base::CellName(AnyName()),
                      *rc::gen::arbitrary<std::uint64_t>(),
                      base::Incarnation(AnyName()),
                      {}};
    const auto n = *rc::gen::inRange(0, 5);
    for (int i = 0; i < n; ++i) order.commands.push_back(AnyCommand());
    const auto text = EncodeOrder(order);
    const auto back = Decoded<WorkerOrder>([&] { return DecodeOrder(text); });
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->cell == order.cell);
    RC_ASSERT(back->epoch == order.epoch);
    RC_ASSERT(back->worker_incarnation == order.worker_incarnation);
    RC_ASSERT(back->commands.size() == order.commands.size());
    for (std::size_t i = 0; i < order.commands.size(); ++i) {
      RC_ASSERT(back->commands[i].index() == order.commands[i].index());
      RC_ASSERT(KeyOf(back->commands[i]) == KeyOf(order.commands[i]));
    }
    RC_ASSERT(EncodeOrder(*back) == text);
  }));
}

TEST_CASE("a report survives its encoding") {
  CHECK(rc::check([] {
    const auto report = AnyReport();
    const auto text = EncodeReport(report);
    const auto back = Decoded<WorkerReport>([&] { return DecodeReport(text); });
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->worker == report.worker);
    RC_ASSERT(back->leaving == report.leaving);
    RC_ASSERT(back->tasks == report.tasks);
    RC_ASSERT(EncodeReport(*back) == text);
  }));
}

TEST_CASE(
    "a report query survives its encoding, whatever bytes its names have") {
  CHECK(rc::check([] {
    ReportQuery query;
    query.since = *rc::gen::arbitrary<std::uint64_t>();
    query.incarnation = base::Incarnation(AnyText());
    query.wait = AnyLease();
    query.epoch = *rc::gen::arbitrary<std::uint64_t>();
    query.cell = base::CellName(AnyText());
    query.renew = AnyLease();
    const auto target = http::ParseTarget(EncodeReportQuery(query));
    RC_ASSERT("/" + target.segments[0] + "/" + target.segments[1] ==
              kReportPath);
    const auto back =
        Decoded<ReportQuery>([&] { return DecodeReportQuery(target); });
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->since == query.since);
    RC_ASSERT(back->incarnation == query.incarnation);
    RC_ASSERT(back->wait == query.wait);
    RC_ASSERT(back->epoch == query.epoch);
    RC_ASSERT(back->cell == query.cell);
    RC_ASSERT(back->renew == query.renew);
  }));
}

TEST_CASE("a wrong order names its first wrong field") {
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
          {"command":"dance","job":"j","attempt":"a","task":0}]})",
       "commands[0].command: must be one of reserve, start, renew, "
       "checkpoint, throttle, stop"},
  };
  for (const auto& it : cases) {
    std::string error;
    CHECK_FALSE(
        Decoded<WorkerOrder>([&] { return DecodeOrder(it.body); }, &error));
    CHECK(error == it.error);
  }
}

TEST_CASE("JSON nested too deeply is refused") {
  const std::string deep(100'000, '[');
  CHECK_FALSE(Decoded<WorkerOrder>([&] { return DecodeOrder(deep); }));
}

TEST_CASE("answers to an order survive, and nonsense is an unknown outcome") {
  const OrderDone done{{{true, ""}, {false, "overfull"}}};
  const auto response = EncodeOrderResponse(done);
  const auto back = std::get<OrderDone>(DecodeOrderResponse(response, 2));
  CHECK(back.results[0].done);
  CHECK(back.results[1].reason == "overfull");
  // One result too few or too many: nobody can say which command it was.
  CHECK(std::holds_alternative<OrderOutcomeUnknown>(
      DecodeOrderResponse(response, 1)));
  CHECK(std::holds_alternative<OrderOutcomeUnknown>(
      DecodeOrderResponse(response, 3)));

  const auto stale = EncodeOrderResponse(lifecycle::StaleEpoch{9});
  CHECK(stale.status == 409);
  CHECK(std::get<lifecycle::StaleEpoch>(DecodeOrderResponse(stale, 2))
            .epoch_seen == 9);
  const auto other = EncodeOrderResponse(
      lifecycle::IncarnationMismatch{base::Incarnation("i2")});
  CHECK(other.status == 412);
  CHECK(std::get<lifecycle::IncarnationMismatch>(DecodeOrderResponse(other, 2))
            .incarnation.str() == "i2");

  for (const int status : {200, 400, 404, 409, 412, 500, 503}) {
    for (const auto* body : {"", "{}", "[]", R"({"results":"x"})"}) {
      const http::Response nonsense{status, {}, body};
      CHECK(std::holds_alternative<OrderOutcomeUnknown>(
          DecodeOrderResponse(nonsense, 2)));
    }
  }
}

TEST_CASE("a request to a runner survives its encoding") {
  CHECK(rc::check([] {
    RunnerRequest request;
    request.id = base::RequestId("r" + std::to_string(*rc::gen::inRange(0, 9)));
    request.service = base::ServiceName("align");
    request.organisation = base::OrganisationName("bertolini");
    request.work_class = static_cast<base::WorkClass>(*rc::gen::inRange(0, 3));
    request.deadline = AnyLease();
    request.content_type = "text/plain";
    request.body = AnyText();
    const auto sent = EncodeRunnerRequest(request);
    const auto back =
        Decoded<RunnerRequest>([&] { return DecodeRunnerRequest(sent); });
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->id == request.id);
    RC_ASSERT(back->service == request.service);
    RC_ASSERT(back->organisation == request.organisation);
    RC_ASSERT(back->work_class == request.work_class);
    RC_ASSERT(back->deadline == request.deadline);
    RC_ASSERT(back->content_type == request.content_type);
    RC_ASSERT(back->body == request.body);
  }));
}

TEST_CASE("what a runner's response means") {
  const base::RequestId mine("mine");
  const RunnerLoad load{8, 3, 2, true};

  const auto answer = std::get<RunnerResponse>(DecodeRunnerResponse(
      mine, EncodeRunnerResponse(mine, {418, "x/y", "body", load})));
  CHECK(answer.status == 418);
  CHECK(answer.content_type == "x/y");
  CHECK(answer.body == "body");
  CHECK(answer.load.busy_slots == 3);
  CHECK(answer.load.waiting == 2);
  CHECK(answer.load.leaving);

  const auto refused = std::get<RunnerRefused>(
      DecodeRunnerResponse(mine, EncodeRunnerRefusal(mine, {"no slot", load})));
  CHECK(refused.load.slots == 8);

  // Another request's answer, even a refusal, says nothing of this one.
  const base::RequestId other("other");
  CHECK(std::holds_alternative<RunnerResponseLost>(DecodeRunnerResponse(
      mine, EncodeRunnerResponse(other, {200, "", "", load}))));
  CHECK(std::holds_alternative<RunnerResponseLost>(
      DecodeRunnerResponse(mine, EncodeRunnerRefusal(other, {"", load}))));
  CHECK(std::holds_alternative<RunnerResponseLost>(
      DecodeRunnerResponse(mine, http::Response{200, {}, "body"})));

  // A 503 without the runner's own word may have run.
  http::Response bare = EncodeRunnerResponse(mine, {503, "", "busy", load});
  CHECK(std::get<RunnerResponse>(DecodeRunnerResponse(mine, bare)).status ==
        503);
}

TEST_CASE("a ping's answer carries the load, and anything else is no answer") {
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
