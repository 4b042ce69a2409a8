#include "entry/request_handler.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace lapishatch::entry {
namespace {

const base::ServiceName kService("plans");

http::Request Good() {
  http::Request request;
  request.method = "POST";
  request.headers = {
      {"Lapishatch-Organisation", "bertolini"}, {"Lapishatch-Class", "urgent"},
      {"Lapishatch-Deadline-Ms", "1500"},       {"Idempotency-Key", "k-1"},
      {"Lapishatch-Request-Id", "r-7"},         {"Content-Type", "text/plain"}};
  request.body = "plan";
  return request;
}

routing::RoutedRequest Parsed(const http::Request& request) {
  return std::get<routing::RoutedRequest>(
      ParseRoutedRequest(request, kService, {}));
}

/// The status of the problem, or 0 when there is none.
int ProblemOf(const http::Request& request) {
  const auto parsed = ParseRoutedRequest(request, kService, {});
  const auto* problem = std::get_if<http::Response>(&parsed);
  if (problem == nullptr) return 0;
  CHECK(problem->headers.Find("Lapishatch-Work") == "not-run");
  return problem->status;
}

TEST_CASE("the header fields become a request") {
  const auto request = Parsed(Good());
  CHECK(request.organisation == base::OrganisationName("bertolini"));
  CHECK(request.work_class == base::WorkClass::kUrgent);
  CHECK(request.deadline == base::Duration(1'500));
  CHECK_FALSE(request.idempotent);
  CHECK(request.key == base::IdempotencyKey("k-1"));
  CHECK(request.id == base::RequestId("r-7"));
  CHECK(request.content_type == "text/plain");
  CHECK(request.body == "plan");
}

TEST_CASE("what is left out has its default, and what is too long is cut") {
  http::Request request;
  request.headers = {{"Lapishatch-Organisation", "bertolini"},
                     {"Lapishatch-Idempotent", "true"}};
  const auto parsed = Parsed(request);
  CHECK(parsed.work_class == base::WorkClass::kNormal);
  CHECK(parsed.deadline == RequestHandlerOptions{}.default_deadline);
  CHECK(parsed.idempotent);
  CHECK_FALSE(parsed.id.empty());
  request.headers.Set("Lapishatch-Deadline-Ms", "99999999999");
  CHECK(Parsed(request).deadline == RequestHandlerOptions{}.max_deadline);
}

TEST_CASE("malformed header fields are refused as not run") {
  CHECK(ProblemOf(Good()) == 0);
  const auto with = [](std::string_view name, std::string_view value) {
    auto request = Good();
    request.headers.Set(name, value);
    return ProblemOf(request);
  };
  CHECK(with("Lapishatch-Organisation", "") == 400);
  CHECK(with("Lapishatch-Class", "soon") == 400);
  for (const auto* it : {"0", "-5", "1.5", "10s", "99999999999999999999"}) {
    CHECK(with("Lapishatch-Deadline-Ms", it) == 400);
  }
  CHECK(with("Lapishatch-Idempotent", "yes") == 400);
  CHECK(with("Idempotency-Key", "") == 400);
  CHECK(with("Idempotency-Key", "two words") == 400);
  CHECK(with("Idempotency-Key", std::string(129, 'k')) == 400);
  CHECK(with("Idempotency-Key", std::string(128, 'k')) == 0);
}

TEST_CASE("an answer is passed on byte for byte") {
  const std::string body("\0\xff\r\n", 4);
  const auto response = ResponseTo(
      routing::RequestAnswered{418, "image/png", body}, base::RequestId("r-1"));
  CHECK(response.status == 418);
  CHECK(response.body == body);
  CHECK(response.headers.Find("Content-Type") == "image/png");
  CHECK(response.headers.Find("Lapishatch-Work") == "ran");
  CHECK(response.headers.Find("Lapishatch-Request-Id") == "r-1");
}

TEST_CASE("a refusal says the same in its header fields and its body") {
  const routing::RequestRefused refused{routing::Refusal::kCannotNow,
                                        base::WorkDone::kNotRun, "no \"slot\"",
                                        base::Duration(1'001)};
  const auto response = ResponseTo(refused, base::RequestId("r-1"));
  CHECK(response.status == 503);
  CHECK(response.headers.Find("Content-Type") == "application/problem+json");
  CHECK(response.headers.Find("Lapishatch-Work") == "not-run");
  CHECK(response.headers.Find("Retry-After") == "2");
  const auto body = boost::json::parse(response.body).as_object();
  CHECK(body.at("type") == "about:blank#cannot-now");
  CHECK(body.at("status") == 503);
  CHECK(body.at("detail") == "no \"slot\"");
  CHECK(body.at("work") == "not-run");
  CHECK(body.at("request_id") == "r-1");
  CHECK(body.contains("title"));
}

TEST_CASE("every refusal has the status that the interface page gives") {
  const std::vector<int> statuses{404, 403, 409, 422, 429, 502, 502, 503, 504};
  REQUIRE(statuses.size() == base::kEnumSize<routing::Refusal>);
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    routing::RequestRefused refused;
    refused.reason = static_cast<routing::Refusal>(i);
    const auto response = ResponseTo(refused, base::RequestId("r"));
    CHECK(response.status == statuses[i]);
    CHECK_FALSE(response.headers.Has("Retry-After"));
  }
}

}  // namespace
}  // namespace lapishatch::entry
