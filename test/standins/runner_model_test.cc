#include <catch2/catch.hpp>
#include <vector>

#include "runner/runner.h"

namespace lapishatch::standins {
namespace {

using base::Duration;
using base::TimePoint;

const TimePoint kBegin{Duration(1'000)};

RunnerModel TwoSlots() {
  RunnerModelOptions options;
  options.slots = 2;
  options.max_waiting = 1;
  return RunnerModel(options);
}

TEST_CASE("requests beyond the slots wait, beyond the queue are refused") {
  auto model = TwoSlots();
  const auto a = model.Accept(Duration(10), kBegin);
  const auto b = model.Accept(Duration(30), kBegin);
  const auto c = model.Accept(Duration(10), kBegin);
  REQUIRE((a && b && c));
  CHECK_FALSE(model.Accept(Duration(10), kBegin).has_value());
  CHECK(model.load().busy_slots == 2);
  CHECK(model.load().waiting == 1);
  CHECK(model.TakeStarted() == std::vector{*a, *b});

  CHECK(model.Advance(kBegin + Duration(9)).empty());
  CHECK(model.Advance(kBegin + Duration(10)) == std::vector{*a});
  CHECK(model.TakeStarted() == std::vector{*c});
  CHECK(model.Advance(kBegin + Duration(30)) == std::vector{*c, *b});
  CHECK_FALSE(model.NextChange().has_value());
}

TEST_CASE("waiting work begins when a slot is free, not when one looks") {
  auto model = TwoSlots();
  model.Accept(Duration(10), kBegin);
  model.Accept(Duration(10), kBegin);
  const auto c = model.Accept(Duration(10), kBegin);
  const auto ended = model.Advance(kBegin + Duration(20));
  CHECK(ended.size() == 3);
  CHECK(ended.back() == *c);
}

TEST_CASE("a leaving runner finishes what it has and takes nothing new") {
  auto model = TwoSlots();
  model.Accept(Duration(10), kBegin);
  model.SetLeaving(true);
  CHECK_FALSE(model.Accept(Duration(10), kBegin).has_value());
  CHECK(model.load().leaving);
  CHECK(model.Advance(kBegin + Duration(10)).size() == 1);
}

TEST_CASE("work that a crash took from the queue was never run") {
  auto model = TwoSlots();
  for (int i = 0; i < 3; ++i) model.Accept(Duration(10), kBegin);
  CHECK(model.TakeStarted().size() == 2);
  model.Clear();
  CHECK(model.Advance(kBegin + Duration(60)).empty());
  CHECK(model.TakeStarted().empty());
}

TEST_CASE("what a body asks of the stand-in") {
  const auto asked = BehaviourOfBody(
      R"({"service_ms":7,"status":418,"answer_bytes":3})", Duration(20));
  CHECK(asked.service_time == Duration(7));
  CHECK(asked.status == 418);
  CHECK(asked.answer_bytes == 3);
  for (const auto* body : {"", "plain", "{", R"({"service_ms":-1})",
                           R"({"service_ms":"7","status":99})"}) {
    const auto plain = BehaviourOfBody(body, Duration(20));
    CHECK(plain.service_time == Duration(20));
    CHECK(plain.status == 200);
    CHECK_FALSE(plain.answer_bytes.has_value());
  }
}

TEST_CASE("the run log counts by id and by body, within its limit") {
  RunLog log(2);
  backends::RunnerRequest request;
  for (const auto* id : {"a", "b", "b", "c"}) {
    request.id = base::RequestId(id);
    request.body = "same";
    log.Add(request);
  }
  CHECK(log.total() == 4);
  CHECK(log.RunsOfBody("same") == 4);
  CHECK(log.RunsOfBody("other") == 0);
  const auto json = log.ToJson();
  CHECK(json.at("by_request_id").as_object().size() == 2);
  CHECK(json.at("by_request_id").at("b").to_number<int>() == 2);
  CHECK(json.at("dropped").to_number<int>() == 1);
}

}  // namespace
}  // namespace lapishatch::standins
