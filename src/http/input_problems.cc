#include "http/internal/input_problems.h"

#include <boost/beast/http/error.hpp>
#include <string>

namespace lapishatch::http::internal {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

Response MakeNotRun(int status, std::string_view type, std::string_view title,
                    std::string_view detail) {
  return MakeWorkProblem(status, type, title, detail, base::WorkDone::kNotRun,
                         "");
}

}  // namespace

Response MakeInputProblem(const error_code& ec, const ServerLimits& limits) {
  using beast_http::error;
  if (ec == error::header_limit || ec == error::buffer_overflow) {
    return MakeNotRun(
        431, "headers-too-large", "Request head too large",
        "The request line and header fields may have " +
            std::to_string(limits.max_header_bytes) + " bytes, and " +
            std::to_string(limits.max_header_fields) + " fields.");
  }
  if (ec == error::body_limit) {
    return MakeNotRun(413, "body-too-large", "Request body too large",
                      "The body may have " +
                          std::to_string(limits.max_body_bytes) + " bytes.");
  }
  if (ec == error::partial_message || ec == error::end_of_stream) {
    return MakeNotRun(400, "truncated", "Request cut short",
                      "The connection ended before the request did.");
  }
  return MakeNotRun(400, "malformed", "Malformed request",
                    "The request is not HTTP/1.1: " + ec.message() + ".");
}

Response MakeTimeoutProblem(bool in_head) {
  return MakeNotRun(408, "too-slow", "Request too slow",
                    in_head ? "The request's head took too long to arrive."
                            : "The request's body took too long to arrive.");
}

Response MakeFullProblem() {
  auto out = MakeNotRun(503, "too-many-connections", "Too many connections",
                        "The server has as many connections as it is allowed.");
  out.headers.Set("Retry-After", "1");
  return out;
}

Response MakeBusyProblem() {
  auto out = MakeNotRun(503, "too-many-bytes", "Too much in progress",
                        "The server holds as many bytes as it is allowed.");
  out.headers.Set("Retry-After", "1");
  return out;
}

Response MakeUnsentProblem() {
  return MakeWorkProblem(500, "answer-unsent", "Answer not sent",
                         "The server holds as many bytes as it is allowed.",
                         base::WorkDone::kUnknown, "");
}

Response MakeDroppedProblem() {
  return MakeWorkProblem(500, "no-answer", "No answer",
                         "The request was taken but never answered.",
                         base::WorkDone::kUnknown, "");
}

Response MakeHostProblem() {
  return MakeNotRun(400, "malformed", "Malformed request",
                    "An HTTP/1.1 request has exactly one Host field.");
}

}  // namespace lapishatch::http::internal
