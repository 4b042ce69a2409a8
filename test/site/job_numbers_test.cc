#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "entry_world.h"
#include "platform/job_body.h"

namespace lapishatch::platform {
namespace {

/// Why the body is rejected; empty if it is accepted.
std::string ProblemOf(const std::string& body) {
  const auto read = DecodeJobBody(body);
  const auto* problem = std::get_if<BodyProblem>(&read);
  return problem == nullptr ? std::string() : problem->detail;
}

/// A body with these members of its only step, and these of the job.
std::string BodyWith(const std::string& step, const std::string& job = "") {
  return R"({"spec":"s","steps":[{)" + step + "}]" +
         (job.empty() ? "" : "," + job) + "}";
}

struct MemberLimits {
  std::string member;
  std::string smallest;
  std::string largest;
  std::string too_large;
  bool is_of_step = true;
};

/// Guards against a number of a caller that is accepted beyond its limit.
TEST_CASE("each number of a job is rejected beyond its limits, by its name") {
  const std::vector<MemberLimits> members = {
      {"count", "1", "1500", "1501"},
      {"cpu", "0", "2147483647", "2147483648"},
      {"mem-mb", "0", "2147483647", "2147483648"},
      {"gpu", "0", "2147483647", "2147483648"},
      {"estimate-ms", "0", "2147483647", "2147483648"},
      {"max-per-server", "0", "2147483647", "2147483648"},
      {"repeat-count", "0", "1500", "2147483648", false},
      {"start-at-ms", "0", "9223372036854775807", "9223372036854775808", false},
      {"interval-ms", "0", "2147483647", "2147483648", false},
  };
  for (const auto& it : members) {
    const auto problem = [&it](const std::string& value) {
      const auto text = '"' + it.member + "\":" + value;
      return it.is_of_step
                 ? ProblemOf(BodyWith(
                       it.member == "count" ? text : "\"count\":1," + text))
                 : ProblemOf(BodyWith(R"("count":1)", text));
    };
    INFO(it.member);
    CHECK(problem(it.smallest).empty());
    CHECK(problem(it.largest).empty());
    const auto is_named = [&](const std::string& value) {
      const auto text = problem(value);
      return text.starts_with(it.member + " ") ||
             (it.member == "count" && text.starts_with("steps "));
    };
    for (const auto& value :
         {it.too_large, std::string("-1"), std::string("1.5"),
          std::string("1e400"), std::string("18446744073709551616"),
          std::string(4'000, '9'), std::string("\"1\""), std::string("[1]")}) {
      INFO(value.substr(0, 30));
      const auto text = problem(value);
      // A number that no JSON parser can represent makes the body no JSON.
      CHECK((is_named(value) || text == "the body is no JSON"));
    }
  }
}

/// Guards against a product of tasks and occurrences, or a sum of due times,
/// that overflows and passes its check.
TEST_CASE("numbers of a job are rejected by what they make together") {
  const std::string tasks = "steps must have at most 1500 tasks in all";
  const auto with = [](const std::string& count, const std::string& repeat) {
    return ProblemOf(
        BodyWith("\"count\":" + count, "\"repeat-count\":" + repeat));
  };
  CHECK(with("750", "2").empty());
  CHECK(with("751", "2") == tasks);
  CHECK(with("1", "1500").empty());
  CHECK(with("1", "1501") == tasks);
  CHECK(with("2147483647", "2147483647") == tasks);
  CHECK(with("1", "2147483647") == tasks);
  std::string steps = R"({"count":2147483647})";
  for (int i = 0; i < 2; ++i) steps += R"(,{"count":2147483647})";
  CHECK(ProblemOf(R"({"steps":[)" + steps +
                  R"(],"repeat-count":2147483647})") == tasks);
  const auto due = [](const std::string& start, const std::string& repeat) {
    return ProblemOf(BodyWith(
        R"("count":1)", "\"start-at-ms\":" + start +
                            ",\"interval-ms\":100,\"repeat-count\":" + repeat));
  };
  CHECK(due("9223372036854775807", "1").empty());
  CHECK(due("9223372036854775607", "3").empty());
  CHECK(due("9223372036854775608", "3").starts_with("start-at-ms "));
}

/// An entry process and a job in its store.
struct StoredJobWorld : EntryWorld {
  static constexpr const char* kName = "5c0e7a21d94b36f8";

  StoredJobWorld() {
    Put({1, {1}, {1}, "s"});
    feed.Start();
    RunFor(500);
  }

  void PutRow(std::string_view table, const std::string& part,
              const std::string& value) {
    store.Put(std::string(table), part, kName, value);
  }

  int StatusOf(const std::string& method, const std::string& body = "") {
    return Send(method, 1, 1, kName, body).status;
  }

  const base::ServiceName service{"s"};
  const base::JobName name{kName};
};

/// Guards against a caller who cannot learn of, cancel or repeat a job whose
/// rows cannot be read.
TEST_CASE("a stored job that cannot be read is answered and can be cancelled") {
  for (const std::string request :
       {"", "x", R"({"steps":[{"tasks":1e400}]})"}) {
    for (const std::string progress : {"-", "", R"({"state":99})"}) {
      INFO(request << " / " << progress);
      StoredJobWorld world;
      world.PutRow(jobs::kRequestTable,
                   jobs::RequestPartition(world.service, world.name), request);
      if (progress != "-") {
        world.PutRow(jobs::kProgressTable,
                     jobs::ProgressPartition(world.service, world.name),
                     progress);
      }
      CHECK(world.StatusOf("GET") == (progress == "-" ? 200 : 503));
      CHECK(world.StatusOf("POST", BodyWith(R"("count":1)")) == 200);
      CHECK(world.StatusOf("DELETE") == 200);
    }
  }
}

/// Guards against a job that the store refuses for its size each time.
TEST_CASE("a job whose request exceeds a row is rejected with its size") {
  StoredJobWorld world;
  std::string steps;
  for (int i = 0; i < 200; ++i) {
    steps += (i == 0 ? "" : ",");
    steps += R"({"count":1,"required-label":")" + std::string(400, 'x') + "\"}";
  }
  const auto response = world.Send("POST", 1, 1, StoredJobWorld::kName,
                                   R"({"spec":"s","steps":[)" + steps + "]}");
  CHECK(response.status == 400);
  CHECK(response.body.find("at most 65536 bytes") != std::string::npos);
  CHECK(world.store.rows_in(std::string(jobs::kRequestTable)) == 0);
}

}  // namespace
}  // namespace lapishatch::platform
