#include "ctl/views.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

json::value Worker(const std::string& name) {
  return {{"name", name},
          {"spec", {{"drain", false}}},
          {"status", {{"state", "live"}, {"rack", "rack-1"}}}};
}

TEST_CASE("a table lists names as people count") {
  json::array workers;
  for (const auto* it : {"worker-10", "worker-2", "b", "worker-02", "worker-1",
                         "worker-2-x", "a-18446744073709551616"}) {
    workers.push_back(Worker(it));
  }
  const auto text = TableOf("workers", workers);
  std::size_t last = 0;
  for (const auto* it :
       {"a-18446744073709551616 ", "b ", "worker-1 ", "worker-02 ", "worker-2 ",
        "worker-2-x ", "worker-10 "}) {
    const auto at = text.find("\n" + std::string(it));
    INFO(it << " in\n" << text);
    REQUIRE(at != std::string::npos);
    CHECK(at >= last);
    last = at;
  }
}

TEST_CASE("a worker's state stands in columns of its own") {
  const auto text = TableOf("workers", {Worker("w")});
  CHECK_THAT(text, Catch::Contains("RACK") && Catch::Contains("rack-1") &&
                       Catch::Contains("TAKES NEW WORK") &&
                       !Catch::Contains("state="));
}

}  // namespace
}  // namespace lapishatch::ctl
