#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "fakes/fakes.h"
#include "store/store.h"

namespace lapishatch::store {
namespace {

using base::Duration;

const UnknownWrite kWrite{"row", 3, base::AttemptId("mine")};

Row RowOf(const std::string& attempt, RowVersion version) {
  return {"row", R"({"attempt":")" + attempt + R"("})", version};
}

template <typename Expected>
bool Says(const ReadResult& reading) {
  return std::holds_alternative<Expected>(Interpret(kWrite, reading));
}

TEST_CASE("a reading says no more than is certain") {
  CHECK(Says<TookEffect>(RowOf("mine", 4)));
  CHECK(Says<Overtaken>(RowOf("other", 4)));
  CHECK(Says<Unchanged>(RowOf("before", 3)));
  CHECK(Says<StillUnknown>(RowOf("later", 5)));
  CHECK(Says<StillUnknown>(std::optional<Row>()));
  CHECK(Says<StillUnknown>(ReadFailed{"down"}));
  const UnknownWrite insert{"row", kAbsent, base::AttemptId("mine")};
  CHECK(std::holds_alternative<Unchanged>(
      Interpret(insert, std::optional<Row>())));
}

TEST_CASE("an attempt id is found only in its own field of an object") {
  const base::AttemptId mine("mine");
  CHECK(CarriesAttempt(R"({"attempt":"mine"})", mine));
  CHECK_FALSE(CarriesAttempt(R"({"other":"mine"})", mine));
  CHECK_FALSE(CarriesAttempt(R"({"attempt":7})", mine));
  CHECK_FALSE(CarriesAttempt("mine", mine));
  CHECK_FALSE(CarriesAttempt(R"(["mine"])", mine));
}

TEST_CASE("reading back waits for a late write and gives up in time") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  fakes::FakeProcess process(time);
  fakes::FakeTableView view(table, process);
  std::optional<ReadBackResult> result;
  const UnknownWrite write{"row", kAbsent, base::AttemptId("mine")};
  ReadBackOptions options;
  options.patience = Duration(10'000);

  SECTION("the write arrives late") {
    time.After(Duration(4'000), [&] {
      table.Apply({{{"row", kAbsent}}, {{"row", R"({"attempt":"mine"})"}}});
    });
    ReadBack(view, time, write, options,
             [&](const ReadBackResult& it) { result = it; });
    REQUIRE(
        time.RunUntil([&] { return result.has_value(); }, Duration(20'000)));
    CHECK(std::holds_alternative<TookEffect>(*result));
  }
  SECTION("the table stays down") {
    table.SetDown(true);
    const auto start = time.Now();
    ReadBack(view, time, write, options,
             [&](const ReadBackResult& it) { result = it; });
    REQUIRE(
        time.RunUntil([&] { return result.has_value(); }, Duration(20'000)));
    CHECK(std::holds_alternative<StillUnknown>(*result));
    CHECK(time.Now() - start <= options.patience);
  }
  SECTION("nothing comes") {
    ReadBack(view, time, write, options,
             [&](const ReadBackResult& it) { result = it; });
    REQUIRE(
        time.RunUntil([&] { return result.has_value(); }, Duration(20'000)));
    CHECK(std::holds_alternative<Unchanged>(*result));
  }
}

}  // namespace
}  // namespace lapishatch::store
