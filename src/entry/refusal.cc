#include "entry/refusal.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

constexpr int kRetrySoonS = 1;
constexpr int kRetryAfterOutageS = 3;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

/// The status and words for a reason.
struct ReasonWords {
  int status;
  std::string_view type;
  std::string_view title;
};

ReasonWords WordsFor(config::RefusalReason reason) {
  switch (reason) {
    case config::RefusalReason::kInvalid:
      return {kUnprocessable, "invalid",
              "The configuration would not be valid"};
    case config::RefusalReason::kStale:
      return {kPreconditionFailed, "stale", "Another change came first"};
    case config::RefusalReason::kExists:
      return {kPreconditionFailed, "exists", "The resource exists"};
    case config::RefusalReason::kMissing:
      return {kNotFound, "not-found", "No such resource"};
    case config::RefusalReason::kInUse:
      return {kConflict, "in-use", "Something else needs it as it is"};
    case config::RefusalReason::kNotKnownYet:
      return {kUnavailable, "not-known-yet", "Cannot be judged yet"};
  }
  return {kUnavailable, "unknown", "Unknown"};
}

}  // namespace

std::string ETagOf(config::LogVersion version) {
  return '"' + std::to_string(version) + '"';
}

http::Response JsonResponse(int status, const json::object& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          json::serialize(body) + '\n'};
}

http::Response ToResponse(const Refusal& refusal) {
  json::object body{{"type", "about:blank#" + std::string(refusal.type)},
                    {"title", View(refusal.title)},
                    {"status", refusal.status},
                    {"detail", refusal.detail},
                    {"work", refusal.is_unknown ? "unknown" : "not-run"}};
  if (!refusal.problems.list.empty()) {
    json::array problems;
    for (const auto& it : refusal.problems.list) {
      problems.push_back(
          json::object{{"field", it.path}, {"detail", it.detail}});
    }
    body["problems"] = std::move(problems);
  }
  http::Response response{
      refusal.status, {{"Content-Type", "application/problem+json"}}, ""};
  if (refusal.present != nullptr) {
    body["resource"] = config::TextOf(refusal.present->ref);
    body["present_version"] = refusal.present->version;
    body["changed_by"] = refusal.present->changed_by;
    body["changed_at_ms"] = refusal.present->changed_at_ms;
    response.headers.Set("ETag", ETagOf(refusal.present->version));
  }
  if (refusal.retry_after_s) {
    response.headers.Set("Retry-After", std::to_string(*refusal.retry_after_s));
  }
  response.body = json::serialize(body) + '\n';
  return response;
}

http::Response ResponseTo(const config::ChangesRefused& outcome) {
  const auto words = WordsFor(outcome.reason);
  Refusal refusal;
  refusal.status = words.status;
  refusal.type = words.type;
  refusal.title = words.title;
  refusal.detail =
      config::TextOf(outcome.ref) + ": " + config::TextOf(outcome.problems);
  refusal.problems = outcome.problems;
  refusal.present = outcome.present;
  if (words.status == kUnavailable) refusal.retry_after_s = kRetrySoonS;
  return ToResponse(refusal);
}

http::Response ResponseTo(const config::ChangesNotAccepted& outcome) {
  Refusal refusal;
  refusal.status = kUnavailable;
  refusal.type = "not-accepted";
  refusal.title = "The change was not accepted";
  refusal.detail = outcome.detail;
  refusal.retry_after_s = kRetryAfterOutageS;
  return ToResponse(refusal);
}

http::Response ResponseTo(const config::ChangesUnknown& outcome) {
  Refusal refusal;
  refusal.status = kUnavailable;
  refusal.type = "outcome-unknown";
  refusal.title = "Whether the change was accepted is not known";
  refusal.detail = outcome.detail;
  refusal.is_unknown = true;
  refusal.retry_after_s = kRetryAfterOutageS;
  return ToResponse(refusal);
}

}  // namespace lapishatch::entry
