#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <sstream>

#include "fake_entry.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

struct Ran {
  int code = 0;
  std::string out;
  std::string err;
};

Ran RunWords(const ApiClientOptions& options,
             const std::vector<std::string>& words,
             const CommandOptions& command_options = {},
             const std::string& input = "") {
  ApiClient client(options);
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  Ran ran;
  ran.code = RunCommand(client, command_options, words, in, out, err);
  ran.out = out.str();
  ran.err = err.str();
  return ran;
}

const json::value kOrganisations = {
    {"version", 7},
    {"items",
     {{{"name", "antenas"}, {"version", 7}, {"spec", {{"weight", 2}}}}}}};

void AnswerList(const http::ExchangePtr& exchange, int) {
  exchange->Respond(JsonResponse(200, kOrganisations));
}

void AnswerJobThere(const http::ExchangePtr& exchange, int) {
  if (exchange->request().method == "PUT") {
    exchange->Respond(JsonResponse(412, {{"title", "Stale"}}));
    return;
  }
  exchange->Respond(JsonResponse(
      200, {{"name", "map"},
            {"version", 3},
            {"spec", {{"organisation", "antenas"}, {"class", "quiet"}}}}));
}

TEST_CASE("a call goes to the next entry when the first is dead") {
  FakeEntry entry(AnswerList);
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({DeadEndpoint(), entry.endpoint()}),
               {"get", "organisations"});
  CHECK(ran.code == 0);
  CHECK(ran.out.find("antenas") != std::string::npos);
  CHECK(ran.out.find("NAME") == 0);
  CHECK(pauses.pauses().empty());
}

TEST_CASE("a safe call waits as long as Retry-After says") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int call) {
    if (call == 0) return exchange->Respond(CannotNow("not-run", "7"));
    AnswerList(exchange, call);
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"get", "organisation"});
  CHECK(ran.code == 0);
  REQUIRE(pauses.pauses().size() == 1);
  CHECK(pauses.pauses()[0] == base::Duration(7'000));
}

TEST_CASE("tries end when the retry time is over, and every entry is named") {
  FakePauses pauses;
  const auto dead = DeadEndpoint();
  const auto ran =
      RunWords(pauses.OptionsFor({dead}), {"get", "organisations"});
  CHECK(ran.code == 1);
  CHECK(ran.err.find(http::TextOf(dead)) != std::string::npos);
  CHECK(ran.err.find("--entry") != std::string::npos);
  CHECK(pauses.pauses().size() > 5);
}

TEST_CASE("an apply whose answer is lost is not sent again") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(CannotNow("unknown", "1"));
  });
  FakePauses pauses;
  const auto ran = RunWords(pauses.OptionsFor({entry.endpoint()}),
                            {"apply", "-"}, {}, R"({"kind":"services"})");
  CHECK(ran.code == 1);
  CHECK(ran.err.find("unknown") != std::string::npos);
  CHECK(entry.requests().size() == 1);
}

TEST_CASE("an apply that was certainly not done is sent again") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int call) {
    if (call == 0) return exchange->Respond(CannotNow("not-run", ""));
    exchange->Respond(JsonResponse(200, {{"version", 8}}));
  });
  FakePauses pauses;
  const auto ran = RunWords(pauses.OptionsFor({entry.endpoint()}),
                            {"apply", "-"}, {}, R"([{"kind":"services"}])");
  CHECK(ran.code == 0);
  REQUIRE(entry.requests().size() == 2);
  CHECK(entry.requests()[1].body == R"({"resources":[{"kind":"services"}]})");
}

TEST_CASE("submitting the same job again is not an error, another job is") {
  FakeEntry entry(AnswerJobThere);
  FakePauses pauses;
  const auto options = pauses.OptionsFor({entry.endpoint()});
  const auto same =
      RunWords(options, {"submit", "-"}, {},
               R"({"name":"map","spec":{"organisation":"antenas"}})");
  CHECK(same.code == 0);
  CHECK(same.out == "was submitted before: map\n");
  const auto other =
      RunWords(options, {"submit", "-"}, {},
               R"({"name":"map","spec":{"organisation":"fianza"}})");
  CHECK(other.code == 1);
  CHECK(other.err.find("412") != std::string::npos);
}

TEST_CASE("a submission whose first answer was lost counts as done") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int call) {
    if (call == 0) return exchange->Respond(CannotNow("unknown", ""));
    AnswerJobThere(exchange, call);
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"submit", "-"}, {},
               R"({"name":"map","spec":{"class":"quiet"}})");
  CHECK(ran.code == 0);
  CHECK(ran.out == "submitted map\n");
}

TEST_CASE("a delete names the version that the operator saw") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(200, {{"name", "a"}, {"version", 5}}));
  });
  FakePauses pauses;
  const auto ran = RunWords(pauses.OptionsFor({entry.endpoint()}),
                            {"delete", "services", "a"});
  CHECK(ran.code == 0);
  REQUIRE(entry.requests().size() == 2);
  CHECK(entry.requests()[1].method == "DELETE");
  CHECK(entry.requests()[1].headers.Find("If-Match") == "\"5\"");
}

TEST_CASE("a resource that one entry has not heard of is found at another") {
  FakeEntry behind([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(404, {{"title", "No such resource"}}));
  });
  FakeEntry ahead([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(200, {{"name", "map"}, {"version", 5}}));
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({behind.endpoint(), ahead.endpoint()}),
               {"cancel", "map"});
  CHECK(ran.code == 0);
  REQUIRE(ahead.requests().size() == 2);
  CHECK(ahead.requests()[1].method == "DELETE");
}

TEST_CASE("a refusal names every problem and what to do") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(
        400, {{"title", "Not valid"},
              {"detail", "one field is wrong"},
              {"problems", {"resources[0].kind: must be one of services"}}}));
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"apply", "-"}, {}, "{}");
  CHECK(ran.code == 1);
  CHECK(ran.err.find("resources[0].kind") != std::string::npos);
  CHECK(ran.err.find("Correct the fields") != std::string::npos);
}

TEST_CASE("a problem that the detail names is not told twice") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(
        422, {{"title", "Not valid"},
              {"detail", "jobs/big: spec.gang: too large"},
              {"problems",
               json::array{{{"field", "spec.gang"}, {"detail", "too large"}},
                           {{"field", "spec.class"}, {"detail", "odd"}}}}}));
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"apply", "-"}, {}, "{}");
  CHECK(ran.err.find("too large") == ran.err.rfind("too large"));
  CHECK(ran.err.find("\n  spec.class: odd") != std::string::npos);
}

TEST_CASE("a dry run says what would change") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(
        JsonResponse(200, {{"dry_run", true},
                           {"changes", json::array{{{"kind", "services"},
                                                    {"name", "align"},
                                                    {"change", "created"}}}}}));
  });
  FakePauses pauses;
  CommandOptions options;
  options.dry_run = true;
  const auto ran = RunWords(pauses.OptionsFor({entry.endpoint()}),
                            {"apply", "-"}, options, "{}");
  CHECK(entry.requests().at(0).target == "/v1/apply?dry_run=true");
  CHECK(ran.out == "would be accepted\n  services/align created\n");
}

TEST_CASE("a change is made in the operator's name") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(201, {{"name", "w"}}));
  });
  FakePauses pauses;
  CommandOptions options;
  options.operator_name = "ana";
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"drain", "w"}, options);
  CHECK(ran.code == 0);
  CHECK(entry.requests().at(0).headers.Find("Lapishatch-Operator") == "ana");
}

TEST_CASE("an explanation is a page for people") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(
        200, {{"name", "map"}, {"explanation", "Job map is queued.\n"}}));
  });
  FakePauses pauses;
  const auto ran =
      RunWords(pauses.OptionsFor({entry.endpoint()}), {"explain", "map"});
  CHECK(ran.out == "Job map is queued.\n");
}

TEST_CASE("bad usage is told and ends with 2") {
  FakePauses pauses;
  const auto options = pauses.OptionsFor({DeadEndpoint()});
  CHECK(RunWords(options, {}).code == 2);
  CHECK(RunWords(options, {"gets"}).code == 2);
  CHECK(RunWords(options, {"get"}).code == 2);
  CHECK(RunWords(options, {"get", "jobses"}).err.find("jobs") !=
        std::string::npos);
  const auto file = RunWords(options, {"apply", "-"}, {}, "{\n\"a\": ]");
  CHECK(file.code == 2);
  CHECK(file.err.find("-:2: not JSON") != std::string::npos);
}

TEST_CASE("json output is what the API said") {
  FakeEntry entry(AnswerList);
  FakePauses pauses;
  CommandOptions options;
  options.output = Output::kJson;
  const auto ran = RunWords(pauses.OptionsFor({entry.endpoint()}),
                            {"get", "organisations"}, options);
  CHECK(json::parse(ran.out) == kOrganisations);
}

}  // namespace
}  // namespace lapishatch::ctl
