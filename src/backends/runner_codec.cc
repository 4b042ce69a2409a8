#include "backends/runner_codec.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace lapishatch::backends {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kRequestIdHeader = "Lapishatch-Request-Id";
constexpr std::string_view kOrganisationHeader = "Lapishatch-Organisation";
constexpr std::string_view kWorkClassHeader = "Lapishatch-Class";
constexpr std::string_view kDeadlineHeader = "Lapishatch-Deadline-Ms";
constexpr std::string_view kContentTypeHeader = "Content-Type";
constexpr std::string_view kSlotsHeader = "Runner-Slots";
constexpr std::string_view kBusySlotsHeader = "Runner-Busy";
constexpr std::string_view kWaitingHeader = "Runner-Waiting";
constexpr std::string_view kLeavingHeader = "Runner-Leaving";
constexpr std::string_view kRanHeader = "Runner-Ran";
constexpr std::string_view kTrue = "true";
constexpr std::string_view kFalse = "false";

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

/// Number of segments of /v1/services/{service}/requests, and the index of
/// {service} among them.
constexpr std::size_t kRequestPathSegments = 4;
constexpr std::size_t kServiceSegmentIndex = 2;

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

int IntHeaderOrZero(const http::Headers& headers, std::string_view name) {
  return ParseNumber<int>(headers.Find(name)).value_or(0);
}

RunnerLoad ReadLoad(const http::Headers& headers) {
  return {IntHeaderOrZero(headers, kSlotsHeader),
          IntHeaderOrZero(headers, kBusySlotsHeader),
          IntHeaderOrZero(headers, kWaitingHeader),
          headers.Find(kLeavingHeader) == kTrue};
}

void WriteLoad(const RunnerLoad& load, http::Headers& headers) {
  headers.Set(kSlotsHeader, std::to_string(load.slots));
  headers.Set(kBusySlotsHeader, std::to_string(load.busy_slots));
  headers.Set(kWaitingHeader, std::to_string(load.waiting));
  headers.Set(kLeavingHeader, load.leaving ? kTrue : kFalse);
}

bool IsRequestPath(const http::Target& target) {
  const auto& it = target.segments;
  return it.size() == kRequestPathSegments && it[0] == "v1" &&
         it[1] == "services" && it[3] == "requests";
}

}  // namespace

http::Request EncodeRunnerRequest(RunnerRequest request) {
  http::Request out;
  out.method = "POST";
  out.target = "/v1/services/" + request.service.str() + "/requests";
  out.headers.Set(kRequestIdHeader, request.id.str());
  out.headers.Set(kOrganisationHeader, request.organisation.str());
  out.headers.Set(kWorkClassHeader, base::NameOf(request.work_class));
  out.headers.Set(kDeadlineHeader, std::to_string(request.deadline.count()));
  if (!request.content_type.empty()) {
    out.headers.Set(kContentTypeHeader, request.content_type);
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
  out.service = base::ServiceName(target.segments[kServiceSegmentIndex]);
  out.id = base::RequestId(std::string(request.headers.Find(kRequestIdHeader)));
  if (out.id.empty()) {
    return leaf::new_error(
        CodecError{std::string(kRequestIdHeader), "is missing"});
  }
  out.organisation = base::OrganisationName(
      std::string(request.headers.Find(kOrganisationHeader)));
  const auto work_class =
      base::ParseEnum<base::WorkClass>(request.headers.Find(kWorkClassHeader));
  out.work_class = work_class.value_or(base::WorkClass::kNormal);
  const auto deadline =
      ParseNumber<std::int64_t>(request.headers.Find(kDeadlineHeader));
  out.deadline = base::Duration(deadline.value_or(0));
  out.content_type = request.headers.Find(kContentTypeHeader);
  out.body = request.body;
  return out;
}

http::Response EncodeRunnerResponse(const base::RequestId& id,
                                    RunnerResponse runner_response) {
  http::Response out;
  out.status = runner_response.status;
  out.headers.Set(kRequestIdHeader, id.str());
  if (!runner_response.content_type.empty()) {
    out.headers.Set(kContentTypeHeader, runner_response.content_type);
  }
  WriteLoad(runner_response.load, out.headers);
  out.body = std::move(runner_response.body);
  return out;
}

http::Response EncodeRunnerRefusal(const base::RequestId& id,
                                   const RunnerRefused& refusal) {
  auto out = http::MakeProblem(kServiceUnavailable, "refused", "Not run",
                               refusal.reason);
  out.headers.Set(kRequestIdHeader, id.str());
  out.headers.Set(kRanHeader, kFalse);
  WriteLoad(refusal.load, out.headers);
  return out;
}

RunnerOutcome DecodeRunnerResponse(const base::RequestId& id,
                                   http::Response response) {
  const auto response_id = response.headers.Find(kRequestIdHeader);
  if (response_id != id.str()) {
    std::string detail = response_id.empty()
                             ? "answer carries no request id, status " +
                                   std::to_string(response.status)
                             : "answer belongs to another request";
    return RunnerResponseLost{false, std::move(detail)};
  }
  const auto load = ReadLoad(response.headers);
  if (response.headers.Find(kRanHeader) == kFalse) {
    return RunnerRefused{std::move(response.body), load};
  }
  return RunnerResponse{response.status,
                        std::string(response.headers.Find(kContentTypeHeader)),
                        std::move(response.body), load};
}

http::Response EncodePingResponse(const RunnerLoad& load) {
  http::Response out;
  WriteLoad(load, out.headers);
  return out;
}

PingResult DecodePingResponse(const http::Response& response) {
  if (response.status != kOk || !response.headers.Has(kSlotsHeader)) {
    return RunnerNotReached{"ping answered with status " +
                            std::to_string(response.status)};
  }
  return ReadLoad(response.headers);
}

}  // namespace lapishatch::backends
