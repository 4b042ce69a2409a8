#include "scenario/scenario_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <optional>

namespace lapishatch::scenario {
namespace {

namespace leaf = boost::leaf;

const std::string kHead = R"(title = "t"
[cluster]
domains = ["mixco"]
entry_vms = [1]
)";

std::optional<Scenario> Parse(const std::string& text, std::string& problem) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Scenario>> {
        BOOST_LEAF_AUTO(it, ParseScenario(text, "t.toml"));
        return std::optional<Scenario>(std::move(it));
      },
      [&](const ScenarioError& it) {
        problem = it.text;
        return std::optional<Scenario>();
      },
      [] { return std::optional<Scenario>(); });
}

std::string ProblemOf(const std::string& text) {
  std::string problem;
  CHECK_FALSE(Parse(text, problem).has_value());
  return problem;
}

TEST_CASE("a step becomes its action") {
  std::string problem;
  const auto scenario = Parse(kHead + R"(
[[step]]
say = "a wave"
request = "claims"
with = "claim-{n}"
key = "k-{n}"
organisation = "fianza"
times = 3
status = [200, 503]
within_ms = 500
[[step]]
job = "map"
is = "running"
[[step]]
link = "platform-mixco"
mode = "silent-open"
[[step]]
load = "claims"
as = "the checks"
organisation = "fianza"
connections = 4
at_least = 70
[[step]]
replace = ["entry-mixco-0"]
[[step]]
loaded = "the checks"
)",
                              problem);
  INFO(problem);
  REQUIRE(scenario.has_value());
  REQUIRE(scenario->steps.size() == 6);
  const auto& call = std::get<CallAction>(scenario->steps[0].action);
  REQUIRE(call.calls.size() == 3);
  CHECK(call.calls[2].request.body == "claim-2");
  CHECK(call.calls[2].request.headers.Find("Idempotency-Key") == "k-2");
  CHECK(call.expectation.status == std::vector<int>{200, 503});
  CHECK(scenario->steps[0].within == base::Duration(500));
  const auto& wait = std::get<WaitAction>(scenario->steps[1].action);
  CHECK(wait.target == "/v1/jobs/map");
  CHECK(wait.path == "status.phase");
  const auto& link = std::get<LinkAction>(scenario->steps[2].action);
  CHECK(link.mode == LinkMode::kSilentOpen);
  const auto& load = std::get<LoadAction>(scenario->steps[3].action);
  CHECK_FALSE(load.is_idempotent);
  CHECK(load.connections == 4);
  CHECK(load.least_requests == 70);
  const auto& replace = std::get<ProcessAction>(scenario->steps[4].action);
  CHECK(replace.verb == ProcessVerb::kReplace);
  const auto& loaded = std::get<LoadedAction>(scenario->steps[5].action);
  CHECK(loaded.again_at_most == 0);
}

TEST_CASE("a spec reaches the API with the values as they are written") {
  std::string problem;
  const auto scenario = Parse(kHead + R"(
[[step]]
submit = "map"
spec = {organisation = "a", gang = {tasks = 2}, weight = 1.5, borrow = true}
)",
                              problem);
  REQUIRE(scenario.has_value());
  const auto& call = std::get<CallAction>(scenario->steps[0].action);
  CHECK(call.calls[0].request.body ==
        R"({"spec":{"borrow":true,"gang":{"tasks":2},"organisation":"a",)"
        R"("weight":1.5E0}})");
}

TEST_CASE("mistakes are named with their line") {
  CHECK(ProblemOf(kHead + "[[step]]\njob = \"map\"\nis = \"x\"\nist = 1\n") ==
        "line 8: ist is not known here");
  CHECK(ProblemOf(kHead + "[[step]]\nsay = \"nothing\"\n").find("no action") !=
        std::string::npos);
  CHECK(ProblemOf(kHead + "[[step]]\nlink = \"a\"\nmode = \"off\"\n")
            .find("must be one of open, cut, silent, silent-open") !=
        std::string::npos);
  CHECK(ProblemOf("title = 3\n").find("line 1") == 0);
  CHECK(ProblemOf("title = \n").find("line 1") == 0);
}

TEST_CASE("every scenario of the project can be read") {
  int read = 0;
  const std::filesystem::path folder(LAPISHATCH_SOURCE_DIR "/scenarios");
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    INFO(it.path());
    std::string problem;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(ReadScenario(it.path().string()));
          return {};
        },
        [&](const ScenarioError& error) { problem = error.text; },
        [&] { problem = "unknown"; });
    CHECK(problem.empty());
    ++read;
  }
  CHECK(read > 0);
}

}  // namespace
}  // namespace lapishatch::scenario
