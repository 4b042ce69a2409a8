#include <catch2/catch.hpp>
#include <random>
#include <sstream>

#include "api_world.h"

namespace lapishatch::entry {
namespace {

struct World {
  fakes::VirtualTime time;
  fakes::FakeTable table{time};
  Api api{time, table, 1};
};

constexpr const char* kJob =
    R"({"organisation":"o","idempotent":true,
        "gang":{"accelerators_per_task":8}})";

TEST_CASE("create, read, replace and delete, each with its ETag") {
  World world;
  auto& api = world.api;
  const auto created = api.Create("organisations/o", R"({"weight":2})");
  CHECK(created.status == 201);
  CHECK(created.headers.Find("ETag") == "\"1\"");
  const auto read = api.Call("GET", "/v1/organisations/o");
  CHECK(read.status == 200);
  CHECK(read.headers.Find("ETag") == "\"1\"");
  CHECK(BodyOf(read).at("spec").at("weight") == 2);
  // What a GET gave may be sent back.
  const auto same = api.Call("PUT", "/v1/organisations/o", read.body,
                             {{"If-Match", "\"1\""}});
  CHECK(same.status == 200);
  CHECK(same.headers.Find("ETag") == "\"1\"");
  const auto replaced =
      api.Call("PUT", "/v1/organisations/o", R"({"spec":{"weight":3}})",
               {{"If-Match", "\"1\""}, {"Lapishatch-Operator", "ana"}});
  CHECK(replaced.status == 200);
  CHECK(replaced.headers.Find("ETag") == "\"2\"");
  const auto list = BodyOf(api.Call("GET", "/v1/organisations"));
  CHECK(list.at("version") == 2);
  CHECK(list.at("items").as_array().size() == 1);
  CHECK(api.Call("DELETE", "/v1/organisations/o", "", {{"If-Match", "*"}})
            .status == 200);
  CHECK(api.Call("GET", "/v1/organisations/o").status == 404);
}

TEST_CASE("a lost race is told with the other change") {
  World world;
  auto& api = world.api;
  api.Create("organisations/o", R"({"weight":2})");
  api.Call("PUT", "/v1/organisations/o", R"({"spec":{"weight":3}})",
           {{"If-Match", "\"1\""}, {"Lapishatch-Operator", "ana"}});
  const auto lost =
      api.Call("PUT", "/v1/organisations/o", R"({"spec":{"weight":4}})",
               {{"If-Match", "\"1\""}});
  CHECK(lost.status == 412);
  CHECK(lost.headers.Find("ETag") == "\"2\"");
  CHECK(lost.headers.Find("Content-Type") == "application/problem+json");
  CHECK(BodyOf(lost).at("present_version") == 2);
  CHECK(BodyOf(lost).at("changed_by") == "ana");
  CHECK(BodyOf(lost).at("work") == "not-run");
  CHECK(api.Create("organisations/o", "{}").status == 412);
}

TEST_CASE("bad requests get the status and the words that docs/API.md names") {
  World world;
  auto& api = world.api;
  api.Create("organisations/o", "{}");
  struct Bad {
    std::string method;
    std::string target;
    std::string body;
    http::Headers headers;
    int status;
    std::string says;
  };
  const std::vector<Bad> all = {
      {"PUT", "/v1/organisations/o", "{}", {}, 428, "If-Match"},
      {"DELETE", "/v1/organisations/o", "", {}, 428, "If-Match"},
      {"PUT",
       "/v1/organisations/o",
       "{}",
       {{"If-Match", "\"1\""}, {"If-None-Match", "*"}},
       400,
       "not both"},
      {"PUT",
       "/v1/organisations/o",
       "{}",
       {{"If-Match", "one"}},
       400,
       "an ETag"},
      {"PUT",
       "/v1/organisations/o",
       "{}",
       {{"If-None-Match", "\"1\""}},
       400,
       "If-None-Match"},
      {"PUT",
       "/v1/organisations/o",
       "{",
       {{"If-Match", "\"1\""}},
       400,
       "not JSON"},
      {"PUT",
       "/v1/organisations/o",
       R"({"spec":{"wieght":1}})",
       {{"If-Match", "\"1\""}},
       400,
       "spec.wieght"},
      {"PUT",
       "/v1/organisations/o",
       R"({"spec":{"weight":0}})",
       {{"If-Match", "\"1\""}},
       400,
       "a number from"},
      {"PUT",
       "/v1/organisations/Bad%20Name",
       R"({"spec":{}})",
       {{"If-None-Match", "*"}},
       400,
       "1 to 63"},
      {"PUT",
       "/v1/organisations/new",
       R"({"spec":{}})",
       {{"If-Match", "\"1\""}},
       412,
       "not there"},
      {"PUT",
       "/v1/organisations/new",
       R"({"spec":{}})",
       {{"If-Match", "*"}},
       412,
       "not there"},
      {"DELETE",
       "/v1/organisations/new",
       "",
       {{"If-Match", "\"1\""}},
       404,
       "not there"},
      {"POST", "/v1/organisations", "", {}, 405, "GET"},
      {"PATCH", "/v1/organisations/o", "", {}, 405, "PUT"},
      {"GET", "/v1/apply", "", {}, 405, "POST"},
      {"GET", "/v1/jobs/none", "", {}, 404, "jobs/none"},
      {"GET", "/v1/jobs/none/explain", "", {}, 404, "jobs/none"},
      {"GET", "/v1/organisations/o/x", "", {}, 404, ""},
      {"GET", "/v1/workers/none", "", {}, 404, "workers/none"},
      {"PUT", "/v1/cells/mixco", "", {}, 405, "GET"},
      {"GET", "/v1/organisations?watch=true&since=x", "", {}, 400, "since"},
      {"GET", "/v1/organisations?watch=true&since=99", "", {}, 410, "list"},
      {"PUT",
       "/v1/jobs/j",
       R"({"spec":{"organisation":"p",
        "gang":{"accelerators_per_task":8}}})",
       {{"If-None-Match", "*"}},
       422,
       "one of o"},
      {"PUT",
       "/v1/jobs/j",
       R"({"spec":{"organisation":"o",
        "gang":{"tasks":9,"accelerators_per_task":8}}})",
       {{"If-None-Match", "*"}},
       422,
       "spec.gang"},
      {"PUT",
       "/v1/organisations/o",
       R"({"spec":{"guarantees":[{
        "failure_domain":"mixco","shape":{"accelerators":16,
        "adjacency":"rack"},"count":3}]}})",
       {{"If-Match", "\"1\""}},
       422,
       "spec.guarantees[0]"},
      {"PUT",
       "/v1/organisations/o",
       R"({"spec":{"guarantees":[{
        "failure_domain":"xela","shape":{"accelerators":8}}]}})",
       {{"If-Match", "\"1\""}},
       422,
       "mixco"},
      {"POST",
       "/v1/apply",
       R"({"resources":[{"kind":"organisation"}]})",
       {},
       400,
       "resources[0].kind"},
  };
  for (const auto& bad : all) {
    INFO(bad.method << ' ' << bad.target << ' ' << bad.body);
    const auto answer = api.Call(bad.method, bad.target, bad.body, bad.headers);
    CHECK(answer.status == bad.status);
    CHECK_THAT(answer.body, Catch::Contains(bad.says));
    CHECK(BodyOf(answer).at("status") == bad.status);
  }
  CHECK(api.mirror.version(config::LogId::kConfig) == 1);
  CHECK(api.mirror.version(config::LogId::kJobs) == 0);
}

TEST_CASE("guarantees that fit are accepted, and then leave no room") {
  World world;
  const auto guarantee = [](int count) {
    return R"({"guarantees":[{"failure_domain":"mixco","shape":)"
           R"({"accelerators":16,"adjacency":"rack"},"count":)" +
           std::to_string(count) + "}]}";
  };
  CHECK(world.api.Create("organisations/a", guarantee(1)).status == 201);
  CHECK(world.api.Create("organisations/b", guarantee(2)).status == 422);
  CHECK(world.api.Create("organisations/b", guarantee(1)).status == 201);
}

TEST_CASE("a job is submitted once, explained, cancelled and its end kept") {
  World world;
  auto& api = world.api;
  api.Create("organisations/o", "{}");
  const auto unsafe = api.Create(
      "jobs/j", R"({"organisation":"o","gang":{"accelerators_per_task":8}})");
  CHECK(unsafe.status == 422);
  CHECK_THAT(unsafe.body, Catch::Contains("may not run on capacity"));
  const auto submitted = api.Create("jobs/j", kJob);
  CHECK(submitted.status == 201);
  CHECK(BodyOf(submitted).at("status").at("domain") == "mixco");
  CHECK(!BodyOf(submitted).at("spec").as_object().contains("failure_domain"));
  CHECK(api.Create("jobs/j", kJob).status == 412);
  api.explainer.word = "third in the queue";
  const auto page = api.Call("GET", "/v1/jobs/j/explain");
  CHECK(page.status == 200);
  CHECK_THAT(page.body, Catch::Contains("third in the queue") &&
                            Catch::Contains("queued"));
  const auto text =
      api.Call("GET", "/v1/jobs/j/explain", "", {{"Accept", "text/plain"}});
  CHECK_THAT(text.body, Catch::StartsWith("Job j is queued.") &&
                            Catch::Contains("domain        mixco"));
  const auto changed = api.Call("PUT", "/v1/jobs/j",
                                R"({"spec":{"organisation":"o","class":"urgent",
                 "gang":{"accelerators_per_task":8}}})",
                                {{"If-Match", "\"1\""}});
  CHECK(changed.status == 409);
  const auto cancelled =
      api.Call("DELETE", "/v1/jobs/j", "", {{"If-Match", "\"1\""}});
  CHECK(cancelled.status == 202);
  CHECK(BodyOf(cancelled).at("cancel_requested") == true);
  CHECK(BodyOf(api.Call("GET", "/v1/jobs/j")).at("status").at("phase") ==
        "queued");
  CHECK(api.Call("DELETE", "/v1/organisations/o", "", {{"If-Match", "*"}})
            .status == 409);
}

TEST_CASE("an apply is all or nothing, says what it would do, and repeats") {
  World world;
  auto& api = world.api;
  const std::string apply =
      R"({"resources":[{"kind":"organisations","name":"o","spec":{}},
         {"kind":"services","name":"s","spec":{}},
         {"kind":"jobs","name":"j","spec":{"organisation":"o",
          "idempotent":true,"gang":{"accelerators_per_task":8}}}]})";
  const auto dry = api.Call("POST", "/v1/apply?dry_run=true", apply);
  CHECK(dry.status == 200);
  CHECK(BodyOf(dry).at("changes").at(2).at("change") == "created");
  CHECK(api.Call("GET", "/v1/organisations/o").status == 404);
  CHECK(api.Call("POST", "/v1/apply", apply).status == 200);
  const auto again = BodyOf(api.Call("POST", "/v1/apply", apply));
  CHECK(again.at("changes").at(0).at("change") == "unchanged");
  const auto refused =
      api.Call("POST", "/v1/apply",
               R"({"resources":[{"kind":"services","name":"t","spec":{}},
         {"kind":"organisations","name":"o","spec":{"weight":5}}]})");
  CHECK(refused.status == 412);
  CHECK_THAT(refused.body, Catch::Contains("say which version to replace"));
  CHECK(api.Call("GET", "/v1/services/t").status == 404);
}

TEST_CASE("draining a worker is a PUT of its spec") {
  World world;
  auto& api = world.api;
  const auto before = api.Call("GET", "/v1/workers/w1");
  CHECK(before.headers.Find("ETag") == "\"0\"");
  CHECK(BodyOf(before).at("spec").at("drain") == false);
  const auto drained = api.Call("PUT", "/v1/workers/w1",
                                R"({"spec":{"drain":true,"reason":"fan"}})",
                                {{"If-Match", "\"0\""}});
  CHECK(drained.status == 201);
  const auto after = BodyOf(api.Call("GET", "/v1/workers"));
  CHECK(after.at("items").at(0).at("spec").at("reason") == "fan");
  CHECK(api.Call("PUT", "/v1/workers/w1", R"({"spec":{"drain":false}})",
                 {{"If-Match", "\"1\""}})
            .status == 200);
  CHECK(api.Call("GET", "/v1/drains/w1").status == 404);
}

TEST_CASE("an outage refuses changes truthfully and serves what is in force") {
  World world;
  auto& api = world.api;
  api.Create("organisations/o", "{}");
  world.table.SetDown(true);
  const auto refused = api.Create("organisations/p", "{}");
  CHECK(refused.status == 503);
  CHECK(BodyOf(refused).at("work") == "not-run");
  CHECK(refused.headers.Has("Retry-After"));
  CHECK(api.Call("GET", "/v1/organisations/o").status == 200);
  world.table.SetDown(false);
  world.table.SetCommitFault([&](const store::Transaction&) {
    world.table.SetDown(true);
    return fakes::TableFault::kAnswerLost;
  });
  const auto unknown = api.Create("organisations/p", "{}");
  CHECK(unknown.status == 503);
  CHECK(BodyOf(unknown).at("work") == "unknown");
}

TEST_CASE("a watch streams lines, notices a client that left, ends in order") {
  World world;
  auto& api = world.api;
  api.Create("organisations/o", "{}");
  const auto first = api.Begin("GET", "/v1/organisations?watch=true&since=0");
  const auto second = api.Begin("GET", "/v1/organisations?watch=true");
  world.time.RunFor(base::Duration(1));
  REQUIRE(first->response());
  CHECK(first->response()->headers.Find("Content-Type") ==
        "application/x-ndjson");
  CHECK_THAT(first->stream(), Catch::StartsWith("{\"type\":\"put\""));
  CHECK(second->stream() == "{\"type\":\"bookmark\",\"version\":1}\n");
  second->Leave();
  world.time.RunFor(base::Duration(1));
  CHECK(api.mirror.watches() == 1);
  api.mirror.EndWatches();
  CHECK(first->ended());
  CHECK_THAT(first->stream(),
             Catch::EndsWith("{\"type\":\"bookmark\",\"version\":1}\n"));
  CHECK(api.Call("GET", "/v1/organisations?watch=true").status == 503);
}

/// The lines of a watch that tell changes; when bookmarks come is up to each
/// entry.
std::vector<std::string> ChangesIn(const std::string& stream) {
  std::istringstream in(stream);
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("{\"type\":\"bookmark\"")) out.push_back(line);
  }
  return out;
}

TEST_CASE("operators race through several entries: one wins each version") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  std::vector<std::unique_ptr<Api>> entries;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    entries.push_back(std::make_unique<Api>(time, table, i));
  }
  CHECK(entries[0]->Create("organisations/o", "{}").status == 201);
  time.RunFor(base::Duration(3'000));
  std::vector<std::shared_ptr<FakeExchange>> watches;
  watches.reserve(entries.size());
  for (const auto& it : entries) {
    watches.push_back(it->Begin("GET", "/v1/organisations?watch=true&since=0"));
  }
  std::mt19937 random(11);
  int accepted = 0;
  int lost = 0;
  for (int round = 0; round < 250; ++round) {
    std::vector<std::shared_ptr<FakeExchange>> calls;
    for (const auto& it : entries) {
      const auto present =
          it->mirror.Find({config::ResourceKind::kOrganisation, "o"});
      const auto body =
          R"({"spec":{"weight":)" + std::to_string(1 + random() % 900) + "}}";
      calls.push_back(it->Begin("PUT", "/v1/organisations/o", body,
                                {{"If-Match", ETagOf(present->version)}}));
    }
    time.RunUntil(
        [&] {
          return std::all_of(calls.begin(), calls.end(), [](const auto& it) {
            return it->response().has_value();
          });
        },
        base::Duration(60'000));
    for (const auto& it : calls) {
      const int status = it->response().value().status;
      CHECK((status == 200 || status == 412));
      accepted += status == 200;
      lost += status == 412;
    }
  }
  time.RunFor(base::Duration(3'000));
  CHECK(accepted + lost == 1'000);
  const auto version = entries[0]->mirror.version(config::LogId::kConfig);
  // A PUT of the weight that stands there already wins without a change.
  CHECK(version <= static_cast<config::LogVersion>(accepted) + 1);
  CHECK(version > 200);
  const auto expected = ChangesIn(watches[0]->stream());
  CHECK(expected.size() == version);
  for (const auto& it : watches) CHECK(ChangesIn(it->stream()) == expected);
}

}  // namespace
}  // namespace lapishatch::entry
