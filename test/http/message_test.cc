#include <catch2/catch.hpp>

#include "http/http.h"

namespace lapishatch::http {
namespace {

TEST_CASE("header names compare without regard to case") {
  Headers headers{{"Content-Type", "a"}, {"X", "1"}, {"x", "2"}};
  CHECK(headers.Find("content-TYPE") == "a");
  CHECK(headers.Find("Content-Typ").empty());
  CHECK(headers.Has("CONTENT-TYPE"));
  headers.Set("x", "3");
  CHECK(headers.Find("X") == "3");
  CHECK(headers.fields().size() == 2);
}

TEST_CASE("a target is split, then decoded") {
  const auto target =
      ParseTarget("//v1/jobs/a%2Fb%20c//?since=5&x=a+b%26c&flag&=v&bad=%zz%4");
  CHECK(target.segments == std::vector<std::string>{"v1", "jobs", "a/b c"});
  CHECK(target.path == "//v1/jobs/a/b c//");
  CHECK(target.Query("since") == "5");
  CHECK(target.Query("x") == "a b&c");
  CHECK(target.Query("flag").empty());
  CHECK(target.query.size() == 5);
  CHECK(target.Query("bad") == "%zz%4");
  CHECK(ParseTarget("").segments.empty());
}

TEST_CASE("an endpoint's text can be told from a path") {
  CHECK(TextOf({"10.0.0.1", 80}) == "10.0.0.1:80");
  CHECK(TextOf({"::1", 80}) == "[::1]:80");
}

TEST_CASE("a problem escapes what it quotes and repeats the work") {
  const auto plain = MakeProblem(404, "none", "Not found", "no \"job\"\n");
  CHECK(plain.status == 404);
  CHECK(plain.body ==
        R"({"type":"about:blank#none","title":"Not found","status":404,)"
        R"("detail":"no \"job\"\n"})");
  const auto work = MakeWorkProblem(503, "full", "Full", "later",
                                    base::WorkDone::kNotRun, "r-1");
  CHECK(work.headers.Find("Lapishatch-Work") == "not-run");
  CHECK(work.body.find(R"("work":"not-run","request_id":"r-1")") !=
        std::string::npos);
}

}  // namespace
}  // namespace lapishatch::http
