#include "scenario/load_run.h"

#include <catch2/catch.hpp>

namespace lapishatch::scenario {
namespace {

const std::string kPrinted =
    "failed load-0-7: 503 {}\n"
    "load_rate 12.5 requests/s\n"
    "load_status_200 3 requests\n"
    "load_work_ran 3 requests\n"
    "load_sent 4 requests\n";

TEST_CASE("what lapishatch-load printed is read") {
  const auto ends = ReadLoadEnds(kPrinted);
  CHECK(ends.sent == 4);
  CHECK(ends.ran == 3);
  CHECK(ends.text.find("rate 12.5 requests/s") != std::string::npos);
  CHECK(ends.text.find("status_200 3") != std::string::npos);
}

TEST_CASE("a load is whole when every request was answered and ran once") {
  LoadEnds ends{3, 3, ""};
  auto runs = SumRuns({{"a-0", 1}, {"a-1", 1}, {"a-2", 1}});
  CHECK(ComplaintOf(ends, runs, 0).empty());
  CHECK_FALSE(ComplaintOf(LoadEnds{}, runs, 0).empty());
  // One was not answered.
  ends.sent = 4;
  CHECK_FALSE(ComplaintOf(ends, runs, 0).empty());
  // One was answered that did not run.
  ends.ran = 4;
  CHECK_FALSE(ComplaintOf(ends, runs, 0).empty());
  // One ran twice.
  ends = {3, 3, ""};
  runs = SumRuns({{"a-0", 1}, {"a-1", 2}, {"a-2", 1}});
  CHECK_FALSE(ComplaintOf(ends, runs, 0).empty());
  CHECK(ComplaintOf(ends, runs, 1).empty());
}

}  // namespace
}  // namespace lapishatch::scenario
