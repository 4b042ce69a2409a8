#include "entry/request_handler.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

constexpr std::string_view kOrganisation = "Lapishatch-Organisation";
constexpr std::string_view kClass = "Lapishatch-Class";
constexpr std::string_view kDeadline = "Lapishatch-Deadline-Ms";
constexpr std::string_view kIdempotent = "Lapishatch-Idempotent";
constexpr std::string_view kKey = "Idempotency-Key";
constexpr std::string_view kRequestId = "Lapishatch-Request-Id";
constexpr std::string_view kWork = "Lapishatch-Work";
/// Copies of a body that are held while its request is in progress: by the
/// request path and in the call to a runner.
constexpr std::size_t kBodyCopies = 2;
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// What a problem says besides what is known of the work.
struct Problem {
  int status;
  std::string_view type;
  std::string_view title;
};

/// The problem of each refusal, in order of Refusal.
constexpr std::array<Problem, base::kEnumSize<routing::Refusal>> kProblems = {{
    {404, "no-such-service", "No such service"},
    {403, "no-such-organisation", "No such organisation"},
    {409, "key-in-progress", "The key is in progress"},
    {422, "key-reused", "The key was used for other content"},
    {429, "over-share", "Over the organisation's share"},
    {502, "runner-failed", "The runner failed"},
    {502, "outcome-unknown", "The outcome is unknown"},
    {503, "cannot-now", "Cannot serve this now"},
    {504, "deadline-passed", "The deadline passed"},
}};

http::Response MakeRefusal(const Problem& problem, base::WorkDone work,
                           std::string_view detail, const base::RequestId& id) {
  json::object body;
  body["type"] = "about:blank#" + std::string(problem.type);
  body["title"] = problem.title;
  body["status"] = problem.status;
  body["detail"] = detail;
  body["work"] = base::NameOf(work);
  body["request_id"] = id.str();
  http::Response out;
  out.status = problem.status;
  out.headers.Set("Content-Type", "application/problem+json");
  out.headers.Set(kRequestId, id.str());
  out.headers.Set(kWork, base::NameOf(work));
  out.body = json::serialize(body);
  return out;
}

/// A header field that is not as it must be. The request was not run.
http::Response Malformed(std::string_view field, std::string_view value,
                         std::string_view allowed, const base::RequestId& id) {
  const auto detail = std::string(field) + " is \"" + std::string(value) +
                      "\"; allowed: " + std::string(allowed);
  return MakeRefusal({kBadRequest, "malformed", "Malformed request"},
                     base::WorkDone::kNotRun, detail, id);
}

bool IsVisible(char c) { return c > ' ' && c < 0x7f; }

bool IsVisibleText(std::string_view text, std::size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), IsVisible);
}

/// A whole positive number, or nothing.
std::optional<std::int64_t> ParsePositive(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n > 0 ? std::optional(n) : std::nullopt;
}

base::RequestId RequestIdOf(const http::Request& request) {
  const auto given = request.headers.Find(kRequestId);
  if (IsVisibleText(given, kMaxRequestIdLength)) {
    return base::RequestId(std::string(given));
  }
  return base::RequestId(base::MakeUniqueText("r-"));
}

http::Response ToResponse(const routing::RequestAnswered& answered,
                          const base::RequestId& id) {
  http::Response out;
  out.status = answered.status;
  if (!answered.content_type.empty()) {
    out.headers.Set("Content-Type", answered.content_type);
  }
  out.headers.Set(kRequestId, id.str());
  out.headers.Set(kWork, base::NameOf(base::WorkDone::kRan));
  out.body = answered.body;
  return out;
}

http::Response ToResponse(const routing::RequestRefused& refused,
                          const base::RequestId& id) {
  const auto& problem = kProblems[static_cast<std::size_t>(refused.reason)];
  auto out = MakeRefusal(problem, refused.work, refused.detail, id);
  if (refused.retry_after > base::Duration(0)) {
    const auto ms = refused.retry_after.count();
    const auto seconds =
        (ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    out.headers.Set("Retry-After", std::to_string(seconds));
  }
  return out;
}

}  // namespace

ParsedRequest ParseRoutedRequest(const http::Request& request,
                                 base::ServiceName service,
                                 const RequestHandlerOptions& options) {
  const auto& headers = request.headers;
  routing::RoutedRequest out;
  out.id = RequestIdOf(request);
  out.service = std::move(service);

  const auto organisation = headers.Find(kOrganisation);
  if (organisation.empty()) {
    return Malformed(kOrganisation, "", "an organisation's name", out.id);
  }
  out.organisation = base::OrganisationName(std::string(organisation));

  if (headers.Has(kClass)) {
    const auto text = headers.Find(kClass);
    const auto parsed = base::ParseEnum<base::WorkClass>(text);
    if (!parsed) {
      return Malformed(kClass, text, base::AllowedNames<base::WorkClass>(),
                       out.id);
    }
    out.work_class = *parsed;
  }

  out.deadline = options.default_deadline;
  if (headers.Has(kDeadline)) {
    const auto text = headers.Find(kDeadline);
    const auto parsed = ParsePositive(text);
    if (!parsed) {
      return Malformed(kDeadline, text, "a whole number above 0", out.id);
    }
    out.deadline = base::Duration(*parsed);
  }
  out.deadline = std::min(out.deadline, options.max_deadline);

  if (headers.Has(kIdempotent)) {
    const auto text = headers.Find(kIdempotent);
    if (text != "true" && text != "false") {
      return Malformed(kIdempotent, text, "true, false", out.id);
    }
    out.idempotent = text == "true";
  }
  const auto key = headers.Find(kKey);
  if (!out.idempotent && !IsVisibleText(key, kMaxKeyLength)) {
    return Malformed(kKey, key, "1 to 128 visible characters", out.id);
  }
  out.key = base::IdempotencyKey(std::string(key));
  out.content_type = std::string(headers.Find("Content-Type"));
  out.body = request.body;
  return out;
}

http::Response ResponseTo(const routing::RequestOutcome& outcome,
                          const base::RequestId& id) {
  return std::visit([&](const auto& it) { return ToResponse(it, id); },
                    outcome);
}

http::Response RequestHandler::RefuseNotRun(const http::Request& request,
                                            const Refusal& refusal) {
  auto out = MakeRefusal({refusal.status, refusal.type, refusal.title},
                         base::WorkDone::kNotRun, refusal.detail,
                         RequestIdOf(request));
  if (refusal.retry_after_s) {
    out.headers.Set("Retry-After", std::to_string(*refusal.retry_after_s));
  }
  return out;
}

void RequestHandler::Handle(http::ExchangePtr exchange,
                            base::ServiceName service) {
  auto parsed =
      ParseRoutedRequest(exchange->request(), std::move(service), options_);
  if (auto* problem = std::get_if<http::Response>(&parsed)) {
    return exchange->Respond(std::move(*problem));
  }
  auto& request = std::get<routing::RoutedRequest>(parsed);
  const auto id = request.id;
  if (!exchange->ReplaceBody(kBodyCopies * request.body.size())) {
    Refusal refusal;
    refusal.status = kUnavailable;
    refusal.type = "too-many-bytes";
    refusal.title = "Too much in progress";
    refusal.detail = "this entry holds as many bytes as it is allowed";
    refusal.retry_after_s = 1;
    return exchange->Respond(RefuseNotRun(exchange->request(), refusal));
  }
  path_.Handle(std::move(request), [exchange = std::move(exchange), id](
                                       const routing::RequestOutcome& outcome) {
    exchange->Respond(ResponseTo(outcome, id));
  });
}

}  // namespace lapishatch::entry
