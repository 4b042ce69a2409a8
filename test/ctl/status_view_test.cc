#include "ctl/status_view.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

namespace lapishatch::ctl {
namespace {

TEST_CASE("the status for people says what is in force and who was silent") {
  const auto text = StatusText(boost::json::parse(R"({
    "process":{"name":"e1"},
    "configuration":{"config":{"accepted":41,"in_force_in":23,"processes":24},
                     "jobs":{"accepted":7,"in_force_in":24,"processes":24}},
    "store":{"reachable_in":22,"processes":24},
    "silent":["s9"],
    "processes":[{"name":"s1","role":"scheduler","failure_domain":"hall",
      "state":"alive","answered":true,"ready":true,"table_reachable":false,
      "configuration":{"config":{"in_force":40},"jobs":{"in_force":7}},
      "cells":[{"cell":"hall","phase":"owning","epoch":3,"workers":4,
                "workers_reached":2,"queued":5,"gangs":6}]},
      {"name":"s9","state":"alive","answered":false}],
    "events":[{"process":"s1","number":703,"name":"member_suspect",
               "age_ms":4200,"text":"member=\"s9\""}]})"));
  const auto has = [&](const char* part) {
    return text.find(part) != std::string::npos;
  };
  CHECK(has("config: accepted at 41, in force in 23 of 24 processes\n"));
  CHECK(has("reached by 22 of 24"));
  CHECK(has("silent: s9\n"));
  CHECK(has("alive  yes       yes    no     40"));
  CHECK(has("alive  no        ?"));
  CHECK(has("hall  s1       owning  3      2/4"));
  CHECK(has("4 s  s1       703    member_suspect  member=\"s9\""));
}

TEST_CASE("a status of an older entry is shown as far as it goes") {
  CHECK_FALSE(StatusText(boost::json::parse(R"({"process":{}})")).empty());
}

}  // namespace
}  // namespace lapishatch::ctl
