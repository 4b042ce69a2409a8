#include "backends/runner_codec.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace lapishatch::backends {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kRequestId = "Lapishatch-Request-Id";
constexpr std::string_view kOrganisation = "Lapishatch-Organisation";
constexpr std::string_view kClass = "Lapishatch-Class";
constexpr std::string_view kDeadline = "Lapishatch-Deadline-Ms";
constexpr std::string_view kContentType = "Content-Type";
constexpr std::string_view kSlots = "Runner-Slots";
constexpr std::string_view kBusy = "Runner-Busy";
constexpr std::string_view kWaiting = "Runner-Waiting";
constexpr std::string_view kLeaving = "Runner-Leaving";
constexpr std::string_view kRan = "Runner-Ran";
constexpr std::string_view kTrue = "true";
constexpr std::string_view kFalse = "false";

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Segments of /v1/services/{service}/requests.
constexpr std::size_t kRequestSegments = 4;
constexpr std::size_t kServiceSegment = 2;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number out = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  if (parsed.ec != std::errc() || parsed.ptr != end || out < 0) {
    return std::nullopt;
  }
  return out;
}

int NumberOr0(const http::Headers& headers, std::string_view name) {
  return ParseNumber<int>(headers.Find(name)).value_or(0);
}

RunnerLoad ReadLoad(const http::Headers& headers) {
  return {NumberOr0(headers, kSlots), NumberOr0(headers, kBusy),
          NumberOr0(headers, kWaiting), headers.Find(kLeaving) == kTrue};
}

void SetLoad(const RunnerLoad& load, http::Headers& headers) {
  headers.Set(kSlots, std::to_string(load.slots));
  headers.Set(kBusy, std::to_string(load.busy_slots));
  headers.Set(kWaiting, std::to_string(load.waiting));
  headers.Set(kLeaving, load.leaving ? kTrue : kFalse);
}

bool IsRequestPath(const http::Target& target) {
  const auto& it = target.segments;
  return it.size() == kRequestSegments && it[0] == "v1" &&
         it[1] == "services" && it[3] == "requests";
}

}  // namespace

http::Request EncodeRunnerRequest(RunnerRequest request) {
  http::Request out;
  out.method = "POST";
  out.target = "/v1/services/" + request.service.str() + "/requests";
  out.headers.Set(kRequestId, request.id.str());
  out.headers.Set(kOrganisation, request.organisation.str());
  out.headers.Set(kClass, base::NameOf(request.work_class));
  out.headers.Set(kDeadline, std::to_string(request.deadline.count()));
  if (!request.content_type.empty()) {
    out.headers.Set(kContentType, request.content_type);
  }
  out.body = std::move(request.body);
  return out;
}

leaf::result<RunnerRequest> DecodeRunnerRequest(const http::Request& request) {
  const auto target = http::ParseTarget(request.target);
  if (request.method != "POST" || !IsRequestPath(target)) {
    return leaf::new_error(CodecError{"", "no such resource"});
  }
  RunnerRequest out;
  out.service = base::ServiceName(target.segments[kServiceSegment]);
  out.id = base::RequestId(std::string(request.headers.Find(kRequestId)));
  if (out.id.empty()) {
    return leaf::new_error(CodecError{std::string(kRequestId), "is missing"});
  }
  out.organisation =
      base::OrganisationName(std::string(request.headers.Find(kOrganisation)));
  const auto work_class =
      base::ParseEnum<base::WorkClass>(request.headers.Find(kClass));
  out.work_class = work_class.value_or(base::WorkClass::kNormal);
  const auto deadline =
      ParseNumber<std::int64_t>(request.headers.Find(kDeadline));
  out.deadline = base::Duration(deadline.value_or(0));
  out.content_type = request.headers.Find(kContentType);
  out.body = request.body;
  return out;
}

http::Response EncodeRunnerResponse(const base::RequestId& id,
                                    RunnerResponse runner_response) {
  http::Response out;
  out.status = runner_response.status;
  out.headers.Set(kRequestId, id.str());
  if (!runner_response.content_type.empty()) {
    out.headers.Set(kContentType, runner_response.content_type);
  }
  SetLoad(runner_response.load, out.headers);
  out.body = std::move(runner_response.body);
  return out;
}

http::Response EncodeRunnerRefusal(const base::RequestId& id,
                                   const RunnerRefused& refusal) {
  auto out =
      http::MakeProblem(kUnavailable, "refused", "Not run", refusal.reason);
  out.headers.Set(kRequestId, id.str());
  out.headers.Set(kRan, kFalse);
  SetLoad(refusal.load, out.headers);
  return out;
}

RunnerOutcome DecodeRunnerResponse(const base::RequestId& id,
                                   http::Response response) {
  const auto response_id = response.headers.Find(kRequestId);
  if (response_id != id.str()) {
    std::string detail = response_id.empty()
                             ? "answer carries no request id, status " +
                                   std::to_string(response.status)
                             : "answer belongs to another request";
    return RunnerResponseLost{false, std::move(detail)};
  }
  const auto load = ReadLoad(response.headers);
  if (response.headers.Find(kRan) == kFalse) {
    return RunnerRefused{std::move(response.body), load};
  }
  return RunnerResponse{response.status,
                        std::string(response.headers.Find(kContentType)),
                        std::move(response.body), load};
}

http::Response EncodePingResponse(const RunnerLoad& load) {
  http::Response out;
  SetLoad(load, out.headers);
  return out;
}

PingResult DecodePingResponse(const http::Response& response) {
  if (response.status != kOk || !response.headers.Has(kSlots)) {
    return RunnerNotReached{"ping answered with status " +
                            std::to_string(response.status)};
  }
  return ReadLoad(response.headers);
}

}  // namespace lapishatch::backends
